//! Bounded queue of attempts in front of the one upstream of an agent.
//!
//! Customers share the upstream by weight. Among the customers that are within their share, the
//! entry with the earliest deadline goes first. An entry that can no longer finish by its deadline
//! leaves the queue without having run.

mod shares;
#[cfg(test)]
mod tests;

use slotmap::{SlotMap, new_key_type};

pub use crate::queue::shares::CustomerKey;
use crate::{
    ids::AttemptId,
    outcome::Reason,
    queue::shares::{Shares, SortKey},
};

new_key_type! {
    /// Identifies an entry from its push until it leaves the queue or finishes.
    pub struct EntryKey;
}

/// An attempt that waits for the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// The attempt.
    pub attempt: AttemptId,
    /// Customer on whose behalf the attempt runs.
    pub customer: CustomerKey,
    /// Time by which the attempt has to finish, in milliseconds.
    pub deadline_ms: u64,
    /// Latest time at which the attempt may start, in milliseconds.
    pub dispatch_by_ms: u64,
    /// Expected run time, in milliseconds.
    pub estimate_ms: u64,
    /// Whether the attempt runs only while nothing else does.
    pub exclusive: bool,
}

impl QueueEntry {
    /// Returns the latest time at which the entry may still start.
    pub fn latest_start_ms(&self) -> u64 {
        self.dispatch_by_ms.min(self.deadline_ms.saturating_sub(self.estimate_ms))
    }

    /// Tells why the entry may no longer start, if that is so.
    fn expired(&self, now_ms: u64) -> Option<Reason> {
        if now_ms.saturating_add(self.estimate_ms) > self.deadline_ms {
            return Some(Reason::DeadlineUnreachable);
        }
        if now_ms > self.dispatch_by_ms {
            return Some(Reason::DispatchExpired);
        }
        None
    }
}

/// An entry that left the queue without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// The key, which is no longer valid.
    pub key: EntryKey,
    /// The entry.
    pub entry: QueueEntry,
    /// Why it did not run.
    pub reason: Reason,
}

/// An entry that the queue accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pushed {
    /// Key of the accepted entry.
    pub key: EntryKey,
    /// Entry of another customer that had to make room.
    pub evicted: Option<Dropped>,
}

/// An entry that the caller has to run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Popped {
    /// Key to pass to [`Queue::finish`].
    pub key: EntryKey,
    /// The entry.
    pub entry: QueueEntry,
    /// Time that the entry waited, in milliseconds.
    pub queued_ms: u64,
}

/// Mechanisms that tests switch off.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sabotage {
    /// Everything works.
    #[default]
    None,
    /// Exclusive entries run beside others.
    IgnoreExclusive,
    /// Entries start although they can't finish in time.
    StartExpired,
    /// Entries start in the order of their deadlines, whoever the customer is.
    IgnoreShares,
    /// A full queue refuses every customer alike.
    NoEviction,
    /// The queue accepts more entries than its limit.
    Unbounded,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Queued,
    Running,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    entry: QueueEntry,
    state: State,
    sequence: u64,
    pushed_ms: u64,
}

impl Slot {
    fn sort_key(&self, key: EntryKey) -> SortKey {
        SortKey { deadline_ms: self.entry.deadline_ms, sequence: self.sequence, key }
    }
}

/// Queue in front of one upstream.
#[derive(Clone, Debug)]
pub struct Queue {
    max_queued: u32,
    slots: SlotMap<EntryKey, Slot>,
    shares: Shares,
    queued: u32,
    next_sequence: u64,
    /// Exclusive entry whose turn it is and that waits until nothing runs.
    held: Option<EntryKey>,
    #[cfg(feature = "sabotage")]
    sabotage: Sabotage,
}

impl Queue {
    /// Creates a queue that holds at most `max_queued` waiting entries.
    pub fn new(max_queued: u32) -> Self {
        Self {
            max_queued,
            slots: SlotMap::with_key(),
            shares: Shares::default(),
            queued: 0,
            next_sequence: 0,
            held: None,
            #[cfg(feature = "sabotage")]
            sabotage: Sabotage::None,
        }
    }

    /// Switches one mechanism off.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, sabotage: Sabotage) {
        self.sabotage = sabotage;
    }

    /// Takes over a changed limit; entries beyond a lower one stay.
    pub fn set_max_queued(&mut self, max_queued: u32) {
        self.max_queued = max_queued;
    }

    /// Returns the key of a customer and takes over its current share.
    pub fn register_customer(&mut self, name: &str, share: u32) -> CustomerKey {
        self.shares.register_customer(name, share)
    }

    /// Returns the number of waiting entries.
    pub fn queued(&self) -> u32 {
        self.queued
    }

    /// Returns the number of entries that were popped and have not finished.
    pub fn running(&self) -> u32 {
        self.slots.len() as u32 - self.queued
    }

    /// Returns the expected run time of all waiting entries together, in milliseconds.
    pub fn queued_work_ms(&self) -> u64 {
        self.waiting().map(|(_, slot)| slot.entry.estimate_ms).sum()
    }

    /// Appends an entry.
    ///
    /// When the queue is full, a customer below its part of the queue takes the place of the entry
    /// with the latest deadline of the customer that is furthest above its own.
    ///
    /// # Errors
    ///
    /// `DeadlineUnreachable` or `DispatchExpired` when it is too late to start the entry,
    /// `CustomerShare` when the queue is full and the customer has its part of it, `Busy` when the
    /// queue is full and no customer exceeds its part.
    pub fn push(&mut self, now_ms: u64, entry: QueueEntry) -> Result<Pushed, Reason> {
        if let Some(reason) = self.refusal(now_ms, &entry) {
            return Err(reason);
        }
        let evicted = self.make_room(entry.customer)?;

        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let slot = Slot { entry, state: State::Queued, sequence, pushed_ms: now_ms };
        let key = self.slots.insert(slot);
        self.shares.insert(entry.customer, slot.sort_key(key));
        self.queued += 1;
        Ok(Pushed { key, evicted })
    }

    /// Takes the next entry to run, if there is one that may start now.
    ///
    /// Entries that may no longer start are passed over; [`Queue::expire`] returns them.
    pub fn pop(&mut self, now_ms: u64) -> Option<Popped> {
        self.pop_if(now_ms, |_| true)
    }

    /// Takes the next entry to run among those that `is_eligible`, if there is one that may start now.
    ///
    /// An entry that was eligible once has to stay so.
    pub(crate) fn pop_if(
        &mut self,
        now_ms: u64,
        is_eligible: impl Fn(EntryKey) -> bool,
    ) -> Option<Popped> {
        if self.is_exclusive_running() {
            return None;
        }
        let key = self.select(now_ms, is_eligible)?;
        let slot = self.slots[key];

        // Nothing overtakes an exclusive entry whose turn it is; otherwise it might never start.
        if self.must_wait(&slot.entry) {
            self.held = Some(key);
            return None;
        }

        self.held = None;
        self.shares.remove(slot.entry.customer, slot.sort_key(key));
        self.shares.charge(slot.entry.customer, slot.entry.estimate_ms);
        self.slots[key].state = State::Running;
        self.queued -= 1;
        let queued_ms = now_ms.saturating_sub(slot.pushed_ms);
        Some(Popped { key, entry: slot.entry, queued_ms })
    }

    /// Ends an entry that was popped; returns `None` if it was not running.
    pub fn finish(&mut self, key: EntryKey) -> Option<QueueEntry> {
        if self.slots.get(key)?.state != State::Running {
            return None;
        }
        self.slots.remove(key).map(|it| it.entry)
    }

    /// Takes a waiting entry out; returns `None` if it no longer waits.
    pub fn remove(&mut self, key: EntryKey) -> Option<QueueEntry> {
        let slot = *self.slots.get(key)?;
        if slot.state != State::Queued {
            return None;
        }
        self.slots.remove(key);
        self.shares.remove(slot.entry.customer, slot.sort_key(key));
        self.queued -= 1;
        if self.held == Some(key) {
            self.held = None;
        }
        Some(slot.entry)
    }

    /// Takes out every waiting entry that may no longer start.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Dropped> {
        let mut late = Vec::new();
        for (key, slot) in self.waiting() {
            let Some(reason) = slot.entry.expired(now_ms) else { continue };
            late.push(Dropped { key, entry: slot.entry, reason });
        }
        for dropped in &late {
            self.remove(dropped.key);
        }
        late
    }

    /// Returns the next time at which [`Queue::expire`] may return something, in milliseconds.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.waiting().map(|(_, slot)| slot.entry.latest_start_ms().saturating_add(1)).min()
    }

    /// Takes out every waiting entry for `reason`, in the order of arrival.
    pub fn drain(&mut self, reason: Reason) -> Vec<Dropped> {
        let mut waiting: Vec<_> = self.waiting().map(|(key, slot)| (slot.sequence, key)).collect();
        waiting.sort_unstable();

        let mut drained = Vec::new();
        for (_, key) in waiting {
            let Some(entry) = self.remove(key) else { continue };
            drained.push(Dropped { key, entry, reason });
        }
        drained
    }

    fn waiting(&self) -> impl Iterator<Item = (EntryKey, &Slot)> {
        self.slots.iter().filter(|(_, slot)| slot.state == State::Queued)
    }

    fn refusal(&self, now_ms: u64, entry: &QueueEntry) -> Option<Reason> {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::StartExpired {
            return None;
        }
        entry.expired(now_ms)
    }

    fn make_room(&mut self, customer: CustomerKey) -> Result<Option<Dropped>, Reason> {
        if self.queued < self.max_queued || self.is_unbounded() {
            return Ok(None);
        }
        if self.shares.has_its_part(customer, self.max_queued) {
            return Err(Reason::CustomerShare);
        }
        if self.never_evicts() {
            return Err(Reason::Busy);
        }

        let Some(key) = self.shares.entry_to_evict(customer, self.max_queued) else {
            return Err(Reason::Busy);
        };
        let entry = self.remove(key).expect("customers list only waiting entries");
        Ok(Some(Dropped { key, entry, reason: Reason::CustomerShare }))
    }

    fn is_exclusive_running(&self) -> bool {
        if self.ignores_exclusive() {
            return false;
        }
        self.slots.values().any(|it| it.state == State::Running && it.entry.exclusive)
    }

    fn must_wait(&self, entry: &QueueEntry) -> bool {
        entry.exclusive && self.running() > 0 && !self.ignores_exclusive()
    }

    fn select(&self, now_ms: u64, is_eligible: impl Fn(EntryKey) -> bool) -> Option<EntryKey> {
        let may_start =
            |key: EntryKey| is_eligible(key) && self.may_start(now_ms, &self.slots[key].entry);
        if let Some(held) = self.held
            && may_start(held)
        {
            return Some(held);
        }

        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::IgnoreShares {
            return self.shares.earliest(may_start);
        }
        self.shares.select(may_start)
    }

    fn may_start(&self, now_ms: u64, entry: &QueueEntry) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::StartExpired {
            return true;
        }
        entry.expired(now_ms).is_none()
    }

    fn ignores_exclusive(&self) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::IgnoreExclusive {
            return true;
        }
        false
    }

    fn is_unbounded(&self) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::Unbounded {
            return true;
        }
        false
    }

    fn never_evicts(&self) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::NoEviction {
            return true;
        }
        false
    }
}
