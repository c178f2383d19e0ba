//! The servers of one kind in a zone, and the orders that set their number.

use std::time::{Duration, Instant};

use super::{GROWTH_INTERVAL, LISTING_DELAY, Reply};

/// How long a server counts that is no longer listed: it may be cut off from the store, or start again, and an order
/// without it would lower the number.
const UNLISTED_RETENTION: Duration = Duration::from_secs(30);

/// The interval between an order without a response and its repetition.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The first back-off after a refusal or a reclamation; each further refusal doubles it. None are
/// available for about ten seconds after a reclamation.
const BACKOFF_MIN: Duration = Duration::from_secs(8);

/// The longest back-off.
const BACKOFF_MAX: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
pub(super) struct Pool {
    /// The servers that are listed and not draining.
    live: u32,
    /// The highest number of servers since it was last lowered on purpose, and when there were as many.
    highest: Option<(u32, Instant)>,
    order: Option<Sent>,
    blocked_until: Option<Instant>,
    refusals: u32,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    count: u32,
    former: u32,
    /// When the number was ordered first.
    since: Instant,
    /// When the order was sent last.
    sent_at: Instant,
    reply: Option<Reply>,
}

impl Pool {
    /// Records the servers of the host list. Returns whether spot servers have been reclaimed: some
    /// drain, and fewer are left than were ordered and than there were.
    pub(super) fn observe(
        &mut self,
        live: u32,
        draining: u32,
        is_spot: bool,
        now: Instant,
    ) -> bool {
        let wanted = self.order.map_or(self.live, |sent| sent.count);
        let is_reclaimed = is_spot && draining > 0 && live < self.live && live < wanted;
        self.live = live;
        if is_reclaimed {
            self.block(now);
            self.highest = None;
        }
        if live >= self.recent_number(now) {
            self.highest = Some((live, now));
        }
        is_reclaimed
    }

    fn block(&mut self, now: Instant) {
        let delay = BACKOFF_MIN * 2_u32.saturating_pow(self.refusals.min(8));
        self.blocked_until = Some(now + delay.min(BACKOFF_MAX));
        self.order = None;
    }

    /// Returns the highest recent number of servers that were listed.
    pub(super) fn recent_number(&self, now: Instant) -> u32 {
        let recent = self
            .highest
            .filter(|(_, at)| now < *at + UNLISTED_RETENTION);
        recent.map_or(0, |(number, _)| number)
    }

    /// Returns whether no server can be had at the moment.
    pub(super) fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|until| now < until)
    }

    /// Returns the number in force: what was ordered, until the host list should show it.
    pub(super) fn number(&self, boot_time: Duration, now: Instant) -> u32 {
        match self.recent_order(boot_time, now) {
            Some(sent) => sent.count,
            None => self.live,
        }
    }

    fn recent_order(&self, boot_time: Duration, now: Instant) -> Option<&Sent> {
        let is_recent = |sent: &&Sent| now < sent.since + boot_time + LISTING_DELAY;
        self.order.as_ref().filter(is_recent)
    }

    /// Returns whether ordered servers are not listed yet.
    pub(super) fn is_booting(&self, boot_time: Duration, now: Instant) -> bool {
        let order = self.recent_order(boot_time, now);
        order.is_some_and(|sent| self.live < sent.count)
    }

    /// Returns whether the last order raised the number.
    pub(super) fn is_raised(&self) -> bool {
        self.order.is_some_and(|sent| sent.count > sent.former)
    }

    /// Returns whether the last order is long enough ago for one that raises the number.
    pub(super) fn may_raise(&self, now: Instant) -> bool {
        self.order
            .is_none_or(|sent| now >= sent.sent_at + GROWTH_INTERVAL)
    }

    pub(super) fn send(&mut self, count: u32, now: Instant) {
        if count < self.recent_number(now) {
            self.highest = Some((count, now));
        }
        self.order = Some(Sent {
            count,
            former: self.live,
            since: now,
            sent_at: now,
            reply: None,
        });
    }

    /// Returns the number to order again, and records that it is sent.
    pub(super) fn repeat(&mut self, boot_time: Duration, now: Instant) -> Option<u32> {
        self.recent_order(boot_time, now)?;
        let live = self.live;
        let sent = self.order.as_mut()?;
        let is_due = sent.reply == Some(Reply::Unanswered)
            && live != sent.count
            && now >= sent.sent_at + REPEAT_INTERVAL;
        if !is_due {
            return None;
        }
        (sent.sent_at, sent.reply) = (now, None);
        Some(sent.count)
    }

    /// Records the response to the order of a number; that of an earlier order is ignored.
    pub(super) fn record_reply(&mut self, count: u32, reply: Reply, now: Instant) {
        let Some(sent) = self.order.as_mut().filter(|sent| sent.count == count) else {
            return;
        };
        sent.reply = Some(reply);
        match reply {
            Reply::Accepted => self.refusals = 0,
            Reply::Refused => {
                self.block(now);
                self.refusals += 1;
            }
            Reply::Unanswered => {}
        }
    }
}
