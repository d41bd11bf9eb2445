//! Software versions whose upstreams keep the parts of prompts.
//!
//! After all entries were lost at once, nobody remembers where a stream began. The upstream that began it
//! still keeps the last part of its prompt, which no other request has.

use std::sync::Arc;

use crate::{FastMap, FastSet, ids::Digest};

/// Which versions keep a part.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Holder {
    Sole(Arc<str>),
    /// Upstreams of several versions have read it, so that it doesn't tell which one began the stream.
    Several,
}

/// Parts of prompts that the upstreams of one service kept at one moment.
#[derive(Clone, Debug, Default)]
pub struct PromptHolders {
    by_part: FastMap<u64, Holder>,
    /// Versions of upstreams that did not tell what they keep.
    unknown_versions: FastSet<Arc<str>>,
}

impl PromptHolders {
    /// Adds what an upstream of a version keeps.
    pub fn add(&mut self, version: &Arc<str>, parts: &[String]) {
        for part in parts {
            let holder = self.by_part.entry(key_of(part));
            let holder = holder.or_insert_with(|| Holder::Sole(version.clone()));
            if *holder != Holder::Sole(version.clone()) {
                *holder = Holder::Several;
            }
        }
    }

    /// Records that an upstream of a version did not tell what it keeps.
    pub fn add_unknown(&mut self, version: &Arc<str>) {
        self.unknown_versions.insert(version.clone());
    }

    /// Returns the only version that can have read a part; none if there is no such version.
    pub fn version_of(&self, part: &str) -> Option<&Arc<str>> {
        let Some(Holder::Sole(version)) = self.by_part.get(&key_of(part)) else { return None };
        self.unknown_versions.iter().all(|it| it == version).then_some(version)
    }
}

fn key_of(part: &str) -> u64 {
    Digest::of(part.as_bytes()).prefix()
}

#[cfg(test)]
mod tests;
