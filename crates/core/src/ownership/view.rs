//! View that one entry has of the others, and the choice of entries that it polls.
//!
//! Polling every other entry costs the square of their number: with 300 entries and three polls a
//! second, each would answer a thousand a second. An entry polls only those that it needs: the first
//! ones in the order for each shared work, and its neighbours on a ring of all entries, through which
//! configurations and lists reach an entry that the platform rejects.

use std::sync::Arc;

use crate::{
    FastMap, FastSet,
    ownership::{Candidate, ranked},
    upstreams::rendezvous_weight,
};

/// Number of entries that are polled for each shared work: the owner and its successor.
const OWNERS_POLLED: usize = 2;
/// Largest number of entries that are polled for each shared work while few of them accept work, as
/// when all start at once.
const MAX_OWNERS_POLLED: usize = 6;
/// Number of ring neighbours that are polled; each entry is polled by as many.
const NEIGHBOURS_POLLED: usize = 2;
/// Largest number of ring neighbours that are polled while few of them are useful.
const MAX_NEIGHBOURS_POLLED: usize = 12;
/// Hash subject that orders the entries on the ring; the order must not follow data centres.
const RING: &str = "circle";

/// State of another entry, as of its last poll.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerState {
    /// It has not been polled yet.
    #[default]
    Unknown,
    /// It answered.
    Alive {
        /// Whether it accepts work from other entries.
        takes_work: bool,
        /// Whether it follows the platform now.
        follows_platform: bool,
    },
    /// It no longer answers.
    Lost,
}

impl PeerState {
    fn is_alive(self) -> bool {
        matches!(self, Self::Alive { .. })
    }
}

/// State of the entry that the view belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnState {
    /// Whether it accepts work.
    pub takes_work: bool,
    /// Whether it follows the platform now.
    pub follows_platform: bool,
}

#[derive(Clone, Debug)]
pub(super) struct ListedEntry {
    cpu_share: f64,
    pub(super) data_centre: Arc<str>,
    pub(super) state: PeerState,
}

/// All entries as listed and polled by one of them.
#[derive(Debug)]
pub struct EntryView {
    pub(super) own: Candidate,
    pub(super) listed: FastMap<String, ListedEntry>,
    /// Names of all entries in their order for each shared work; computed when first needed.
    pub(super) rankings: FastMap<Arc<str>, Vec<String>>,
    /// Names of the other entries in ring order, beginning after this one; computed when first needed.
    ring: Option<Vec<String>>,
}

impl EntryView {
    /// Creates the view of an entry without others.
    pub fn new(own: Candidate) -> Self {
        Self { own, listed: FastMap::default(), rankings: FastMap::default(), ring: None }
    }

    /// Adds an entry or updates its CPU share; the state of an earlier incarnation is reset.
    pub fn add(&mut self, entry: Candidate) {
        if entry.name == self.own.name {
            return;
        }
        let listed = ListedEntry {
            cpu_share: entry.cpu_share,
            data_centre: entry.data_centre,
            state: PeerState::Unknown,
        };
        self.listed.insert(entry.name, listed);
        self.clear_orders();
    }

    /// Removes an entry.
    pub fn remove(&mut self, name: &str) {
        if self.listed.remove(name).is_some() {
            self.clear_orders();
        }
    }

    /// Sets the state of an entry; returns whether it changed.
    pub fn set_state(&mut self, name: &str, state: PeerState) -> bool {
        let Some(listed) = self.listed.get_mut(name) else { return false };
        std::mem::replace(&mut listed.state, state) != state
    }

    /// Tells whether an entry followed the platform when it last responded.
    pub fn follows_platform(&self, name: &str) -> bool {
        let state = self.listed.get(name).map(|it| it.state);
        matches!(state, Some(PeerState::Alive { follows_platform: true, .. }))
    }

    /// Returns the number of entries, this one included.
    pub fn entry_count(&self) -> usize {
        self.listed.len() + 1
    }

    /// Returns the owner of a shared work, or `None` if it is this entry.
    ///
    /// While no entry accepts work, as when all shut down one after the other, the first live entry
    /// owns it.
    pub fn owner(&mut self, subject: &str, own: OwnState) -> Option<&str> {
        self.rank(subject);
        let (listed, own_name) = (&self.listed, &self.own.name);
        let ranking = self.rankings.get(subject)?;
        let takes_work = |name: &&String| match listed.get(*name) {
            Some(it) => matches!(it.state, PeerState::Alive { takes_work: true, .. }),
            None => own.takes_work,
        };
        let is_alive = |name: &&String| listed.get(*name).is_none_or(|it| it.state.is_alive());
        let owner = ranking.iter().find(takes_work).or_else(|| ranking.iter().find(is_alive))?;
        (owner != own_name).then_some(owner.as_str())
    }

    /// Returns the names of the entries to poll, where `subjects` are the names of the shared work.
    pub fn peers_to_poll(&mut self, subjects: &[Arc<str>], own: OwnState) -> FastSet<String> {
        let mut polled = self.registrars(subjects, own);
        self.add_neighbours(&mut polled, own);
        polled.extend(self.reader_plan(own).watched);
        polled
    }

    /// Returns the names of the other entries that may own shared work, which also keep what all entries
    /// have to find again; `subjects` are the names of the shared work.
    pub fn registrars(&mut self, subjects: &[Arc<str>], own: OwnState) -> FastSet<String> {
        subjects.iter().flat_map(|it| self.likely_owners(it, own)).collect()
    }

    /// Returns the names of the first other entries that may own a shared work.
    fn likely_owners(&mut self, subject: &str, own: OwnState) -> FastSet<String> {
        self.rank(subject);
        let ranking = self.rankings.get(subject).map_or(&[][..], Vec::as_slice);
        let mut owners = FastSet::default();
        let (mut not_lost, mut likely_owners) = (0, 0);
        for name in ranking {
            if likely_owners >= OWNERS_POLLED || not_lost >= MAX_OWNERS_POLLED {
                break;
            }
            let Some(listed) = self.listed.get(name) else {
                likely_owners += usize::from(own.takes_work);
                continue;
            };
            not_lost += usize::from(listed.state != PeerState::Lost);
            likely_owners += usize::from(listed.may_accept_work());
            owners.insert(name.clone());
        }
        owners
    }

    fn add_neighbours(&mut self, polled: &mut FastSet<String>, own: OwnState) {
        let (own_name, listed) = (&self.own.name, &self.listed);
        let ring = self.ring.get_or_insert_with(|| ring_after(own_name, listed));
        let (mut not_lost, mut useful) = (0, 0);
        for name in ring.iter() {
            if useful >= NEIGHBOURS_POLLED || not_lost >= MAX_NEIGHBOURS_POLLED {
                return;
            }
            let Some(neighbour) = listed.get(name) else { continue };
            not_lost += usize::from(neighbour.state != PeerState::Lost);
            // An entry that the platform rejects needs one that follows the platform.
            let is_useful = match neighbour.state {
                PeerState::Unknown => true,
                PeerState::Alive { follows_platform, .. } => {
                    follows_platform || own.follows_platform
                }
                PeerState::Lost => false,
            };
            useful += usize::from(is_useful);
            polled.insert(name.clone());
        }
    }

    pub(super) fn rank(&mut self, subject: &str) {
        if self.rankings.contains_key(subject) {
            return;
        }
        let others = self.listed.iter().map(|(name, it)| Candidate {
            name: name.clone(),
            cpu_share: it.cpu_share,
            data_centre: it.data_centre.clone(),
        });
        let mut all: Vec<Candidate> = others.collect();
        all.push(self.own.clone());
        let names = ranked(subject, all).into_iter().map(|it| it.name).collect();
        self.rankings.insert(subject.into(), names);
    }

    fn clear_orders(&mut self) {
        self.rankings.clear();
        self.ring = None;
    }
}

impl ListedEntry {
    fn may_accept_work(&self) -> bool {
        matches!(self.state, PeerState::Unknown | PeerState::Alive { takes_work: true, .. })
    }
}

/// Returns the names of the listed entries in ring order, beginning after `own_name`.
fn ring_after(own_name: &str, listed: &FastMap<String, ListedEntry>) -> Vec<String> {
    let own_position = rendezvous_weight(own_name, RING);
    let mut positions: Vec<(u64, &String)> = listed
        .keys()
        .map(|it| (rendezvous_weight(it, RING).wrapping_sub(own_position), it))
        .collect();
    positions.sort_unstable();
    positions.into_iter().map(|(_, name)| name.clone()).collect()
}
