//! Which pieces one call takes: within the batch, the room of the upstreams and the reader's place.

use std::sync::Arc;

use crate::{
    FastMap, FastSet,
    batching::{Batcher, EngineView, GroupKey, StageWork, batcher::Group},
    upstreams::UpstreamKey,
};

/// Size from which a result is made in its reader's data centre if that costs little, in bytes.
const LARGE_RESULT_BYTES: u64 = 100_000;
/// Time for which a piece with a large result waits for an upstream near its reader, in milliseconds:
/// about one call.
const HOME_WAIT_MS: f64 = 250.0;

/// Part of an upstream's room that is planned with; sizes of results are approximate, and one piece
/// without room holds up its whole stage.
const ROOM_PART: f64 = 0.94;

/// Where the upstreams stand.
#[derive(Debug, Default)]
pub(super) struct Homes {
    places: FastMap<UpstreamKey, Arc<str>>,
    /// Data centres with an upstream that is free now or soon.
    free_soon: FastSet<Arc<str>>,
}

impl Batcher {
    /// Returns the room that is planned with, in bytes.
    fn room_bytes(&self) -> u64 {
        (self.service.room_bytes as f64 * ROOM_PART) as u64
    }

    /// Returns where each upstream stands and which data centres have one that is free soon.
    pub(super) fn homes(&self, usable: &[EngineView], now_ms: u64) -> Homes {
        let mut homes = Homes::default();
        let soon_ms = now_ms as f64 + HOME_WAIT_MS;
        for view in usable {
            homes.places.insert(view.key, view.data_centre.clone());
            let is_free_soon = self.engines.get(&view.key).is_none_or(|it| {
                let is_busy = it.calls >= self.service.slots.max(1);
                !it.is_paused(now_ms) && (!is_busy || it.busy_until_ms <= soon_ms)
            });
            if is_free_soon {
                homes.free_soon.insert(view.data_centre.clone());
            }
        }
        homes
    }

    /// Tells whether a large result is better made by an upstream of its reader's data centre.
    fn belongs_elsewhere(
        &self,
        work: &StageWork,
        engine: UpstreamKey,
        homes: &Homes,
        now_ms: u64,
    ) -> bool {
        let Some(reader) = &work.data_centre else { return false };
        if work.result_bytes < LARGE_RESULT_BYTES || homes.places.get(&engine) == Some(reader) {
            return false;
        }
        let spare_ms = work.aim_ms as f64 - now_ms as f64 - self.duration_ms(self.service.batch);
        homes.free_soon.contains(reader) && spare_ms > HOME_WAIT_MS
    }

    /// Returns the room of all upstreams that no begun work will need, in bytes.
    ///
    /// Work begins only where all of its results fit; otherwise parts of many stages would take up
    /// the room that each of them needs to be done.
    fn unpromised_bytes(&mut self, homes: &Homes, now_ms: u64) -> u64 {
        let room_bytes = self.room_bytes();
        let mut free_bytes = 0;
        for key in homes.places.keys() {
            let Some(engine) = self.engines.get_mut(key) else { continue };
            free_bytes += engine.free_bytes(room_bytes, now_ms);
        }
        let begun = self.groups.values().filter(|it| !it.is_untouched());
        let promised: u64 = begun.map(|it| it.work.result_bytes * it.waiting.len() as u64).sum();
        free_bytes.saturating_sub(promised)
    }

    /// Tells whether no result exists and none is being made.
    fn is_all_room_free(&mut self, homes: &Homes, now_ms: u64) -> bool {
        let room_bytes = self.room_bytes();
        self.engines
            .iter_mut()
            .filter(|(key, _)| homes.places.contains_key(*key))
            .all(|(_, it)| it.free_bytes(room_bytes, now_ms) == room_bytes)
    }

    /// Chooses the pieces of one call within the batch and the room of the upstream.
    pub(super) fn fill(
        &mut self,
        engine: UpstreamKey,
        queue: &[(GroupKey, usize)],
        homes: &Homes,
        now_ms: u64,
    ) -> Vec<(GroupKey, usize)> {
        let mut unpromised_bytes = self.unpromised_bytes(homes, now_ms);
        let mut is_alone = self.is_all_room_free(homes, now_ms);
        let mut begun: FastSet<GroupKey> = FastSet::default();
        let planned_bytes = self.room_bytes();
        let Some(state) = self.engines.get_mut(&engine) else { return Vec::new() };
        let mut room_bytes = state.free_bytes(planned_bytes, now_ms);
        let pace = state.pace(now_ms);
        let mut pieces = Vec::new();
        for (group, piece) in queue {
            if pieces.len() >= self.service.batch.max(1) {
                break;
            }
            let Some(work) = self.groups.get(*group).map(|it| &it.work) else { continue };
            let end_ms = now_ms as f64 + self.duration_ms(pieces.len() + 1) * pace;
            if end_ms > work.deadline_ms as f64 || work.result_bytes > room_bytes {
                continue;
            }
            if self.belongs_elsewhere(work, engine, homes, now_ms) {
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
