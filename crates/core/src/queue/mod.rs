//! Bounded queue of attempts that wait for the upstream of an agent.
//!
//! Customers share the upstream by weighted fair queueing. Among the customers that are not too far
//! ahead of their fair share, the entry with the earliest deadline is scheduled first. An entry
//! that can no longer finish by its deadline expires and is removed without having run.

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
    /// Identifies an entry from its push until it is removed or finishes.
    pub struct EntryKey;
}

/// An attempt in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Customer on whose behalf the attempt runs.
    pub customer: CustomerKey,
    /// Deadline of the attempt, in milliseconds.
    pub deadline_ms: u64,
    /// Latest time at which the attempt may start, in milliseconds.
    pub dispatch_by_ms: u64,
    /// Expected run time, in milliseconds.
    pub estimate_ms: u64,
    /// Whether no other attempt may run at the upstream at the same time.
    pub exclusive: bool,
}

impl QueueEntry {
    /// Returns the latest start that meets both the dispatch limit and the deadline, in
    /// milliseconds.
    pub fn latest_start_ms(&self) -> u64 {
        self.dispatch_by_ms.min(self.deadline_ms.saturating_sub(self.estimate_ms))
    }

    /// Returns why the entry may no longer start, or `None` while it may.
    fn expiry_reason(&self, now_ms: u64) -> Option<Reason> {
        if now_ms.saturating_add(self.estimate_ms) > self.deadline_ms {
            return Some(Reason::DeadlineUnreachable);
        }
        if now_ms > self.dispatch_by_ms {
            return Some(Reason::DispatchExpired);
        }
        None
    }
}

/// An entry that was removed without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// Former key of the entry; no longer valid.
    pub key: EntryKey,
    /// The removed entry.
    pub entry: QueueEntry,
    /// Why it did not run.
    pub reason: Reason,
}

/// Result of a successful [`Queue::push`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pushed {
    /// Key of the accepted entry.
    pub key: EntryKey,
    /// Entry of another customer that was evicted because the queue was full.
    pub evicted: Option<Dropped>,
}

/// An entry taken from the queue, which the caller has to run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Popped {
    /// Key to pass to [`Queue::finish`].
    pub key: EntryKey,
    /// The entry to run.
    pub entry: QueueEntry,
    /// Time that the entry spent in the queue, in milliseconds.
    pub queued_ms: u64,
}

/// Faults that tests inject by disabling one mechanism of the queue.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sabotage {
    /// No fault.
    #[default]
    None,
    /// Exclusive entries run at the same time as others.
    IgnoreExclusive,
    /// Expired entries are accepted and started.
    StartExpired,
    /// Entries start in the order of their deadlines, regardless of customer shares.
    IgnoreShares,
    /// A full queue rejects every push instead of evicting an entry.
    NoEviction,
    /// The queue accepts more entries than its limit.
    Unbounded,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryState {
    Queued,
    Running,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    entry: QueueEntry,
    state: EntryState,
    /// Position in the order of arrival.
    sequence: u64,
    pushed_ms: u64,
}

impl Slot {
    fn sort_key(&self, key: EntryKey) -> SortKey {
        SortKey { deadline_ms: self.entry.deadline_ms, sequence: self.sequence, key }
    }
}

/// Bounded queue of the attempts for one upstream.
#[derive(Clone, Debug)]
pub struct Queue {
    max_queued: u32,
    slots: SlotMap<EntryKey, Slot>,
    shares: Shares,
    queued: u32,
    next_sequence: u64,
    /// Exclusive entry that was selected and blocks the queue until nothing runs.
    pending_exclusive: Option<EntryKey>,
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
            pending_exclusive: None,
            #[cfg(feature = "sabotage")]
            sabotage: Sabotage::None,
        }
    }

    /// Disables one mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, sabotage: Sabotage) {
        self.sabotage = sabotage;
    }

    /// Changes the limit of waiting entries; entries beyond a lower limit stay.
    pub fn set_max_queued(&mut self, max_queued: u32) {
        self.max_queued = max_queued;
    }

    /// Returns the key of a customer, adding it if it is new, and updates its share.
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

    /// Adds an entry.
    ///
    /// When the queue is full and the customer is below its quota, the entry with the latest
    /// deadline of the customer that exceeds its quota by most is evicted.
    ///
    /// # Errors
    ///
    /// `DeadlineUnreachable` or `DispatchExpired` when it is too late to start the entry,
    /// `CustomerShare` when the queue is full and the customer has reached its quota, `Busy` when
    /// the queue is full and no other customer exceeds its quota.
    pub fn push(&mut self, now_ms: u64, entry: QueueEntry) -> Result<Pushed, Reason> {
        if let Some(reason) = self.rejection_reason(now_ms, &entry) {
            return Err(reason);
        }
        let evicted = self.evict_if_full(entry.customer)?;

        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let slot = Slot { entry, state: EntryState::Queued, sequence, pushed_ms: now_ms };
        let key = self.slots.insert(slot);
        self.shares.insert(entry.customer, slot.sort_key(key));
        self.queued += 1;
        Ok(Pushed { key, evicted })
    }

    /// Takes the next entry to run, if there is one that may start now.
    ///
    /// Expired entries are skipped; [`Queue::expire`] removes and returns them.
    pub fn pop(&mut self, now_ms: u64) -> Option<Popped> {
        self.pop_if(now_ms, |_| true)
    }

    /// Takes the next entry to run among those that `is_eligible`, if there is one that may start
    /// now.
    ///
    /// An entry that was eligible once has to stay eligible.
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

        // No entry overtakes a selected exclusive one; otherwise it could be starved.
        if self.must_wait_for_idle(&slot.entry) {
            self.pending_exclusive = Some(key);
            return None;
        }

        self.pending_exclusive = None;
        self.shares.remove(slot.entry.customer, slot.sort_key(key));
        self.shares.charge(slot.entry.customer, slot.entry.estimate_ms);
        self.slots[key].state = EntryState::Running;
        self.queued -= 1;
        let queued_ms = now_ms.saturating_sub(slot.pushed_ms);
        Some(Popped { key, entry: slot.entry, queued_ms })
    }

    /// Removes a running entry that ended; returns `None` if it was not running.
    pub fn finish(&mut self, key: EntryKey) -> Option<QueueEntry> {
        if self.slots.get(key)?.state != EntryState::Running {
            return None;
        }
        self.slots.remove(key).map(|it| it.entry)
    }

    /// Removes a waiting entry; returns `None` if it is not waiting.
    pub fn remove(&mut self, key: EntryKey) -> Option<QueueEntry> {
        let slot = *self.slots.get(key)?;
        if slot.state != EntryState::Queued {
            return None;
        }
        self.slots.remove(key);
        self.shares.remove(slot.entry.customer, slot.sort_key(key));
        self.queued -= 1;
        if self.pending_exclusive == Some(key) {
            self.pending_exclusive = None;
        }
        Some(slot.entry)
    }

    /// Removes and returns every waiting entry that may no longer start.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Dropped> {
        let mut expired_entries = Vec::new();
        for (key, slot) in self.waiting() {
            let Some(reason) = slot.entry.expiry_reason(now_ms) else { continue };
            expired_entries.push(Dropped { key, entry: slot.entry, reason });
        }
        for dropped in &expired_entries {
            self.remove(dropped.key);
        }
        expired_entries
    }

    /// Returns the earliest time at which an entry that waits now expires, in milliseconds.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.waiting().map(|(_, slot)| slot.entry.latest_start_ms().saturating_add(1)).min()
    }

    /// Removes and returns every waiting entry with `reason`, in the order of arrival.
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
        self.slots.iter().filter(|(_, slot)| slot.state == EntryState::Queued)
    }

    fn rejection_reason(&self, now_ms: u64, entry: &QueueEntry) -> Option<Reason> {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::StartExpired {
            return None;
        }
        entry.expiry_reason(now_ms)
    }

    fn evict_if_full(&mut self, customer: CustomerKey) -> Result<Option<Dropped>, Reason> {
        if self.queued < self.max_queued || self.is_unbounded() {
            return Ok(None);
        }
        if self.shares.has_reached_quota(customer, self.max_queued) {
            return Err(Reason::CustomerShare);
        }
        if self.is_eviction_disabled() {
            return Err(Reason::Busy);
        }

        let Some(key) = self.shares.entry_to_evict(customer, self.max_queued) else {
            return Err(Reason::Busy);
        };
        let entry = self.remove(key).expect("shares contain only waiting entries");
        Ok(Some(Dropped { key, entry, reason: Reason::CustomerShare }))
    }

    fn is_exclusive_running(&self) -> bool {
        if self.ignores_exclusivity() {
            return false;
        }
        self.slots.values().any(|it| it.state == EntryState::Running && it.entry.exclusive)
    }

    fn must_wait_for_idle(&self, entry: &QueueEntry) -> bool {
        entry.exclusive && self.running() > 0 && !self.ignores_exclusivity()
    }

    fn select(&self, now_ms: u64, is_eligible: impl Fn(EntryKey) -> bool) -> Option<EntryKey> {
        let may_start =
            |key: EntryKey| is_eligible(key) && self.may_start(now_ms, &self.slots[key].entry);
        if let Some(pending_exclusive) = self.pending_exclusive
            && may_start(pending_exclusive)
        {
            return Some(pending_exclusive);
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
        entry.expiry_reason(now_ms).is_none()
    }

    fn ignores_exclusivity(&self) -> bool {
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

    fn is_eviction_disabled(&self) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::NoEviction {
            return true;
        }
        false
    }
}
