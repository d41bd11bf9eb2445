//! Shares of customers in the work that an entry admits.

use slotmap::{SlotMap, new_key_type};

use crate::FastMap;

/// Time in which past work counts half, in milliseconds.
const HALF_LIFE_MS: f64 = 20_000.0;

/// Offered work below which a customer counts as idle, in milliseconds of run time.
const IDLE_WORK_MS: f64 = 1.0;

new_key_type! {
    /// Identifies a customer within one entry.
    pub struct CustomerKey;
}

#[derive(Clone, Debug)]
struct Customer {
    share: u32,
    offered_ms: f64,
    admitted_ms: f64,
    /// Parts of requests that were due for admission and not admitted.
    due: f64,
}

/// Recent work by customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fairness {
    customers: SlotMap<CustomerKey, Customer>,
    keys_by_name: FastMap<String, CustomerKey>,
    decayed_to_ms: u64,
}

impl Fairness {
    /// Returns the key of a customer and takes over its current share.
    pub(crate) fn register_customer(&mut self, name: &str, share: u32) -> CustomerKey {
        let share = share.max(1);
        if let Some(&key) = self.keys_by_name.get(name) {
            self.customers[key].share = share;
            return key;
        }
        let key =
            self.customers.insert(Customer { share, offered_ms: 0.0, admitted_ms: 0.0, due: 0.0 });
        self.keys_by_name.insert(name.to_owned(), key);
        key
    }

    /// Notes offered work; returns the customer's admitted work relative to its share.
    ///
    /// One means exactly its share of what was admitted for all customers that offer work.
    pub(crate) fn offer(&mut self, now_ms: u64, key: CustomerKey, work_ms: u64) -> f64 {
        self.decay(now_ms);
        self.customers[key].offered_ms += work_ms as f64;

        let mut active_shares = 0.0;
        let mut admitted_ms = 0.0;
        for customer in self.customers.values() {
            admitted_ms += customer.admitted_ms;
            if customer.offered_ms >= IDLE_WORK_MS {
                active_shares += f64::from(customer.share);
            }
        }
        let customer = &self.customers[key];
        // Nobody else wants the part of a customer that is alone.
        if active_shares <= f64::from(customer.share) {
            return 0.0;
        }
        let part_ms = admitted_ms * f64::from(customer.share) / active_shares.max(1.0);
        if part_ms > 0.0 { customer.admitted_ms / part_ms } else { 0.0 }
    }

    /// Admits the given part of a customer's requests, spread evenly.
    pub(crate) fn thin(&mut self, key: CustomerKey, part: f64) -> bool {
        if part >= 1.0 {
            return true;
        }
        let customer = &mut self.customers[key];
        customer.due += part;
        if customer.due < 1.0 {
            return false;
        }
        customer.due -= 1.0;
        true
    }

    /// Notes admitted work.
    pub(crate) fn on_admitted(&mut self, now_ms: u64, key: CustomerKey, work_ms: u64) {
        self.decay(now_ms);
        self.customers[key].admitted_ms += work_ms as f64;
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.decayed_to_ms);
        if elapsed_ms == 0 {
            return;
        }
        self.decayed_to_ms = now_ms;
        let factor = (-(elapsed_ms as f64) / HALF_LIFE_MS).exp2();
        for customer in self.customers.values_mut() {
            customer.offered_ms *= factor;
            customer.admitted_ms *= factor;
        }
    }
}
