//! Choice of the pieces of one call, by batch size, memory for results and data centre.
//!
//! Stages may read results of hundreds of kilobytes for each piece, which is expensive between data
//! centres. A call therefore takes the pieces that prefer its upstream's data centre first, and those
//! of another data centre only if that has more of them than its next calls take, or if they have no
//! time to wait.

use std::sync::Arc;

use crate::{
    FastMap, FastSet,
    batching::{
        AvailableUpstream, Batcher, GroupKey, StageWork, batcher::Group,
        upstream_state::UpstreamState,
    },
    upstreams::UpstreamKey,
};

/// Transfer between data centres from which a piece waits for its preferred data centre if it has the
/// time, in bytes.
const MIN_REMOTE_BYTES: u64 = 100_000;
/// Longest time that a piece waits for an upstream in its preferred data centre, in milliseconds:
/// about one call.
const LOCALITY_WAIT_MS: f64 = 250.0;
/// Slack before the soft deadline that a piece needs in order to wait for its preferred data centre,
/// in milliseconds: the longest wait and half as much again, since later stages may be delayed too.
const LOCALITY_SLACK_MS: f64 = 400.0;
/// Fraction of an upstream's memory for results that is planned with; result sizes are approximate,
/// and one piece that does not fit delays its whole stage.
const PLANNED_MEMORY_FRACTION: f64 = 0.94;

/// Data centres of the upstreams.
#[derive(Debug, Default)]
pub(super) struct Locations {
    data_centres: FastMap<UpstreamKey, Arc<str>>,
    /// Number of upstreams in each data centre that are free now or soon.
    free_soon: FastMap<Arc<str>, usize>,
}

/// Memory for results of all upstreams together.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    /// Memory that no started work will need, in bytes.
    pub(super) uncommitted_bytes: u64,
    /// Whether no upstream stores a result or has reserved memory for one.
    pub(super) is_all_free: bool,
}

impl Locations {
    /// Returns the number of upstreams in a data centre that are free now or soon.
    fn free_soon_in(&self, data_centre: &str) -> usize {
        self.free_soon.get(data_centre).copied().unwrap_or(0)
    }
}

impl Batcher {
    /// Returns the memory of one upstream that is planned with, in bytes.
    pub(super) fn planned_bytes(&self) -> u64 {
        (self.service.result_capacity_bytes as f64 * PLANNED_MEMORY_FRACTION) as u64
    }

    /// Returns the data centre of each upstream, and how many in each are free now or soon.
    pub(super) fn locations(&self, usable: &[AvailableUpstream], now_ms: u64) -> Locations {
        let mut locations = Locations::default();
        let soon_ms = now_ms as f64 + LOCALITY_WAIT_MS;
        for candidate in usable {
            locations.data_centres.insert(candidate.key, candidate.data_centre.clone());
            let is_free_soon = self.upstreams.get(&candidate.key).is_none_or(|it| {
                let is_busy = it.calls >= self.service.slots.max(1);
                !it.is_backing_off(now_ms) && (!is_busy || it.busy_until_ms <= soon_ms)
            });
            if is_free_soon {
                *locations.free_soon.entry(candidate.data_centre.clone()).or_default() += 1;
            }
        }
        locations
    }

    /// Returns the preferred data centre of a piece if the piece should wait for it rather than run
    /// at `upstream`.
    fn better_data_centre<'a>(
        &self,
        work: &'a StageWork,
        upstream: UpstreamKey,
        locations: &Locations,
        now_ms: u64,
    ) -> Option<&'a str> {
        let preferred = work.preferred_data_centre.as_ref()?;
        let is_preferred = locations.data_centres.get(&upstream) == Some(&preferred.data_centre);
        if is_preferred || preferred.remote_bytes < MIN_REMOTE_BYTES {
            return None;
        }
        let slack_ms =
            work.soft_deadline_ms as f64 - now_ms as f64 - self.duration_ms(self.service.batch);
        let can_wait =
            locations.free_soon_in(&preferred.data_centre) > 0 && slack_ms > LOCALITY_SLACK_MS;
        can_wait.then_some(&*preferred.data_centre)
    }

    /// Returns the pieces that an upstream may take: those that need not wait for another data centre,
    /// then those that exceed the next calls in their preferred data centre.
    fn local_first(
        &self,
        upstream: UpstreamKey,
        queue: &[(GroupKey, usize)],
        locations: &Locations,
        now_ms: u64,
    ) -> Vec<(GroupKey, usize)> {
        let mut local = Vec::with_capacity(queue.len());
        let mut excess = Vec::new();
        let mut waiting: FastMap<&str, usize> = FastMap::default();
        for pieces in queue.chunk_by(|a, b| a.0 == b.0) {
            let Some(group) = pieces.first().and_then(|(key, _)| self.groups.get(*key)) else {
                continue;
            };
            let Some(preferred) = self.better_data_centre(&group.work, upstream, locations, now_ms)
            else {
                local.extend_from_slice(pieces);
                continue;
            };
            let ahead = waiting.entry(preferred).or_default();
            let next_calls = locations.free_soon_in(preferred) * self.service.batch;
            let stays = next_calls.saturating_sub(*ahead).min(pieces.len());
            *ahead += pieces.len();
            excess.extend_from_slice(&pieces[stays..]);
        }
        local.extend(excess);
        local
    }

    /// Returns the memory that is left for new work.
    ///
    /// Work is started only if all of its results fit; otherwise partial results of many stages would
    /// take up the memory that each of them needs to finish.
    pub(super) fn room(&mut self, usable: &[AvailableUpstream], now_ms: u64) -> Room {
        let planned_bytes = self.planned_bytes();
        let mut room = Room { uncommitted_bytes: 0, is_all_free: true };
        for candidate in usable {
            let upstream = self.upstreams.entry(candidate.key).or_insert_with(UpstreamState::new);
            let free_bytes = upstream.free_bytes(planned_bytes, now_ms);
            room.uncommitted_bytes += free_bytes;
            room.is_all_free &= free_bytes == planned_bytes;
        }
        let started = self.groups.values().filter(|it| !it.is_unstarted());
        let committed: u64 = started.map(|it| it.work.result_bytes * it.waiting.len() as u64).sum();
        room.uncommitted_bytes = room.uncommitted_bytes.saturating_sub(committed);
        room
    }

    /// Chooses the pieces of one call within the batch size and the memory of the upstream.
    pub(super) fn fill(
        &mut self,
        upstream: UpstreamKey,
        queue: &[(GroupKey, usize)],
        locations: &Locations,
        room: Room,
        now_ms: u64,
    ) -> Vec<(GroupKey, usize)> {
        let queue = self.local_first(upstream, queue, locations, now_ms);
        let Room { mut uncommitted_bytes, mut is_all_free } = room;
        let mut started: FastSet<GroupKey> = FastSet::default();
        let planned_bytes = self.planned_bytes();
        let Some(state) = self.upstreams.get_mut(&upstream) else { return Vec::new() };
        let mut free_bytes = state.free_bytes(planned_bytes, now_ms);
        let slowdown = state.slowdown(now_ms);
        let mut pieces = Vec::new();
        for (group, piece) in &queue {
            if pieces.len() >= self.service.batch.max(1) {
                break;
            }
            let Some(work) = self.groups.get(*group).map(|it| &it.work) else { continue };
            let end_ms = now_ms as f64 + self.duration_ms(pieces.len() + 1) * slowdown;
            if end_ms > work.deadline_ms as f64 || work.result_bytes > free_bytes {
                continue;
            }
            let is_new = self.groups.get(*group).is_some_and(Group::is_unstarted);
            if is_new && !started.contains(group) {
                // A stage that is split over two calls keeps its first results in memory for longer.
                let slots_left = self.service.batch.max(1) - pieces.len();
                if work.pieces > slots_left && !pieces.is_empty() {
                    continue;
                }
                let all_bytes = work.result_bytes * work.pieces as u64;
                // Work that exceeds the memory of all upstreams may still run while nothing else does.
                if all_bytes > uncommitted_bytes && !is_all_free {
                    continue;
                }
                is_all_free = false;
                uncommitted_bytes = uncommitted_bytes.saturating_sub(all_bytes);
                started.insert(*group);
            }
            free_bytes -= work.result_bytes;
            pieces.push((*group, *piece));
        }
        pieces
    }
}
