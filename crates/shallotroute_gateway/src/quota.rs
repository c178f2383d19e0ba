//! Enforces callers' limits across nodes by requesting shares of them from their allocators.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use shallotroute_config::object::Limit;
use shallotroute_routing::quota::{self, Quota, ShareRequest};
use shallotroute_types::{
    member::{Member, View},
    name::Name,
    node::Id,
};
use tokio::time::{MissedTickBehavior, interval};

use crate::Gateway;

/// The interval between two exchanges. A node asks at most four allocators per second.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// The timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum number of callers in one exchange. At 18 bytes each, an exchange takes less than 500
/// bytes with its headers, so that a node sends less than 2 KB/s.
pub(crate) const MAX_SHARE_REQUESTS: usize = 16;

/// The quotas of the callers that have a limit and have sent requests to this node.
#[derive(Default)]
pub(crate) struct Quotas(Mutex<HashMap<Name, CallerQuota>>);

struct CallerQuota {
    limit: Limit,
    quota: Quota,
}

/// One message to an allocator, with requests for shares of the limits of several callers.
struct Exchange {
    allocator: Member,
    requested_at: Instant,
    callers: Vec<Name>,
    requests: Vec<ShareRequest>,
}

impl Quotas {
    /// Counts the start of a caller's request against its limit.
    ///
    /// # Errors
    ///
    /// The caller is over its limit. It may retry after the returned time.
    pub(crate) fn start_request(
        &self,
        caller: &Name,
        limit: &Limit,
        members: usize,
        now: Instant,
    ) -> Result<(), Duration> {
        let mut callers = self.callers();
        let caller_quota = callers
            .entry(caller.clone())
            .or_insert_with(|| CallerQuota {
                limit: limit.clone(),
                quota: Quota::new(now),
            });
        if caller_quota.limit != *limit {
            caller_quota.limit = limit.clone();
        }
        caller_quota.quota.acquire(limit, members, now)
    }

    /// Counts a caller's request as ended.
    pub(crate) fn finish_request(&self, caller: &Name) {
        if let Some(caller_quota) = self.callers().get_mut(caller) {
            caller_quota.quota.release();
        }
    }

    /// Returns each caller's share of its limit at this node, 0.0 to 1.0.
    pub(crate) fn shares(&self, members: usize, now: Instant) -> Vec<(Name, f64)> {
        let callers = self.callers();
        let share =
            |(name, it): (&Name, &CallerQuota)| (name.clone(), it.quota.share(members, now));
        callers.iter().map(share).collect()
    }

    /// Returns the next exchange: with the allocator of the due caller at position `turn`, on all
    /// due callers of that allocator. Returns `None` if no caller is due.
    fn next_exchange(&self, view: &View, turn: usize, now: Instant) -> Option<Exchange> {
        let members = view.live().count();
        let mut callers = self.callers();
        callers.retain(|_, it| !it.quota.is_removable(members, now));
        let mut due: Vec<(&Name, &mut CallerQuota)> = callers
            .iter_mut()
            .filter(|(_, it)| it.quota.is_exchange_due(members, now))
            .collect();
        due.sort_by(|left, right| left.0.cmp(right.0));
        let allocator_of = |name: &Name| view.owner(&quota::rank_key(name));
        let first = due.get(turn % due.len().max(1))?;
        let allocator = allocator_of(first.0)?.clone();
        let mut exchange = Exchange {
            allocator,
            requested_at: now,
            callers: Vec::new(),
            requests: Vec::new(),
        };
        for (name, it) in due {
            let is_same_allocator =
                allocator_of(name).is_some_and(|owner| owner.id == exchange.allocator.id);
            if is_same_allocator && exchange.requests.len() < MAX_SHARE_REQUESTS {
                let request = it
                    .quota
                    .share_request(quota::caller_hash(name), &it.limit, now);
                exchange.requests.push(request);
                exchange.callers.push(name.clone());
            }
        }
        Some(exchange)
    }

    fn apply_grants(&self, exchange: &Exchange, grants: &[f32], members: usize) {
        let mut callers = self.callers();
        for (name, grant) in exchange.callers.iter().zip(grants) {
            if let Some(caller_quota) = callers.get_mut(name) {
                caller_quota
                    .quota
                    .apply_grant(*grant, members, exchange.requested_at);
            }
        }
    }

    fn callers(&self) -> MutexGuard<'_, HashMap<Name, CallerQuota>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Requests shares of callers' limits until the node stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = interval(EXCHANGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut live_members: Vec<Id> = Vec::new();
    let mut turn = 0_usize;
    loop {
        tokio::select! {
            () = gateway.context.stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let view = Arc::clone(&gateway.context.members.borrow());
        let now = gateway.context.clock.now();
        if !view.live().map(|member| &member.id).eq(&live_members) {
            live_members = view.live().map(|member| member.id.clone()).collect();
            gateway.records.local.record_member_change(now);
        }
        if let Some(exchange) = gateway.quotas.next_exchange(&view, turn, now) {
            tokio::spawn(run_exchange(
                Arc::clone(&gateway),
                exchange,
                live_members.len(),
            ));
        }
        turn = turn.wrapping_add(1);
    }
}

async fn run_exchange(gateway: Arc<Gateway>, exchange: Exchange, members: usize) {
    let (id, requests) = (gateway.context.local.id.clone(), exchange.requests.clone());
    let address: SocketAddr = exchange.allocator.address;
    let records = &gateway.records;
    let grants = match exchange.allocator.id == id {
        true => Ok(records.local.grant_shares(&id, &requests)),
        false => {
            records
                .peers
                .allocate_shares(address, id, requests, EXCHANGE_TIMEOUT)
                .await
        }
    };
    match grants {
        Ok(grants) => gateway.quotas.apply_grants(&exchange, &grants, members),
        Err(error) => spdlog::debug!("failed to get shares of callers' limits: {}", error),
    }
}
