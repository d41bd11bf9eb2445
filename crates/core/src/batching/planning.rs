//! Choice of the next call: which upstream makes it, and from which part of the queue.
//!
//! Load that this answers: the owner of a service for a hundred entries plans a thousand times a second
//! on half of a core, also while thousands of pieces wait for memory. A plan that can't start a call
//! has to cost little, since otherwise a long queue keeps its owner from serving it.

use crate::{
    batching::{
        AvailableUpstream, Batcher, GroupKey, PlannedCall, batcher::Call,
        upstream_state::UpstreamState, work::QueuePosition,
    },
    upstreams::UpstreamKey,
};

/// Multiple of the expected duration after which a call is overdue and its pieces are queued again.
pub(super) const OVERDUE_FACTOR: f64 = 1.8;
/// Additional time before a call is overdue, in milliseconds.
const OVERDUE_SLACK_MS: f64 = 150.0;
/// Time that a call takes longer for each megabyte from another data centre, in milliseconds.
const REMOTE_READ_MS_PER_MB: f64 = 60.0;

/// Waiting work, as far as it decides whether any call can start.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// Size of the smallest result, in bytes.
    smallest_result_bytes: u64,
    /// Size of all results of the smallest stage that has not started, in bytes.
    smallest_unstarted_bytes: u64,
    /// Whether pieces of a stage wait that has started.
    has_started: bool,
}

impl Batcher {
    /// Returns the next call to make, if an upstream is free and pieces wait.
    pub fn next_call(&mut self, usable: &[AvailableUpstream], now_ms: u64) -> Option<PlannedCall> {
        let demand = self.demand()?;
        if !self.has_room(usable, demand.smallest_result_bytes, now_ms) {
            return None;
        }
        let room = self.room(usable, now_ms);
        let fits = demand.smallest_unstarted_bytes <= room.uncommitted_bytes || room.is_all_free;
        if !demand.has_started && !fits {
            return None;
        }
        self.activity.ordered_plans += 1;
        let queue = self.ordered_pieces(now_ms);
        let by_end = self.upstreams_by_end(usable, &queue, now_ms);
        let locations = self.locations(usable, now_ms);
        let batch = self.service.batch.max(1);
        // A busy or backing-off upstream that would finish a batch earlier is left that batch.
        let mut left_to_others = 0;
        for key in by_end {
            if left_to_others >= queue.len() {
                return None;
            }
            if !self.is_free(key, now_ms) {
                left_to_others += batch;
                continue;
            }
            if self.free_bytes(key, now_ms) < demand.smallest_result_bytes {
                continue;
            }
            let pieces = self.fill(key, &queue[left_to_others..], &locations, room, now_ms);
            if pieces.is_empty() {
                continue;
            }
            return Some(self.start_call(key, pieces, now_ms));
        }
        None
    }

    /// Returns the groups with waiting pieces, in the order in which they go.
    pub(super) fn ordered_groups(&self, now_ms: u64) -> Vec<(QueuePosition, GroupKey)> {
        let call_ms = self.duration_ms(1);
        let mut positions: Vec<(QueuePosition, GroupKey)> = self
            .groups
            .iter()
            .filter(|(_, it)| !it.waiting.is_empty())
            .map(|(key, it)| (it.work.position(it.is_unstarted(), now_ms, call_ms), key))
            .collect();
        positions.sort_unstable();
        positions
    }

    /// Returns the waiting pieces, in the order in which they go.
    fn ordered_pieces(&self, now_ms: u64) -> Vec<(GroupKey, usize)> {
        let mut queue = Vec::new();
        for (_, key) in self.ordered_groups(now_ms) {
            let Some(group) = self.groups.get(key) else { continue };
            queue.extend(group.waiting.iter().map(|it| (key, *it)));
        }
        queue
    }

    /// Returns what the waiting work needs in order to start; none if nothing waits.
    fn demand(&self) -> Option<Demand> {
        let mut demand: Option<Demand> = None;
        for group in self.groups.values() {
            if group.waiting.is_empty() {
                continue;
            }
            let result_bytes = group.work.result_bytes;
            let (all_bytes, is_started) = match group.is_unstarted() {
                true => (result_bytes * group.work.pieces as u64, false),
                false => (u64::MAX, true),
            };
            let known = demand.get_or_insert(Demand {
                smallest_result_bytes: u64::MAX,
                smallest_unstarted_bytes: u64::MAX,
                has_started: false,
            });
            known.smallest_result_bytes = known.smallest_result_bytes.min(result_bytes);
            known.smallest_unstarted_bytes = known.smallest_unstarted_bytes.min(all_bytes);
            known.has_started |= is_started;
        }
        demand
    }

    /// Tells whether a free upstream has memory for a result of this size.
    fn has_room(&mut self, usable: &[AvailableUpstream], result_bytes: u64, now_ms: u64) -> bool {
        usable.iter().any(|it| {
            self.is_free(it.key, now_ms) && self.free_bytes(it.key, now_ms) >= result_bytes
        })
    }

    /// Tells whether an upstream accepts a call now.
    fn is_free(&self, key: UpstreamKey, now_ms: u64) -> bool {
        let slots = self.service.slots.max(1);
        self.upstreams.get(&key).is_none_or(|it| it.calls < slots && !it.is_backing_off(now_ms))
    }

    /// Returns the memory of an upstream that no result takes up or will take up, in bytes.
    fn free_bytes(&mut self, key: UpstreamKey, now_ms: u64) -> u64 {
        let planned_bytes = self.planned_bytes();
        self.upstreams
            .get_mut(&key)
            .map_or(planned_bytes, |it| it.free_bytes(planned_bytes, now_ms))
    }

    /// Returns the upstreams in the order in which they would finish the first pieces of the queue.
    fn upstreams_by_end(
        &mut self,
        usable: &[AvailableUpstream],
        queue: &[(GroupKey, usize)],
        now_ms: u64,
    ) -> Vec<UpstreamKey> {
        let nominal_ms = self.duration_ms(queue.len().min(self.service.batch.max(1)));
        let Self { groups, upstreams, service, .. } = self;
        let first = queue.first().and_then(|(group, _)| groups.get(*group));
        let preferred = first.and_then(|it| it.work.preferred_data_centre.as_ref());
        let mut by_end: Vec<(f64, UpstreamKey)> = Vec::with_capacity(usable.len());
        for target in usable {
            let upstream = upstreams.entry(target.key).or_insert_with(UpstreamState::new);
            let remote = preferred.filter(|it| it.data_centre != target.data_centre);
            let remote_megabytes = remote.map_or(0.0, |it| it.remote_bytes as f64 / 1e6);
            let distance_ms = remote_megabytes * REMOTE_READ_MS_PER_MB;
            let is_busy = upstream.calls >= service.slots.max(1);
            let free_ms = if is_busy { upstream.busy_until_ms } else { 0.0 };
            let start_ms = free_ms.max(now_ms as f64).max(upstream.backoff_until_ms as f64);
            let end_ms = start_ms + nominal_ms * upstream.slowdown(now_ms) + distance_ms;
            by_end.push((end_ms, target.key));
        }
        by_end.sort_by(|a, b| a.0.total_cmp(&b.0));
        by_end.into_iter().map(|(_, key)| key).collect()
    }

    fn start_call(
        &mut self,
        upstream: UpstreamKey,
        pieces: Vec<(GroupKey, usize)>,
        now_ms: u64,
    ) -> PlannedCall {
        let nominal_ms = self.duration_ms(pieces.len());
        let mut reserved_bytes = 0;
        for (group, piece) in &pieces {
            let Some(group) = self.groups.get_mut(*group) else { continue };
            group.waiting.retain(|it| it != piece);
            reserved_bytes += group.work.result_bytes;
        }
        let state = self.upstreams.entry(upstream).or_insert_with(UpstreamState::new);
        let expected_ms = nominal_ms * state.slowdown(now_ms);
        state.calls += 1;
        state.reserved_bytes += reserved_bytes;
        state.busy_until_ms = now_ms as f64 + expected_ms;
        let overdue_ms = now_ms + (expected_ms * OVERDUE_FACTOR + OVERDUE_SLACK_MS) as u64;
        let call = self.calls.insert(Call {
            upstream,
            pieces: pieces.clone(),
            started_ms: now_ms,
            nominal_ms,
            overdue_ms,
            is_overdue: false,
            has_read_inputs: false,
            reserved_bytes,
        });
        let expected_end_ms = now_ms + expected_ms as u64;
        PlannedCall { call, upstream, pieces, expected_end_ms }
    }
}
