//! Memory for the bodies of callers' requests, which are read to their end before they are sent on.
//!
//! The load that this answers: many callers with large bodies at once, most of which never finish them. All
//! bodies share one total, so that no number of callers takes a process over its memory. When it is used up, a
//! body gets room from others that are not complete: first from those that make no progress, then from the
//! customer that holds the most. A part is kept for small bodies, and another one for customers that
//! hold nothing yet. Bodies that are complete are not evicted, since their requests may run.

use std::{cmp::Reverse, sync::Arc};

use derive_more::Display;
use slotmap::SlotMap;

use crate::FastMap;

/// Size up to which a body counts as small, in bytes.
const SMALL_BYTES: usize = 16 * 1024;
/// Part of the total that only small bodies use.
const SMALL_SHARE: f64 = 1.0 / 8.0;
/// Part of the rest that one customer uses at most, unless it holds a single body.
const CUSTOMER_SHARE: f64 = 3.0 / 4.0;
/// Time without progress after which a body may be evicted, in milliseconds; a lost packet and its
/// retransmission take less.
const STALL_MS: u64 = 400;
/// Time after which a body may be evicted if it arrives more slowly than [`MIN_BYTES_PER_MS`], in
/// milliseconds.
const SLOW_START_MS: u64 = 1_000;
/// Rate that no caller within a region falls below over a second, in bytes per millisecond.
const MIN_BYTES_PER_MS: u64 = 32;

slotmap::new_key_type! {
    /// Identifies the body of one request.
    pub struct BodyKey;
}

/// Why a body gets no memory.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BodyMemoryError {
    /// The total is used up by bodies that may not be evicted for this one.
    #[display("no memory is left for the body")]
    Exhausted,
    /// The body was evicted in favour of another one.
    #[display("the memory of the body was needed for another one")]
    Evicted,
}

/// Memory of the bodies that are held at the same time.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    total_bytes: usize,
    held_bytes: usize,
    bodies: SlotMap<BodyKey, Body>,
    customers: FastMap<Arc<str>, CustomerUse>,
}

/// What one customer holds.
#[derive(Clone, Copy, Debug, Default)]
struct CustomerUse {
    held_bytes: usize,
    bodies: usize,
}

#[derive(Clone, Debug)]
struct Body {
    customer: Arc<str>,
    held_bytes: usize,
    received_bytes: usize,
    begun_ms: u64,
    progressed_ms: u64,
    is_complete: bool,
}

/// A body that may be evicted.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    key: BodyKey,
    customer: &'a Arc<str>,
    /// What its customer holds.
    use_bytes: usize,
    held_bytes: usize,
    is_stalled: bool,
    is_taken: bool,
}

impl Body {
    /// Tells whether the body has not arrived as fast as callers send.
    fn is_stalled(&self, now_ms: u64) -> bool {
        if self.is_complete {
            return false;
        }
        let age_ms = now_ms.saturating_sub(self.begun_ms);
        let due_bytes = age_ms.saturating_sub(SLOW_START_MS) * MIN_BYTES_PER_MS;
        now_ms.saturating_sub(self.progressed_ms) >= STALL_MS
            || (self.received_bytes as u64) < due_bytes
    }
}

impl BodyMemory {
    /// Creates the memory with its total.
    pub fn new(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            held_bytes: 0,
            bodies: SlotMap::with_key(),
            customers: FastMap::default(),
        }
    }

    /// Returns the number of bytes that all bodies hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Begins a body, which holds nothing yet.
    pub fn begin(&mut self, customer: &str, now_ms: u64) -> BodyKey {
        let customer = match self.customers.get_key_value(customer) {
            Some((name, _)) => name.clone(),
            None => Arc::from(customer),
        };
        self.customers.entry(customer.clone()).or_default().bodies += 1;
        self.bodies.insert(Body {
            customer,
            held_bytes: 0,
            received_bytes: 0,
            begun_ms: now_ms,
            progressed_ms: now_ms,
            is_complete: false,
        })
    }

    /// Lets a body hold a number of bytes in all, and returns the bodies that were evicted for it.
    ///
    /// # Errors
    ///
    /// Returns why it may not hold them; it then holds what it held before.
    pub fn hold(
        &mut self,
        key: BodyKey,
        bytes: usize,
        now_ms: u64,
    ) -> Result<Vec<BodyKey>, BodyMemoryError> {
        if !self.bodies.contains_key(key) {
            return Err(BodyMemoryError::Evicted);
        }
        let Some(victims) = self.find_victims(key, bytes, now_ms) else {
            return Err(BodyMemoryError::Exhausted);
        };
        for victim in &victims {
            self.end(*victim);
        }
        self.set_held(key, bytes);
        Ok(victims)
    }

    /// Records how much of a body has arrived.
    pub fn record_received(&mut self, key: BodyKey, received_bytes: usize, now_ms: u64) {
        let Some(body) = self.bodies.get_mut(key) else { return };
        body.received_bytes = received_bytes;
        body.progressed_ms = now_ms;
    }

    /// Records that a body is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if it was evicted.
    pub fn complete(&mut self, key: BodyKey) -> Result<(), BodyMemoryError> {
        let body = self.bodies.get_mut(key).ok_or(BodyMemoryError::Evicted)?;
        body.is_complete = true;
        Ok(())
    }

    /// Evicts the body that has stalled for the longest time, if any.
    pub fn evict_stalled(&mut self, now_ms: u64) -> Option<BodyKey> {
        let stalled = self.bodies.iter().filter(|(_, it)| it.is_stalled(now_ms));
        let (key, _) = stalled.min_by_key(|(_, it)| it.progressed_ms)?;
        self.end(key);
        Some(key)
    }

    /// Ends a body and gives back what it holds; does nothing if it was evicted.
    pub fn end(&mut self, key: BodyKey) {
        self.set_held(key, 0);
        let Some(body) = self.bodies.remove(key) else { return };
        let Some(customer) = self.customers.get_mut(&body.customer) else { return };
        customer.bodies -= 1;
        if customer.bodies == 0 {
            self.customers.remove(&body.customer);
        }
    }

    /// Returns the bodies to evict so that a body can hold a number of bytes; none if it can't.
    fn find_victims(&self, key: BodyKey, bytes: usize, now_ms: u64) -> Option<Vec<BodyKey>> {
        let body = &self.bodies[key];
        let is_small = bytes <= SMALL_BYTES;
        let large_bytes = (self.total_bytes as f64 * (1.0 - SMALL_SHARE)) as usize;
        let (limit_bytes, customer_limit_bytes) = match is_small {
            true => (self.total_bytes, usize::MAX),
            false => (large_bytes, (large_bytes as f64 * CUSTOMER_SHARE) as usize),
        };
        let mut total_bytes = self.held_bytes - body.held_bytes + bytes;
        let mut own_bytes = self.customers[&body.customer].held_bytes - body.held_bytes + bytes;
        if total_bytes <= limit_bytes && own_bytes <= customer_limit_bytes {
            return Some(Vec::new());
        }
        let mut candidates = self.candidates(key, now_ms);
        let mut uses: FastMap<&Arc<str>, usize> = FastMap::default();
        let mut victims = Vec::new();
        // A single body is always held, whatever its size.
        for candidate in &mut candidates {
            if own_bytes <= customer_limit_bytes || own_bytes == bytes {
                break;
            }
            if *candidate.customer == body.customer && candidate.is_stalled {
                total_bytes -= candidate.held_bytes;
                own_bytes -= candidate.held_bytes;
                victims.push(candidate.key);
                candidate.is_taken = true;
            }
        }
        if own_bytes > customer_limit_bytes && own_bytes > bytes {
            return None;
        }
        for candidate in candidates.iter().filter(|it| !it.is_taken) {
            if total_bytes <= limit_bytes || total_bytes == bytes {
                break;
            }
            let is_own = *candidate.customer == body.customer;
            let use_bytes = uses.entry(candidate.customer).or_insert(candidate.use_bytes);
            let is_unfair = !is_own && *use_bytes >= own_bytes + candidate.held_bytes;
            if !candidate.is_stalled && !is_unfair {
                continue;
            }
            total_bytes -= candidate.held_bytes;
            *use_bytes -= candidate.held_bytes;
            if is_own {
                own_bytes -= candidate.held_bytes;
            }
            victims.push(candidate.key);
        }
        (total_bytes <= limit_bytes || total_bytes == bytes).then_some(victims)
    }

    /// Returns the bodies that are not complete, except one: first those that have stalled, of these and of
    /// the others those of the customer that holds the most.
    fn candidates(&self, except: BodyKey, now_ms: u64) -> Vec<Candidate<'_>> {
        let mut candidates = Vec::new();
        for (key, body) in &self.bodies {
            if key == except || body.is_complete || body.held_bytes == 0 {
                continue;
            }
            candidates.push(Candidate {
                key,
                customer: &body.customer,
                use_bytes: self.customers[&body.customer].held_bytes,
                held_bytes: body.held_bytes,
                is_stalled: body.is_stalled(now_ms),
                is_taken: false,
            });
        }
        candidates.sort_by_key(|it| Reverse((it.is_stalled, it.use_bytes, it.held_bytes)));
        candidates
    }

    fn set_held(&mut self, key: BodyKey, bytes: usize) {
        let Some(body) = self.bodies.get_mut(key) else { return };
        let before_bytes = std::mem::replace(&mut body.held_bytes, bytes);
        self.held_bytes = self.held_bytes - before_bytes + bytes;
        if let Some(customer) = self.customers.get_mut(&body.customer) {
            customer.held_bytes = customer.held_bytes - before_bytes + bytes;
        }
    }
}

#[cfg(test)]
mod tests;
