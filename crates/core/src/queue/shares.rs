//! Weighted sharing of one upstream between customers by virtual time.
//!
//! Each customer's virtual time advances by the work it was given, divided by its share. A customer
//! may go next while it is not too far ahead of the customer with the least virtual time.

use std::collections::BTreeSet;

use slotmap::{SlotMap, new_key_type};

use crate::{FastMap, queue::EntryKey};

/// Work by which a customer may be ahead of the others and still go next, in milliseconds.
const LEAD_WORK_MS: u64 = 8_000;

/// Virtual time of one millisecond of work at a share of one.
const VIRTUAL_UNIT: u64 = 1_000;

new_key_type! {
    /// Identifies a customer within one queue.
    pub struct CustomerKey;
}

/// Position of an entry among the entries of its customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SortKey {
    pub(crate) deadline_ms: u64,
    pub(crate) sequence: u64,
    pub(crate) key: EntryKey,
}

#[derive(Clone, Debug)]
struct Customer {
    share: u32,
    virtual_time: u64,
    waiting: BTreeSet<SortKey>,
}

impl Customer {
    /// Returns the lead in virtual time with which the customer may still go next.
    ///
    /// One long call puts a small customer as far ahead as many put a large one, so the lead is the
    /// same for all in work, not in virtual time.
    fn lead(&self) -> u64 {
        LEAD_WORK_MS * VIRTUAL_UNIT / u64::from(self.share)
    }
}

/// Waiting entries by customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    customers: SlotMap<CustomerKey, Customer>,
    keys_by_name: FastMap<String, CustomerKey>,
    virtual_now: u64,
}

impl Shares {
    /// Returns the key of a customer and takes over its current share.
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

        // A customer gains no claim by having been idle.
        if customer.waiting.is_empty() {
            customer.virtual_time = customer.virtual_time.max(virtual_now);
        }
        customer.waiting.insert(sort_key);
    }

    /// Removes a waiting entry.
    pub(crate) fn remove(&mut self, customer: CustomerKey, sort_key: SortKey) {
        self.customers[customer].waiting.remove(&sort_key);
    }

    /// Charges a customer for work that it was given.
    pub(crate) fn charge(&mut self, customer: CustomerKey, work_ms: u64) {
        let customer = &mut self.customers[customer];
        let start = customer.virtual_time;
        customer.virtual_time += work_ms.max(1) * VIRTUAL_UNIT / u64::from(customer.share);
        let least = self.least_virtual_time().unwrap_or(start);
        self.virtual_now = self.virtual_now.max(start.min(least));
    }

    /// Returns the entry that goes next among those that `may_start`.
    pub(crate) fn select(&self, may_start: impl Fn(EntryKey) -> bool) -> Option<EntryKey> {
        let mut firsts = Vec::new();
        for customer in self.customers.values() {
            let first = customer.waiting.iter().find(|it| may_start(it.key));
            let Some(&first) = first else { continue };
            firsts.push((customer.virtual_time, customer.lead(), first));
        }

        let least = firsts.iter().map(|(virtual_time, ..)| *virtual_time).min()?;
        firsts.retain(|(virtual_time, lead, _)| *virtual_time <= least + lead);
        firsts.iter().map(|(.., first)| *first).min().map(|it| it.key)
    }

    /// Returns the entry with the earliest deadline of all customers.
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

    /// Tells whether a customer fills at least its part of a queue of `max_queued` places.
    pub(crate) fn has_its_part(&self, customer: CustomerKey, max_queued: u32) -> bool {
        let part = self.part(customer, self.active_shares(customer), max_queued);
        self.customers[customer].waiting.len() >= part
    }

    /// Returns the entry that makes room for `newcomer`: the latest of the customer that exceeds
    /// its part by most.
    pub(crate) fn entry_to_evict(
        &self,
        newcomer: CustomerKey,
        max_queued: u32,
    ) -> Option<EntryKey> {
        let active_shares = self.active_shares(newcomer);
        let mut most_excess = 0;
        let mut evicted = None;
        for (key, customer) in &self.customers {
            let part = self.part(key, active_shares, max_queued);
            let excess = customer.waiting.len().saturating_sub(part);
            if key == newcomer || excess <= most_excess {
                continue;
            }
            most_excess = excess;
            evicted = customer.waiting.last().map(|it| it.key);
        }
        evicted
    }

    /// Sums the shares of all customers that have entries waiting or bring one.
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

    fn part(&self, customer: CustomerKey, active_shares: u64, max_queued: u32) -> usize {
        let share = u64::from(self.customers[customer].share);
        let part = u64::from(max_queued) * share / active_shares.max(1);
        part.max(1) as usize
    }

    fn least_virtual_time(&self) -> Option<u64> {
        let waiting = self.customers.values().filter(|it| !it.waiting.is_empty());
        waiting.map(|it| it.virtual_time).min()
    }
}
