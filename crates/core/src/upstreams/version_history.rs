//! Software versions that a service had lately.
//!
//! Where all upstreams of a service have had the same version for as long as a stream lasts, every
//! stream began at that version. An entry knows the versions since it has the platform's list, and
//! before that from other entries.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{FastMap, stream_origin::STREAM_LIFETIME_MS, upstreams::Upstreams};

/// A version whose last upstream has left, as told to other entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerVersion {
    /// Name of the service.
    pub service: Arc<str>,
    /// Version of the software.
    pub version: Arc<str>,
    /// Time since an upstream of that version was listed, in milliseconds.
    pub age_ms: u64,
}

/// Versions that an entry knows of beside those that the platform lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedVersions {
    /// Time for which the entry knows the versions without a gap, in milliseconds.
    pub known_for_ms: u64,
    /// Versions that were listed in this time, at most as long ago as a stream lasts.
    pub former: Vec<FormerVersion>,
}

/// Versions that upstreams had before they left.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionHistory {
    /// Time since which the versions are known, in milliseconds, negative before the start of this
    /// process; none before the first list.
    known_since_ms: Option<i64>,
    /// Time at which an upstream of each service and version was listed last, in milliseconds.
    left_ms: FastMap<(Arc<str>, Arc<str>), i64>,
}

impl VersionHistory {
    /// Records that the versions are known from now on.
    pub(crate) fn begin(&mut self, now_ms: u64) {
        self.known_since_ms.get_or_insert(now_ms as i64);
    }

    /// Records that an upstream of this version was listed until now.
    pub(crate) fn record_left(&mut self, service: &Arc<str>, version: &Arc<str>, now_ms: u64) {
        self.merge_left(service, version, now_ms as i64);
    }

    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.left_ms.retain(|_, left_ms| now_ms as i64 - *left_ms < STREAM_LIFETIME_MS as i64);
    }

    fn merge_left(&mut self, service: &Arc<str>, version: &Arc<str>, left_ms: i64) {
        let known = self.left_ms.entry((service.clone(), version.clone())).or_insert(left_ms);
        *known = left_ms.max(*known);
    }

    fn known_for_ms(&self, now_ms: u64) -> u64 {
        self.known_since_ms.map_or(0, |it| (now_ms as i64 - it).max(0) as u64)
    }
}

impl Upstreams {
    /// Tells whether an upstream of a service with this version is listed and does not leave.
    pub fn has_version(&self, service: &str, version: &str) -> bool {
        self.of_service(service)
            .any(|(_, it)| it.record.version.as_ref() == version && !it.leaves())
    }

    /// Returns the version at which every stream of a service began that a caller may take up now; none
    /// if that is not certain.
    pub fn sole_version(&self, service: &str, now_ms: u64) -> Option<Arc<str>> {
        if self.versions.known_for_ms(now_ms) < STREAM_LIFETIME_MS {
            return None;
        }
        let former = self.versions.left_ms.keys().filter(|(it, _)| it.as_ref() == service);
        let listed = self.of_service(service).map(|(_, it)| &it.record.version);
        let mut versions = listed.chain(former.map(|(_, version)| version));
        let first = versions.next()?;
        versions.all(|it| it == first).then(|| first.clone())
    }

    /// Returns the versions to tell other entries.
    pub fn reported_versions(&self, now_ms: u64) -> ReportedVersions {
        let former = self.versions.left_ms.iter().map(|((service, version), left_ms)| {
            let age_ms = (now_ms as i64 - left_ms).max(0) as u64;
            FormerVersion { service: service.clone(), version: version.clone(), age_ms }
        });
        let known_for_ms = self.versions.known_for_ms(now_ms).min(STREAM_LIFETIME_MS);
        ReportedVersions { known_for_ms, former: former.collect() }
    }

    /// Merges the versions that an entry which follows the platform has told.
    pub fn merge_versions(&mut self, reported: &ReportedVersions, now_ms: u64) {
        for FormerVersion { service, version, age_ms } in &reported.former {
            self.versions.merge_left(service, version, now_ms as i64 - *age_ms as i64);
        }
        // The own list has no gap since it began, so the longer of both times has none either.
        let since_ms = now_ms as i64 - reported.known_for_ms as i64;
        if let Some(known_since_ms) = &mut self.versions.known_since_ms {
            *known_since_ms = since_ms.min(*known_since_ms);
        }
    }
}

#[cfg(test)]
mod tests;
