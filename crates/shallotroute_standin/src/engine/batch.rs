//! The slots of an engine, granted to waiting requests by priority and then by arrival.

use std::{
    collections::BTreeMap,
    mem,
    sync::{Arc, Mutex, MutexGuard},
};

use tokio::sync::oneshot;

/// The position of a request in the queue; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ticket {
    priority: u8,
    number: u64,
}

/// The slots of an engine.
#[derive(Debug)]
pub(super) struct Batch {
    slots: u32,
    queue: Mutex<Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    running: u32,
    last_number: u64,
    waiting: BTreeMap<Ticket, oneshot::Sender<Slot>>,
}

/// A slot in use; dropping it passes the slot to the next request.
#[derive(Debug)]
pub(super) struct Slot {
    batch: Arc<Batch>,
}

impl Batch {
    pub(super) fn new(slots: u32) -> Arc<Self> {
        Arc::new(Self {
            slots,
            queue: Mutex::default(),
        })
    }

    /// Returns the numbers of running and of waiting requests.
    pub(super) fn counts(&self) -> (u32, u32) {
        let mut queue = self.lock();
        queue.waiting.retain(|_, sender| !sender.is_closed());
        let waiting = u32::try_from(queue.waiting.len()).unwrap_or(u32::MAX);
        (queue.running, waiting)
    }

    /// Returns a ticket behind all requests of the same priority.
    pub(super) fn issue_ticket(&self, priority: u8) -> Ticket {
        let mut queue = self.lock();
        queue.last_number += 1;
        Ticket {
            priority,
            number: queue.last_number,
        }
    }

    /// Waits for a slot. Dropping the future gives up the position in the queue.
    pub(super) async fn acquire(self: &Arc<Self>, ticket: Ticket) -> Slot {
        loop {
            let receiver = {
                let mut queue = self.lock();
                if queue.running < self.slots {
                    queue.running += 1;
                    return Slot {
                        batch: Arc::clone(self),
                    };
                }
                let (sender, receiver) = oneshot::channel();
                queue.waiting.insert(ticket, sender);
                receiver
            };
            if let Ok(slot) = receiver.await {
                return slot;
            }
        }
    }

    /// Returns whether a request of a higher priority waits, to which the holder of `ticket` should
    /// yield its slot.
    pub(super) fn is_preempted(&self, ticket: Ticket) -> bool {
        self.lock()
            .waiting
            .iter()
            .any(|(waiting, sender)| waiting.priority < ticket.priority && !sender.is_closed())
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().expect("no holder of the lock panics")
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut queue = self.batch.lock();
        while let Some((_, sender)) = queue.waiting.pop_first() {
            let slot = Self {
                batch: Arc::clone(&self.batch),
            };
            match sender.send(slot) {
                Ok(()) => return,
                // The queue is locked here, so that dropping the returned slot would deadlock.
                Err(slot) => mem::forget(slot),
            }
        }
        queue.running -= 1;
    }
}
