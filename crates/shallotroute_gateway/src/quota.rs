//! Callers' limits over all nodes: exchanges with the members that divide them.

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

/// The time between two exchanges. At most four members are asked in a second.
const INTERVAL: Duration = Duration::from_millis(250);

/// How long a member may take to answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The most callers in one exchange. At 18 bytes each an exchange has less than 500 bytes with its
/// headers, so that a node sends less than 2 KB/s.
pub(crate) const MAX_ASKS: usize = 16;

/// The callers with a limit that have sent requests to this node.
#[derive(Default)]
pub(crate) struct Quotas(Mutex<HashMap<Name, Limited>>);

struct Limited {
    limit: Limit,
    quota: Quota,
}

/// The callers whose limits one member divides.
struct Exchange {
    member: Member,
    asked: Instant,
    callers: Vec<Name>,
    asks: Vec<ShareRequest>,
}

impl Quotas {
    /// Counts a request of a caller.
    ///
    /// # Errors
    ///
    /// The caller is over its limit; the request may come again after the time given.
    pub(crate) fn enter(
        &self,
        caller: &Name,
        limit: &Limit,
        members: usize,
        now: Instant,
    ) -> Result<(), Duration> {
        let mut callers = self.callers();
        let limited = callers.entry(caller.clone()).or_insert_with(|| Limited {
            limit: limit.clone(),
            quota: Quota::new(now),
        });
        if limited.limit != *limit {
            limited.limit = limit.clone();
        }
        limited.quota.acquire(limit, members, now)
    }

    /// Counts a request of a caller as ended.
    pub(crate) fn leave(&self, caller: &Name) {
        if let Some(limited) = self.callers().get_mut(caller) {
            limited.quota.release();
        }
    }

    /// Returns the part of its limit that each caller has at this node.
    pub(crate) fn shares(&self, members: usize, now: Instant) -> Vec<(Name, f64)> {
        let callers = self.callers();
        let share = |(name, it): (&Name, &Limited)| (name.clone(), it.quota.share(members, now));
        callers.iter().map(share).collect()
    }

    /// Makes the next exchange: with the member that divides the limit of one due caller, on all due
    /// callers whose limits it divides.
    fn next(&self, view: &View, turn: usize, now: Instant) -> Option<Exchange> {
        let members = view.live().count();
        let mut callers = self.callers();
        callers.retain(|_, it| !it.quota.is_idle(members, now));
        let mut due: Vec<(&Name, &mut Limited)> = callers
            .iter_mut()
            .filter(|(_, it)| it.quota.is_exchange_due(members, now))
            .collect();
        due.sort_by(|left, right| left.0.cmp(right.0));
        let owner = |name: &Name| view.owner(&quota::rank_key(name));
        let first = due.get(turn % due.len().max(1))?;
        let member = owner(first.0)?.clone();
        let mut exchange = Exchange {
            member,
            asked: now,
            callers: Vec::new(),
            asks: Vec::new(),
        };
        for (name, it) in due {
            let is_same = owner(name).is_some_and(|owner| owner.id == exchange.member.id);
            if is_same && exchange.asks.len() < MAX_ASKS {
                let ask = it
                    .quota
                    .share_request(quota::caller_hash(name), &it.limit, now);
                exchange.asks.push(ask);
                exchange.callers.push(name.clone());
            }
        }
        Some(exchange)
    }

    fn grant(&self, exchange: &Exchange, grants: &[f32], members: usize) {
        let mut callers = self.callers();
        for (name, grant) in exchange.callers.iter().zip(grants) {
            if let Some(limited) = callers.get_mut(name) {
                limited.quota.apply_grant(*grant, members, exchange.asked);
            }
        }
    }

    fn callers(&self) -> MutexGuard<'_, HashMap<Name, Limited>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Exchanges messages until the node stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut live: Vec<Id> = Vec::new();
    let mut turn = 0_usize;
    loop {
        tokio::select! {
            () = gateway.context.stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let view = Arc::clone(&gateway.context.members.borrow());
        let now = gateway.context.clock.now();
        if !view.live().map(|member| &member.id).eq(&live) {
            live = view.live().map(|member| member.id.clone()).collect();
            gateway.records.local.change(now);
        }
        if let Some(exchange) = gateway.quotas.next(&view, turn, now) {
            tokio::spawn(perform(Arc::clone(&gateway), exchange, live.len()));
        }
        turn = turn.wrapping_add(1);
    }
}

async fn perform(gateway: Arc<Gateway>, exchange: Exchange, members: usize) {
    let (id, asks) = (gateway.context.local.id.clone(), exchange.asks.clone());
    let address: SocketAddr = exchange.member.address;
    let records = &gateway.records;
    let grants = match exchange.member.id == id {
        true => Ok(records.local.grant(&id, &asks)),
        false => records.peers.divide(address, id, asks, TIMEOUT).await,
    };
    match grants {
        Ok(grants) => gateway.quotas.grant(&exchange, &grants, members),
        Err(error) => spdlog::debug!("a caller's limit could not be divided: {}", error),
    }
}
