//! Tracks recent work by customer, to compare each customer with its fair share.

use slotmap::{SlotMap, new_key_type};

use crate::FastMap;

/// Half-life of recorded work, in milliseconds.
const HALF_LIFE_MS: f64 = 20_000.0;

/// Offered work below which a customer counts as idle, in milliseconds of run time after decay.
const IDLE_WORK_MS: f64 = 1.0;

new_key_type! {
    /// Identifies a customer within one entry.
    pub struct CustomerKey;
}

#[derive(Clone, Debug)]
struct Customer {
    /// Weight relative to the other customers; at least one.
    share: u32,
    /// Decayed run time of the requests that arrived.
    offered_ms: f64,
    /// Decayed run time of the requests that were admitted.
    admitted_ms: f64,
    /// Sum of the fractions passed to [`Fairness::should_admit`], less one for each request that
    /// it admitted.
    accumulated_fraction: f64,
}

/// Offered and admitted work by customer, with exponential decay.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fairness {
    customers: SlotMap<CustomerKey, Customer>,
    keys_by_name: FastMap<String, CustomerKey>,
    decayed_to_ms: u64,
}

impl Fairness {
    /// Returns the key of a customer, adding it if it is new, and updates its share.
    pub(crate) fn register_customer(&mut self, name: &str, share: u32) -> CustomerKey {
        let share = share.max(1);
        if let Some(&key) = self.keys_by_name.get(name) {
            self.customers[key].share = share;
            return key;
        }
        let key = self.customers.insert(Customer {
            share,
            offered_ms: 0.0,
            admitted_ms: 0.0,
            accumulated_fraction: 0.0,
        });
        self.keys_by_name.insert(name.to_owned(), key);
        key
    }

    /// Records offered work and returns how much of its fair share the customer has used.
    ///
    /// One means that it got exactly its fair share of the work admitted for all customers that
    /// currently offer work.
    pub(crate) fn on_offered(&mut self, now_ms: u64, key: CustomerKey, work_ms: u64) -> f64 {
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
        // A customer without competition is never limited.
        if active_shares <= f64::from(customer.share) {
            return 0.0;
        }
        let fair_work_ms = admitted_ms * f64::from(customer.share) / active_shares.max(1.0);
        if fair_work_ms > 0.0 { customer.admitted_ms / fair_work_ms } else { 0.0 }
    }

    /// Returns whether to admit the next request when this fraction of the customer's requests is
    /// admitted, evenly spaced.
    pub(crate) fn should_admit(&mut self, key: CustomerKey, fraction: f64) -> bool {
        if fraction >= 1.0 {
            return true;
        }
        let customer = &mut self.customers[key];
        customer.accumulated_fraction += fraction;
        if customer.accumulated_fraction < 1.0 {
            return false;
        }
        customer.accumulated_fraction -= 1.0;
        true
    }

    /// Records admitted work.
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
