//! Metrics of heartbeats.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::{Registry, Unit},
};
use shallotroute_membership::codec::Rejection;
use shallotroute_types::member::{State, View};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MemberState {
    state: String,
}

/// The metrics of one node's heartbeats.
#[derive(Clone, Debug, Default)]
pub(crate) struct Metrics {
    pub(crate) datagrams_in: Counter,
    pub(crate) datagrams_out: Counter,
    pub(crate) bytes_in: Counter,
    pub(crate) bytes_out: Counter,
    pub(crate) send_errors: Counter,
    dropped: Family<Reason, Counter>,
    members: Family<MemberState, Gauge>,
    majority: Gauge,
}

impl Metrics {
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let registry = registry.sub_registry_with_prefix("heartbeat");
        for (name, help, counter) in [
            (
                "received_datagrams",
                "Datagrams received",
                &metrics.datagrams_in,
            ),
            ("sent_datagrams", "Datagrams sent", &metrics.datagrams_out),
            ("send_errors", "Datagrams not sent", &metrics.send_errors),
        ] {
            registry.register(name, help, counter.clone());
        }
        for (name, help, counter) in [
            (
                "received",
                "Payload of datagrams received",
                &metrics.bytes_in,
            ),
            ("sent", "Payload of datagrams sent", &metrics.bytes_out),
        ] {
            registry.register_with_unit(name, help, Unit::Bytes, counter.clone());
        }
        registry.register(
            "dropped_datagrams",
            "Datagrams received and dropped, by reason",
            metrics.dropped.clone(),
        );
        registry.register(
            "members",
            "Members in the view, by state",
            metrics.members.clone(),
        );
        registry.register(
            "majority",
            "1 while the node hears from a majority, else 0",
            metrics.majority.clone(),
        );
        for rejection in Rejection::ALL {
            drop(metrics.dropped.get_or_create(&reason(rejection)));
        }
        metrics
    }

    pub(crate) fn count_dropped(&self, rejection: Rejection) {
        self.dropped.get_or_create(&reason(rejection)).inc();
    }

    pub(crate) fn dropped(&self, rejection: Rejection) -> u64 {
        self.dropped.get_or_create(&reason(rejection)).get()
    }

    pub(crate) fn set_view(&self, view: &View) {
        for state in [State::Alive, State::Suspect, State::Leaving, State::Dead] {
            let count = view.members.iter().filter(|member| member.state == state);
            let label = MemberState {
                state: state.to_string(),
            };
            let gauge = self.members.get_or_create(&label);
            gauge.set(i64::try_from(count.count()).unwrap_or(i64::MAX));
        }
        self.majority.set(view.majority.into());
    }
}

fn reason(rejection: Rejection) -> Reason {
    Reason {
        reason: rejection.to_string(),
    }
}
