//! Choice of the entry from which a newer configuration is fetched.

use std::cmp::Reverse;

use crate::FastMap;

/// Time for the platform to deliver a configuration that another entry already has before it is
/// fetched from there, in milliseconds. The platform collects changes for 250 ms before it responds.
const PLATFORM_DELIVERY_GRACE_MS: u64 = 600;

#[derive(Clone, Copy, Debug)]
struct Offer {
    version: u64,
    /// Whether the entry is the one that this one follows instead of the platform.
    is_source: bool,
    /// Number of times that the entry did not send what it had offered.
    failures: u32,
}

/// Versions that other entries have and this one lacks.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationOffers {
    offers: FastMap<String, Offer>,
    /// Version that was offered first while the active one was older, and the time of that, in
    /// milliseconds.
    first_offer: Option<(u64, u64)>,
}

impl ConfigurationOffers {
    /// Records that an entry has a version; `is_source` tells whether this entry follows it instead of
    /// the platform.
    pub fn offer(
        &mut self,
        entry: &str,
        version: u64,
        is_source: bool,
        own: Option<u64>,
        now_ms: u64,
    ) {
        self.discard_outdated(own);
        if Some(version) <= own {
            self.withdraw(entry);
            return;
        }
        self.first_offer.get_or_insert((version, now_ms));
        let first = Offer { version, is_source, failures: 0 };
        let offer = self.offers.entry(entry.to_owned()).or_insert(first);
        offer.version = offer.version.max(version);
        offer.is_source |= is_source;
    }

    /// Removes the offer of an entry.
    pub fn withdraw(&mut self, entry: &str) {
        self.offers.remove(entry);
    }

    /// Records that an entry did not send what it had offered, so that others are asked first.
    pub fn record_failure(&mut self, entry: &str) {
        if let Some(offer) = self.offers.get_mut(entry) {
            offer.failures += 1;
        }
    }

    /// Returns the entry to ask now; none if nothing newer is offered, or the platform may still
    /// deliver it.
    ///
    /// An entry without a configuration, and one that follows another instead of the platform, asks at
    /// once.
    pub fn entry_to_ask(&mut self, own: Option<u64>, now_ms: u64) -> Option<String> {
        self.discard_outdated(own);
        let newest = self.offers.values().map(|it| it.version).max()?;
        let (_, since_ms) = *self.first_offer.get_or_insert((newest, now_ms));
        let is_due = own.is_none() || since_ms + PLATFORM_DELIVERY_GRACE_MS <= now_ms;
        let due = self.offers.iter().filter(|(_, it)| is_due || it.is_source);
        let chosen = due.max_by_key(|(name, it)| {
            (Reverse(it.failures), it.is_source, it.version, Reverse(name.as_str()))
        });
        chosen.map(|(name, _)| name.clone())
    }

    /// Tells whether an entry has a version that this one lacks.
    pub fn is_outdated(&mut self, own: Option<u64>) -> bool {
        self.discard_outdated(own);
        !self.offers.is_empty()
    }

    fn discard_outdated(&mut self, own: Option<u64>) {
        self.offers.retain(|_, it| Some(it.version) > own);
        if self.first_offer.is_some_and(|(version, _)| Some(version) <= own) {
            self.first_offer = None;
        }
    }
}

#[cfg(test)]
mod tests;
