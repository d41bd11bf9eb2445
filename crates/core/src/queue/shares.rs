//! Weighted fair queueing of one upstream between customers.
//!
//! The virtual time of a customer advances by the work that was started for it, divided by its
//! share. A customer may be scheduled next while its virtual time is at most a fixed lead ahead of
//! the smallest one.

use std::collections::BTreeSet;

use slotmap::{SlotMap, new_key_type};

use crate::{FastMap, queue::EntryKey};

/// Work by which a customer may be ahead of the others and still be scheduled, in milliseconds.
const MAX_LEAD_MS: u64 = 8_000;

/// Virtual time units for one millisecond of work at a share of one.
const VIRTUAL_TIME_PER_MS: u64 = 1_000;

new_key_type! {
    /// Identifies a customer within one queue.
    pub struct CustomerKey;
}

/// Sort key of an entry among those of its customer: by deadline, then by order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SortKey {
    pub(crate) deadline_ms: u64,
    pub(crate) sequence: u64,
    pub(crate) key: EntryKey,
}

#[derive(Clone, Debug)]
struct Customer {
    /// Weight relative to the other customers; at least one.
    share: u32,
    virtual_time: u64,
    waiting: BTreeSet<SortKey>,
}

impl Customer {
    /// Returns the lead in virtual time at which the customer may still be scheduled.
    ///
    /// A single long call moves a customer with a small share as far ahead as many calls move one
    /// with a large share, so the allowed lead is equal for all in work, not in virtual time.
    fn max_lead(&self) -> u64 {
        MAX_LEAD_MS * VIRTUAL_TIME_PER_MS / u64::from(self.share)
    }
}

/// Waiting entries and virtual time of each customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    customers: SlotMap<CustomerKey, Customer>,
    keys_by_name: FastMap<String, CustomerKey>,
    /// Virtual time at which customers without backlog rejoin; never decreases.
    virtual_now: u64,
}

impl Shares {
    /// Returns the key of a customer, adding it if it is new, and updates its share.
    pub(crate) fn register_customer(&mut self, name: &str, share: u32) -> CustomerKey {
        let share = share.max(1);
        if let Some(&key) = self.keys_by_name.get(name) {
            self.customers[key].share = share;
            return key;
        }
        let customer =
            Customer { share, virtual_time: self.virtual_now, waiting: BTreeSet::default() };
        let key = self.customers.insert(customer);
        self.keys_by_name.insert(name.to_owned(), key);
        key
    }

    /// Adds a waiting entry.
    pub(crate) fn insert(&mut self, customer: CustomerKey, sort_key: SortKey) {
        let virtual_now = self.virtual_now;
        let customer = &mut self.customers[customer];

        // Idle time earns a customer no credit for later.
        if customer.waiting.is_empty() {
            customer.virtual_time = customer.virtual_time.max(virtual_now);
        }
        customer.waiting.insert(sort_key);
    }

    /// Removes a waiting entry.
    pub(crate) fn remove(&mut self, customer: CustomerKey, sort_key: SortKey) {
        self.customers[customer].waiting.remove(&sort_key);
    }

    /// Charges a customer for work that is started for it.
    pub(crate) fn charge(&mut self, customer: CustomerKey, work_ms: u64) {
        let customer = &mut self.customers[customer];
        let start = customer.virtual_time;
        customer.virtual_time += work_ms.max(1) * VIRTUAL_TIME_PER_MS / u64::from(customer.share);
        let min_virtual_time = self.min_backlogged_virtual_time().unwrap_or(start);
        self.virtual_now = self.virtual_now.max(start.min(min_virtual_time));
    }

    /// Returns the entry to schedule next among those that `may_start`.
    pub(crate) fn select(&self, may_start: impl Fn(EntryKey) -> bool) -> Option<EntryKey> {
        let mut candidates = Vec::new();
        for customer in self.customers.values() {
            let first = customer.waiting.iter().find(|it| may_start(it.key));
            let Some(&first) = first else { continue };
            candidates.push((customer.virtual_time, customer.max_lead(), first));
        }

        let min_virtual_time = candidates.iter().map(|(virtual_time, ..)| *virtual_time).min()?;
        candidates
            .retain(|(virtual_time, max_lead, _)| *virtual_time <= min_virtual_time + max_lead);
        candidates.iter().map(|(.., first)| *first).min().map(|it| it.key)
    }

    /// Returns the entry with the earliest deadline of all customers, among those that `may_start`.
    #[cfg(feature = "sabotage")]
    pub(crate) fn earliest(&self, may_start: impl Fn(EntryKey) -> bool) -> Option<EntryKey> {
        let mut earliest = None;
        for customer in self.customers.values() {
            for &sort_key in customer.waiting.iter().filter(|it| may_start(it.key)) {
                if earliest.is_none_or(|it| sort_key < it) {
                    earliest = Some(sort_key);
                }
            }
        }
        earliest.map(|it: SortKey| it.key)
    }

    /// Returns whether the waiting entries of a customer fill its quota of a queue with
    /// `max_queued` places.
    pub(crate) fn has_reached_quota(&self, customer: CustomerKey, max_queued: u32) -> bool {
        let quota = self.quota(customer, self.active_shares(customer), max_queued);
        self.customers[customer].waiting.len() >= quota
    }

    /// Returns the entry to evict for a new one of `newcomer`: the one with the latest deadline of
    /// the other customer that exceeds its quota by most.
    pub(crate) fn entry_to_evict(
        &self,
        newcomer: CustomerKey,
        max_queued: u32,
    ) -> Option<EntryKey> {
        let active_shares = self.active_shares(newcomer);
        let mut max_excess = 0;
        let mut evicted = None;
        for (key, customer) in &self.customers {
            let quota = self.quota(key, active_shares, max_queued);
            let excess = customer.waiting.len().saturating_sub(quota);
            if key == newcomer || excess <= max_excess {
                continue;
            }
            max_excess = excess;
            evicted = customer.waiting.last().map(|it| it.key);
        }
        evicted
    }

    /// Sums the shares of `newcomer` and of all customers that have entries waiting.
    fn active_shares(&self, newcomer: CustomerKey) -> u64 {
        let mut sum = 0;
        for (key, customer) in &self.customers {
            if key != newcomer && customer.waiting.is_empty() {
                continue;
            }
            sum += u64::from(customer.share);
        }
        sum
    }

    /// Returns the places that a customer may claim in a full queue: its weighted share, at least
    /// one.
    fn quota(&self, customer: CustomerKey, active_shares: u64, max_queued: u32) -> usize {
        let share = u64::from(self.customers[customer].share);
        let quota = u64::from(max_queued) * share / active_shares.max(1);
        quota.max(1) as usize
    }

    fn min_backlogged_virtual_time(&self) -> Option<u64> {
        let waiting = self.customers.values().filter(|it| !it.waiting.is_empty());
        waiting.map(|it| it.virtual_time).min()
    }
}
