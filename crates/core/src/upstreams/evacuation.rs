//! Data centres that operators have taken out of service.
//!
//! After a restore of the platform its list may lack an evacuation that was acknowledged before, or
//! contain one that has ended. Until the operators have written their changes again, the earlier state
//! stays in force, unless the list shows a change that the earlier history does not have.

use serde::{Deserialize, Serialize};

use crate::FastMap;

/// Time after a restore for which an evacuation stays in force that the restored list lacks, in
/// milliseconds. Operators write their changes again within a few seconds.
const LOST_CONFIRMATION_MS: u64 = 10_000;
/// Time after a restore for which an evacuation that has ended is ignored, in milliseconds. It is below
/// the five seconds within which an evacuation has to take effect, in case it is a new one whose
/// revision has the same number.
const ENDED_CONFIRMATION_MS: u64 = 3_000;

/// A data centre that receives no work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Name of the data centre.
    pub data_centre: String,
    /// Number of the platform's revision that evacuated it.
    pub changed_at: u64,
}

/// An evacuation that the platform has lost in a restore and that stays in force for a while.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldEvacuation {
    /// The evacuation.
    pub evacuation: Evacuation,
    /// Time for which it still stays in force, in milliseconds.
    pub remaining_ms: u64,
}

/// Difference between a restored list and the state in force, which becomes effective when the platform
/// still lists it after it is due.
#[derive(Clone, Copy, Debug)]
struct Unconfirmed {
    /// Number of the evacuation that the restored list contains; none if it contains none.
    listed: Option<u64>,
    due_ms: u64,
}

/// Evacuated data centres.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evacuations {
    /// Evacuated data centres, each with the number of the revision that evacuated it.
    in_force: FastMap<String, u64>,
    /// Number of the last evacuation that ended, by data centre.
    ended: FastMap<String, u64>,
    unconfirmed: FastMap<String, Unconfirmed>,
}

impl Evacuations {
    /// Tells whether a data centre is evacuated.
    pub(crate) fn contains(&self, data_centre: &str) -> bool {
        self.in_force.contains_key(data_centre)
    }

    /// Returns the evacuations in force.
    pub(crate) fn all(&self) -> impl Iterator<Item = Evacuation> + '_ {
        self.in_force.iter().map(|(data_centre, changed_at)| Evacuation {
            data_centre: data_centre.clone(),
            changed_at: *changed_at,
        })
    }

    /// Returns the evacuations to send to other entries: those in force, and those that the platform
    /// lists although they have ended as far as this entry knows, which others may know better.
    pub(crate) fn to_send(&self) -> Vec<Evacuation> {
        let listed = self.unconfirmed.iter().filter_map(|(name, it)| Some((name, it.listed?)));
        let listed =
            listed.map(|(name, changed_at)| Evacuation { data_centre: name.clone(), changed_at });
        self.all().chain(listed).collect()
    }

    /// Applies a change that the platform reported; returns whether the state changed.
    pub(crate) fn set(&mut self, data_centre: &str, evacuated_at: Option<u64>) -> bool {
        self.unconfirmed.remove(data_centre);
        match evacuated_at {
            Some(number) => self.in_force.insert(data_centre.to_owned(), number).is_none(),
            None => match self.in_force.remove(data_centre) {
                Some(number) => {
                    self.ended.insert(data_centre.to_owned(), number);
                    true
                }
                None => false,
            },
        }
    }

    /// Replaces the list; returns the data centres that changed, each with whether it is evacuated now.
    ///
    /// `is_restored` states that the list is the first one after a restore of the platform.
    pub(crate) fn replace(
        &mut self,
        listed: &[Evacuation],
        is_restored: bool,
        now_ms: u64,
    ) -> Vec<(String, bool)> {
        let mut changed = Vec::new();
        let names = listed.iter().map(|it| &it.data_centre).chain(self.in_force.keys());
        let mut names: Vec<String> = names.cloned().collect();
        names.sort_unstable();
        names.dedup();
        for name in names {
            let number = listed.iter().find(|it| it.data_centre == name).map(|it| it.changed_at);
            if is_restored && self.may_be_outdated(&name, number) {
                let limit_ms =
                    if number.is_some() { ENDED_CONFIRMATION_MS } else { LOST_CONFIRMATION_MS };
                let due_ms = now_ms + limit_ms;
                self.unconfirmed.insert(name, Unconfirmed { listed: number, due_ms });
                continue;
            }
            // The list repeats the difference until the operators have written again.
            let unconfirmed = self.unconfirmed.get(&name);
            if unconfirmed.is_some_and(|it| it.listed == number && now_ms < it.due_ms) {
                continue;
            }
            if self.set(&name, number) {
                changed.push((name, number.is_some()));
            }
        }
        changed
    }

    /// Tells whether the state that a restored list shows may be older than the one in force.
    fn may_be_outdated(&self, data_centre: &str, listed: Option<u64>) -> bool {
        match (listed, self.in_force.get(data_centre)) {
            (None, known) => known.is_some(),
            (Some(number), None) => self.ended.get(data_centre) == Some(&number),
            (Some(_), Some(_)) => false,
        }
    }

    /// Records that the platform has made no further change; applies the differences that it has not
    /// corrected in time. Returns the data centres that changed, each with whether it is evacuated now.
    pub(crate) fn confirm(&mut self, now_ms: u64) -> Vec<(String, bool)> {
        self.apply_due(now_ms, |_| true)
    }

    /// Applies evacuations that a restored list contains and that the platform has not corrected in
    /// time; returns the data centres that changed, each with whether it is evacuated now.
    ///
    /// Other than the end of an evacuation, this needs no confirmation by the platform.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<(String, bool)> {
        self.apply_due(now_ms, |it| it.listed.is_some())
    }

    fn apply_due(
        &mut self,
        now_ms: u64,
        is_applied: fn(&Unconfirmed) -> bool,
    ) -> Vec<(String, bool)> {
        let mut changed = Vec::new();
        let due = self.unconfirmed.iter().filter(|(_, it)| it.due_ms <= now_ms && is_applied(it));
        let due: Vec<(String, Option<u64>)> =
            due.map(|(name, it)| (name.clone(), it.listed)).collect();
        for (name, listed) in due {
            if self.set(&name, listed) {
                changed.push((name, listed.is_some()));
            }
        }
        changed
    }

    /// Returns the evacuations that are in force although a restored list lacks them.
    pub(crate) fn held(&self, now_ms: u64) -> Vec<HeldEvacuation> {
        let mut held = Vec::new();
        for (name, unconfirmed) in &self.unconfirmed {
            let Some(changed_at) = self.in_force.get(name) else { continue };
            held.push(HeldEvacuation {
                evacuation: Evacuation { data_centre: name.clone(), changed_at: *changed_at },
                remaining_ms: unconfirmed.due_ms.saturating_sub(now_ms),
            });
        }
        held
    }

    /// Adopts evacuations that another entry holds after a restore; returns the data centres that
    /// changed, each with whether it is evacuated now.
    pub(crate) fn adopt_held(
        &mut self,
        held: &[HeldEvacuation],
        now_ms: u64,
    ) -> Vec<(String, bool)> {
        let mut changed = Vec::new();
        for HeldEvacuation { evacuation, remaining_ms } in held {
            let name = &evacuation.data_centre;
            let has_ended = self.ended.get(name) == Some(&evacuation.changed_at);
            if self.unconfirmed.contains_key(name) || has_ended || *remaining_ms == 0 {
                continue;
            }
            let due_ms = now_ms + (*remaining_ms).min(LOST_CONFIRMATION_MS);
            self.unconfirmed.insert(name.clone(), Unconfirmed { listed: None, due_ms });
            if self.in_force.insert(name.clone(), evacuation.changed_at).is_none() {
                changed.push((name.clone(), true));
            }
        }
        changed
    }
}
