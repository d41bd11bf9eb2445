//! What one entry knows of the others, and which of them it asks.
//!
//! Asking every other entry costs the square of their number: at 300 entries and three questions a
//! second each would answer a thousand. An entry asks only those that it needs: the first ones in
//! the order of each piece of shared work, and its neighbours on a circle of all entries, through
//! which configurations and lists reach an entry that the platform refuses.

use std::sync::Arc;

use crate::{
    FastMap, FastSet,
    ownership::{Candidate, ranked},
    upstreams::rendezvous_weight,
};

/// Entries that are asked for each piece of shared work: the owner and the one that follows it.
const OWNERS_ASKED: usize = 2;
/// Entries that are asked for each piece of shared work at most, while few of them take work, as
/// when all start at once.
const MAX_OWNERS_ASKED: usize = 6;
/// Neighbours that are asked; each entry is asked by as many.
const NEIGHBOURS_ASKED: usize = 2;
/// Neighbours that are asked at most, while few of them are of use.
const MAX_NEIGHBOURS: usize = 12;
/// Names the circle in the hash that orders the entries on it; it must not follow data centres.
const CIRCLE: &str = "circle";

/// What an entry that was asked last answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerState {
    /// Nothing yet.
    #[default]
    Unknown,
    /// It answers.
    Alive {
        /// Whether it takes work of others.
        takes_work: bool,
        /// Whether it follows the platform now.
        follows_platform: bool,
    },
    /// It no longer answers.
    Lost,
}

impl PeerState {
    fn is_life(self) -> bool {
        matches!(self, Self::Alive { .. })
    }
}

/// State of the entry that holds the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnState {
    /// Whether it takes work.
    pub takes_work: bool,
    /// Whether it follows the platform now.
    pub follows_platform: bool,
}

#[derive(Clone, Copy, Debug)]
struct Listed {
    cpu_share: f64,
    heard: PeerState,
}

/// All entries as one of them sees them.
#[derive(Debug)]
pub struct EntryView {
    own: Candidate,
    listed: FastMap<String, Listed>,
    /// All entries in their order for each piece of shared work; made when first needed.
    rankings: FastMap<Arc<str>, Vec<String>>,
    /// All entries in the order of the circle, beginning after the own one; made when first needed.
    circle: Option<Vec<String>>,
}

impl EntryView {
    /// Creates the view of an entry that knows no other.
    pub fn new(own: Candidate) -> Self {
        Self { own, listed: FastMap::default(), rankings: FastMap::default(), circle: None }
    }

    /// Notes an entry, or its new processor share; what was heard of an earlier run is forgotten.
    pub fn add(&mut self, entry: Candidate) {
        if entry.name == self.own.name {
            return;
        }
        let listed = Listed { cpu_share: entry.cpu_share, heard: PeerState::Unknown };
        self.listed.insert(entry.name, listed);
        self.forget_orders();
    }

    /// Notes that an entry is gone.
    pub fn remove(&mut self, name: &str) {
        if self.listed.remove(name).is_some() {
            self.forget_orders();
        }
    }

    /// Notes what was heard of an entry; returns whether that is new.
    pub fn set_state(&mut self, name: &str, heard: PeerState) -> bool {
        let Some(listed) = self.listed.get_mut(name) else { return false };
        std::mem::replace(&mut listed.heard, heard) != heard
    }

    /// Returns the number of entries, this one included.
    pub fn entry_count(&self) -> usize {
        self.listed.len() + 1
    }

    /// Returns the owner of a piece of shared work, or `None` where it is this entry.
    ///
    /// While no entry takes work, as when all stop one after the other, the first that lives owns it.
    pub fn owner(&mut self, subject: &str, own: OwnState) -> Option<&str> {
        self.rank(subject);
        let (listed, own_name) = (&self.listed, &self.own.name);
        let ranking = self.rankings.get(subject)?;
        let takes_work = |name: &&String| match listed.get(*name) {
            Some(it) => matches!(it.heard, PeerState::Alive { takes_work: true, .. }),
            None => own.takes_work,
        };
        let lives = |name: &&String| listed.get(*name).is_none_or(|it| it.heard.is_life());
        let owner = ranking.iter().find(takes_work).or_else(|| ranking.iter().find(lives))?;
        (owner != own_name).then_some(owner.as_str())
    }

    /// Returns the entries to ask, with `subjects` as the pieces of shared work.
    pub fn peers_to_poll(&mut self, subjects: &[Arc<str>], own: OwnState) -> FastSet<String> {
        let mut asked = FastSet::default();
        for subject in subjects {
            self.rank(subject);
            let ranking = self.rankings.get(subject).map_or(&[][..], Vec::as_slice);
            let (mut lived, mut hopeful) = (0, 0);
            for name in ranking {
                if hopeful >= OWNERS_ASKED || lived >= MAX_OWNERS_ASKED {
                    break;
                }
                let Some(listed) = self.listed.get(name) else {
                    hopeful += usize::from(own.takes_work);
                    continue;
                };
                lived += usize::from(listed.heard != PeerState::Lost);
                hopeful += usize::from(listed.may_take_work());
                asked.insert(name.clone());
            }
        }
        self.ask_neighbours(&mut asked, own);
        asked
    }

    fn ask_neighbours(&mut self, asked: &mut FastSet<String>, own: OwnState) {
        let (own_name, listed) = (&self.own.name, &self.listed);
        let circle = self.circle.get_or_insert_with(|| circle_after(own_name, listed));
        let (mut lived, mut of_use) = (0, 0);
        for name in circle.iter() {
            if of_use >= NEIGHBOURS_ASKED || lived >= MAX_NEIGHBOURS {
                return;
            }
            let Some(neighbour) = listed.get(name) else { continue };
            lived += usize::from(neighbour.heard != PeerState::Lost);
            // An entry that the platform refuses needs one that it does not refuse.
            let is_of_use = match neighbour.heard {
                PeerState::Unknown => true,
                PeerState::Alive { follows_platform, .. } => {
                    follows_platform || own.follows_platform
                }
                PeerState::Lost => false,
            };
            of_use += usize::from(is_of_use);
            asked.insert(name.clone());
        }
    }

    fn rank(&mut self, subject: &str) {
        if self.rankings.contains_key(subject) {
            return;
        }
        let others = self
            .listed
            .iter()
            .map(|(name, it)| Candidate { name: name.clone(), cpu_share: it.cpu_share });
        let mut all: Vec<Candidate> = others.collect();
        all.push(self.own.clone());
        let names = ranked(subject, all).into_iter().map(|it| it.name).collect();
        self.rankings.insert(subject.into(), names);
    }

    fn forget_orders(&mut self) {
        self.rankings.clear();
        self.circle = None;
    }
}

impl Listed {
    fn may_take_work(&self) -> bool {
        matches!(self.heard, PeerState::Unknown | PeerState::Alive { takes_work: true, .. })
    }
}

/// Returns the listed entries in the order of the circle, beginning after `own_name`.
fn circle_after(own_name: &str, listed: &FastMap<String, Listed>) -> Vec<String> {
    let own_place = rendezvous_weight(own_name, CIRCLE);
    let mut places: Vec<(u64, &String)> = listed
        .keys()
        .map(|it| (rendezvous_weight(it, CIRCLE).wrapping_sub(own_place), it))
        .collect();
    places.sort_unstable();
    places.into_iter().map(|(_, name)| name.clone()).collect()
}
