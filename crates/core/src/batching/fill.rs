//! Which pieces one call takes: within the batch, the room of the upstreams and their homes.
//!
//! Answers days on which stages read results of hundreds of kilobytes for each piece: a call takes
//! the pieces whose home is near first, and those of another data centre only where that has more of
//! them than its next calls take, or where they have no time to wait.

use std::sync::Arc;

use crate::{
    FastMap, FastSet,
    batching::{AvailableUpstream, Batcher, GroupKey, StageWork, batcher::Group},
    upstreams::UpstreamKey,
};

/// Bytes between data centres from which a piece is made at its home if that costs little.
const MIN_REMOTE_BYTES: u64 = 100_000;
/// Time for which a piece waits for an upstream of its home, in milliseconds: about one call.
const HOME_WAIT_MS: f64 = 250.0;
/// Time that a piece has beyond its stage to wait for its home, in milliseconds: the longest wait and
/// half as much again, since later stages may be held up too.
const HOME_SPARE_MS: f64 = 400.0;
/// Part of an upstream's room that is planned with; sizes of results are approximate, and one piece
/// without room holds up its whole stage.
const ROOM_PART: f64 = 0.94;

/// Where the upstreams stand.
#[derive(Debug, Default)]
pub(super) struct Homes {
    places: FastMap<UpstreamKey, Arc<str>>,
    /// Upstreams in each data centre that are free now or soon.
    free_soon: FastMap<Arc<str>, usize>,
}

impl Homes {
    /// Returns the upstreams of a data centre that are free now or soon.
    fn places_soon(&self, data_centre: &str) -> usize {
        self.free_soon.get(data_centre).copied().unwrap_or(0)
    }
}

impl Batcher {
    /// Returns the room that is planned with, in bytes.
    fn room_bytes(&self) -> u64 {
        (self.service.result_capacity_bytes as f64 * ROOM_PART) as u64
    }

    /// Returns where each upstream stands and which data centres have one that is free soon.
    pub(super) fn homes(&self, usable: &[AvailableUpstream], now_ms: u64) -> Homes {
        let mut homes = Homes::default();
        let soon_ms = now_ms as f64 + HOME_WAIT_MS;
        for view in usable {
            homes.places.insert(view.key, view.data_centre.clone());
            let is_free_soon = self.upstreams.get(&view.key).is_none_or(|it| {
                let is_busy = it.calls >= self.service.slots.max(1);
                !it.is_paused(now_ms) && (!is_busy || it.busy_until_ms <= soon_ms)
            });
            if is_free_soon {
                *homes.free_soon.entry(view.data_centre.clone()).or_default() += 1;
            }
        }
        homes
    }

    /// Returns the data centre in which a piece is better made than at `upstream`, if there is one.
    fn better_home<'a>(
        &self,
        work: &'a StageWork,
        upstream: UpstreamKey,
        homes: &Homes,
        now_ms: u64,
    ) -> Option<&'a str> {
        let home = work.preferred_data_centre.as_ref()?;
        let is_home = homes.places.get(&upstream) == Some(&home.data_centre);
        if is_home || home.remote_bytes < MIN_REMOTE_BYTES {
            return None;
        }
        let spare_ms =
            work.soft_deadline_ms as f64 - now_ms as f64 - self.duration_ms(self.service.batch);
        let can_wait = homes.places_soon(&home.data_centre) > 0 && spare_ms > HOME_SPARE_MS;
        can_wait.then_some(&*home.data_centre)
    }

    /// Returns the pieces that an upstream may take: those that belong near it, then those that are
    /// too many for the next calls at their homes.
    fn near_first(
        &self,
        upstream: UpstreamKey,
        queue: &[(GroupKey, usize)],
        homes: &Homes,
        now_ms: u64,
    ) -> Vec<(GroupKey, usize)> {
        let mut near = Vec::with_capacity(queue.len());
        let mut too_many = Vec::new();
        let mut waiting: FastMap<&str, usize> = FastMap::default();
        for (key, piece) in queue {
            let Some(group) = self.groups.get(*key) else { continue };
            let Some(home) = self.better_home(&group.work, upstream, homes, now_ms) else {
                near.push((*key, *piece));
                continue;
            };
            let ahead = waiting.entry(home).or_default();
            *ahead += 1;
            if *ahead > homes.places_soon(home) * self.service.batch {
                too_many.push((*key, *piece));
            }
        }
        near.extend(too_many);
        near
    }

    /// Returns the room of all upstreams that no begun work will need, in bytes.
    ///
    /// Work begins only where all of its results fit; otherwise parts of many stages would take up
    /// the room that each of them needs to be done.
    fn unpromised_bytes(&mut self, homes: &Homes, now_ms: u64) -> u64 {
        let room_bytes = self.room_bytes();
        let mut free_bytes = 0;
        for key in homes.places.keys() {
            let Some(upstream) = self.upstreams.get_mut(key) else { continue };
            free_bytes += upstream.free_bytes(room_bytes, now_ms);
        }
        let begun = self.groups.values().filter(|it| !it.is_untouched());
        let promised: u64 = begun.map(|it| it.work.result_bytes * it.waiting.len() as u64).sum();
        free_bytes.saturating_sub(promised)
    }

    /// Tells whether no result exists and none is being made.
    fn is_all_room_free(&mut self, homes: &Homes, now_ms: u64) -> bool {
        let room_bytes = self.room_bytes();
        self.upstreams
            .iter_mut()
            .filter(|(key, _)| homes.places.contains_key(*key))
            .all(|(_, it)| it.free_bytes(room_bytes, now_ms) == room_bytes)
    }

    /// Chooses the pieces of one call within the batch and the room of the upstream.
    pub(super) fn fill(
        &mut self,
        upstream: UpstreamKey,
        queue: &[(GroupKey, usize)],
        homes: &Homes,
        now_ms: u64,
    ) -> Vec<(GroupKey, usize)> {
        let queue = self.near_first(upstream, queue, homes, now_ms);
        let mut unpromised_bytes = self.unpromised_bytes(homes, now_ms);
        let mut is_alone = self.is_all_room_free(homes, now_ms);
        let mut begun: FastSet<GroupKey> = FastSet::default();
        let planned_bytes = self.room_bytes();
        let Some(state) = self.upstreams.get_mut(&upstream) else { return Vec::new() };
        let mut room_bytes = state.free_bytes(planned_bytes, now_ms);
        let pace = state.pace(now_ms);
        let mut pieces = Vec::new();
        for (group, piece) in &queue {
            if pieces.len() >= self.service.batch.max(1) {
                break;
            }
            let Some(work) = self.groups.get(*group).map(|it| &it.work) else { continue };
            let end_ms = now_ms as f64 + self.duration_ms(pieces.len() + 1) * pace;
            if end_ms > work.deadline_ms as f64 || work.result_bytes > room_bytes {
                continue;
            }
            let is_new = self.groups.get(*group).is_some_and(Group::is_untouched);
            if is_new && !begun.contains(group) {
                // A stage that is split over two calls holds its first results for longer.
                let slots_left = self.service.batch.max(1) - pieces.len();
                if work.pieces > slots_left && !pieces.is_empty() {
                    continue;
                }
                let all_bytes = work.result_bytes * work.pieces as u64;
                // Work that would never fit may try alone.
                if all_bytes > unpromised_bytes && !is_alone {
                    continue;
                }
                is_alone = false;
                unpromised_bytes = unpromised_bytes.saturating_sub(all_bytes);
                begun.insert(*group);
            }
            room_bytes -= work.result_bytes;
            pieces.push((*group, *piece));
        }
        pieces
    }
}
