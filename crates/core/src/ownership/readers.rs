//! Which entries read the platform for the others of their data centre.
//!
//! Load that this answers: a hundred entries whose lists change a few times a second. The first entries
//! in an order that all of them compute alike read the platform, one for every sixteen and two at the
//! least; the others follow them. An entry takes the place of a reader that is lost or that the platform
//! rejects as soon as it notices, without asking.

use std::sync::Arc;

use crate::{
    ownership::{EntryView, OwnState, PeerState},
    upstreams::rendezvous_weight,
};

/// Smallest number of readers in a data centre, so that one is left when the other is lost.
const MIN_READERS: usize = 2;
/// Largest number of readers in a data centre, which also bounds how many entries each one polls.
const MAX_READERS: usize = 4;
/// Number of entries of a data centre for which one reader suffices.
const ENTRIES_PER_READER: usize = 16;
/// Number of entries, besides those that are lost, that are considered as readers while the platform
/// rejects entries; bounds the calls to a platform that is away.
const MAX_CONSIDERED: usize = 6;
/// Number of readers that an entry follows in turn.
const SOURCES: usize = 2;

/// What an entry has to do to keep its lists up to date.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReaderPlan {
    /// Whether this entry reads the platform itself.
    pub is_reader: bool,
    /// Entries to follow otherwise, in order of preference.
    pub sources: Vec<String>,
    /// Entries whose state decides about the plan.
    pub watched: Vec<String>,
}

impl EntryView {
    /// Returns whether this entry reads the platform, and which entries it follows otherwise.
    pub fn reader_plan(&mut self, own: OwnState) -> ReaderPlan {
        let data_centre = self.own.data_centre.clone();
        let subject: Arc<str> = format!("readers of {data_centre}").into();
        self.rank(&subject);
        let own_name = self.own.name.clone();
        let ranking = self.rankings.get(&subject).map_or(&[][..], Vec::as_slice);
        let listed = &self.listed;
        let is_here = |name: &&String| {
            **name == own_name || listed.get(*name).is_some_and(|it| it.data_centre == data_centre)
        };
        let here: Vec<&String> = ranking.iter().filter(is_here).collect();
        let readers = here.len().div_ceil(ENTRIES_PER_READER).clamp(MIN_READERS, MAX_READERS);
        let mut plan = ReaderPlan::default();
        let mut detached = Vec::new();
        let (mut considered, mut useful) = (0, 0);
        for name in here {
            if useful >= readers || considered >= MAX_CONSIDERED {
                break;
            }
            if *name == own_name {
                plan.is_reader = true;
                considered += 1;
                useful += usize::from(own.follows_platform);
                continue;
            }
            plan.watched.push(name.clone());
            match listed.get(name).map(|it| it.state) {
                None | Some(PeerState::Lost) => continue,
                Some(PeerState::Unknown | PeerState::Alive { follows_platform: true, .. }) => {
                    useful += 1;
                    plan.sources.push(name.clone());
                }
                Some(PeerState::Alive { follows_platform: false, .. }) => {
                    detached.push(name.clone());
                }
            }
            considered += 1;
        }
        // Followers spread over the readers.
        plan.sources.sort_by_cached_key(|it| std::cmp::Reverse(rendezvous_weight(it, &own_name)));
        plan.sources.truncate(SOURCES);
        plan.sources.extend(detached);
        plan
    }
}
