//! Queue of pieces and calls in progress of one stage service.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::{
    FastMap,
    batching::{Activity, StageWork, planning::OVERDUE_FACTOR, upstream_state::UpstreamState},
    route_table::StageService,
    stage_graph::ResultHandle,
    upstreams::UpstreamKey,
};

/// Failures that a stage tolerates for each of its pieces, on average; a failed call counts once for
/// every piece that was part of it.
const MAX_FAILURES_PER_PIECE: u32 = 4;
/// Duration of a piece while all upstreams are busy, in full calls: half a call until an upstream is
/// free, and the piece's own call.
const LOADED_FACTOR: f64 = 1.5;
/// Backoff of an upstream that reports no free memory or no free slot, in milliseconds.
const FULL_BACKOFF_MS: u64 = 50;

new_key_type! {
    /// Identifies the queued work of one stage of one request.
    pub struct GroupKey;
    /// Identifies a call in progress.
    pub struct CallKey;
}

/// A call to make now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// Key under which the result is reported.
    pub call: CallKey,
    /// Upstream to call.
    pub upstream: UpstreamKey,
    /// Pieces in the order in which the call lists them, each with its group and its index there.
    pub pieces: Vec<(GroupKey, usize)>,
    /// Time at which the call is expected to end, in milliseconds.
    pub expected_end_ms: u64,
}

/// Result of one piece of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceResult {
    /// The upstream stores the result.
    Completed(ResultHandle),
    /// Its deadline had passed when its turn came.
    Late,
    /// An input no longer exists.
    InputGone,
    /// The upstream had no memory for the result.
    NoRoom,
    /// It failed for another reason.
    Failed,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// One result for each piece, in order.
    Answered(Vec<PieceResult>),
    /// The upstream did not accept the call.
    Full,
    /// No complete response arrived.
    Failed,
}

/// Outcome of the work of one stage.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
pub enum GroupOutcome {
    /// All results exist.
    #[serde(rename = "Made")]
    #[display("made")]
    Completed,
    /// The deadline can't be met.
    Late,
    /// An input no longer exists.
    InputGone,
    /// Too many calls failed.
    Failed,
}

#[derive(Debug)]
pub(super) struct Group {
    pub(super) work: StageWork,
    pub(super) waiting: Vec<usize>,
    results: Vec<Option<ResultHandle>>,
    failures: u32,
    /// The inputs have been released, so that no piece can run again.
    pub(super) has_released_inputs: bool,
}

#[derive(Debug)]
pub(super) struct Call {
    pub(super) upstream: UpstreamKey,
    pub(super) pieces: Vec<(GroupKey, usize)>,
    pub(super) started_ms: u64,
    pub(super) nominal_ms: f64,
    pub(super) overdue_ms: u64,
    pub(super) is_overdue: bool,
    /// The upstream has had enough time to read the inputs.
    pub(super) has_read_inputs: bool,
    pub(super) reserved_bytes: u64,
}

impl Group {
    /// Tells whether all of its pieces wait, so that none is done or in a call that is not overdue.
    pub(super) fn is_unstarted(&self) -> bool {
        self.waiting.len() == self.work.pieces
    }
}

/// Groups that ended and results that can be released.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// Groups that ended; completed ones with their results in the order of the pieces.
    pub ended: Vec<(GroupKey, GroupOutcome, Vec<ResultHandle>)>,
    /// Results that are no longer needed.
    pub unused: Vec<ResultHandle>,
}

/// Queue and scheduler of one stage service, at the entry that owns the service.
#[derive(Debug)]
pub struct Batcher {
    pub(super) service: StageService,
    pub(super) groups: SlotMap<GroupKey, Group>,
    pub(super) calls: SlotMap<CallKey, Call>,
    pub(super) upstreams: FastMap<UpstreamKey, UpstreamState>,
    pub(super) activity: Activity,
}

impl Batcher {
    /// Creates an empty queue.
    pub fn new(service: StageService) -> Self {
        Self {
            service,
            groups: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            upstreams: FastMap::default(),
            activity: Activity::default(),
        }
    }

    /// Replaces the limits and nominal durations of the service.
    pub fn set_service(&mut self, service: StageService) {
        self.service = service;
    }

    /// Queues the work of a stage.
    pub fn submit(&mut self, work: StageWork) -> GroupKey {
        let group = Group {
            waiting: (0..work.pieces).collect(),
            results: vec![None; work.pieces],
            failures: 0,
            has_released_inputs: false,
            work,
        };
        self.groups.insert(group)
    }

    /// Returns the work of a group, unless it has ended.
    pub fn work(&self, group: GroupKey) -> Option<&StageWork> {
        self.groups.get(group).map(|it| &it.work)
    }

    /// Removes a group whose results are no longer needed and returns those that exist.
    pub fn cancel(&mut self, group: GroupKey) -> Vec<ResultHandle> {
        self.activity.cancelled += u64::from(self.groups.contains_key(group));
        self.discard_group(group)
    }

    fn discard_group(&mut self, group: GroupKey) -> Vec<ResultHandle> {
        let unused = self.remove_group(group);
        self.activity.unused += unused.len() as u64;
        unused
    }

    fn remove_group(&mut self, group: GroupKey) -> Vec<ResultHandle> {
        let Some(group) = self.groups.remove(group) else { return Vec::new() };
        group.results.into_iter().flatten().collect()
    }

    /// Returns the number of waiting pieces.
    pub fn waiting(&self) -> usize {
        self.groups.values().map(|it| it.waiting.len()).sum()
    }

    /// Frees the memory that was accounted for a result.
    pub fn release(&mut self, handle: &str) {
        for upstream in self.upstreams.values_mut() {
            if upstream.release(handle) {
                return;
            }
        }
    }

    /// Returns the expected time until `pieces` more pieces with the soft deadline `due_ms` are done,
    /// in milliseconds, with `upstreams` upstreams available.
    pub fn estimate_ms(&self, pieces: usize, due_ms: u64, upstreams: usize, now_ms: u64) -> f64 {
        let pieces_ahead: usize = self
            .groups
            .values()
            .filter(|it| it.work.soft_deadline_ms <= due_ms)
            .map(|it| it.waiting.len())
            .sum();
        let batch = self.service.batch.max(1);
        let parallel_calls = (upstreams.max(1) as f64) * f64::from(self.service.slots.max(1));
        let full_batches_ahead = (pieces_ahead / batch) as f64;
        let earliest_free_ms: f64 = self
            .upstreams
            .values()
            .map(|it| (it.busy_until_ms - now_ms as f64).max(0.0))
            .fold(f64::MAX, f64::min);
        let wait_ms =
            if self.calls.len() as f64 >= parallel_calls { earliest_free_ms.min(1e6) } else { 0.0 };
        let queue_ms = full_batches_ahead * self.duration_ms(batch) / parallel_calls;
        wait_ms + queue_ms + self.duration_ms(pieces.min(batch))
    }

    /// Removes the groups that can't meet their deadlines with `upstreams` upstreams available.
    pub fn expire(&mut self, upstreams: usize, now_ms: u64) -> Settled {
        let shortest_ms = self.duration_ms(1);
        let mut settled = Settled::default();
        let misses_deadline = |it: &Group| {
            let needed_ms = if it.waiting.is_empty() { 0.0 } else { shortest_ms };
            now_ms as f64 + needed_ms > it.work.deadline_ms as f64
        };
        let late: Vec<GroupKey> =
            self.groups.iter().filter(|(_, it)| misses_deadline(it)).map(|(key, _)| key).collect();
        for key in late {
            self.activity.expired += 1;
            self.end_group(key, GroupOutcome::Late, &mut settled);
        }
        for key in self.groups_to_shed(upstreams, now_ms) {
            self.activity.shed += 1;
            self.end_group(key, GroupOutcome::Late, &mut settled);
        }
        settled
    }

    /// Queues the pieces of overdue calls again, while the calls go on.
    pub fn requeue_overdue(&mut self, now_ms: u64) {
        let is_due = |it: &Call| !it.is_overdue && it.overdue_ms <= now_ms;
        let due: Vec<CallKey> =
            self.calls.iter().filter(|(_, it)| is_due(it)).map(|(key, _)| key).collect();
        for key in due {
            let Some(call) = self.calls.get_mut(key) else { continue };
            call.is_overdue = true;
            let (upstream, pieces, started_ms, nominal_ms) =
                (call.upstream, call.pieces.clone(), call.started_ms, call.nominal_ms);
            if let Some(upstream) = self.upstreams.get_mut(&upstream) {
                let took_ms = now_ms.saturating_sub(started_ms) as f64;
                upstream.record_success(took_ms * OVERDUE_FACTOR, nominal_ms, now_ms);
                upstream.busy_until_ms = now_ms as f64 + took_ms;
            }
            for (group, piece) in pieces {
                self.requeue_piece(group, piece);
            }
        }
    }

    /// Applies the result of a call.
    pub fn finish(&mut self, key: CallKey, result: CallResult, now_ms: u64) -> Settled {
        let mut settled = Settled::default();
        let Some(call) = self.calls.remove(key) else { return settled };
        let upstream = self.upstreams.entry(call.upstream).or_insert_with(UpstreamState::new);
        upstream.calls = upstream.calls.saturating_sub(1);
        upstream.reserved_bytes = upstream.reserved_bytes.saturating_sub(call.reserved_bytes);
        upstream.busy_until_ms = now_ms as f64;
        match result {
            CallResult::Answered(results) => {
                let took_ms = now_ms.saturating_sub(call.started_ms) as f64;
                upstream.record_success(took_ms, call.nominal_ms, now_ms);
                for ((group, piece), result) in call.pieces.into_iter().zip(results) {
                    self.apply_piece(call.upstream, group, piece, result, now_ms, &mut settled);
                }
            }
            CallResult::Full => {
                upstream.back_off(now_ms + FULL_BACKOFF_MS);
                for (group, piece) in call.pieces {
                    if self.groups.get(group).is_some_and(|it| it.has_released_inputs) {
                        self.end_group(group, GroupOutcome::InputGone, &mut settled);
                        continue;
                    }
                    self.requeue_piece(group, piece);
                }
            }
            CallResult::Failed => {
                upstream.record_failure(now_ms);
                for (group, piece) in call.pieces {
                    self.retry_piece(group, piece, &mut settled);
                }
            }
        }
        settled
    }

    /// Removes upstreams that no longer exist, together with the results that they stored.
    pub fn retain_upstreams(&mut self, exists: impl Fn(UpstreamKey) -> bool) {
        self.upstreams.retain(|key, _| exists(*key));
    }

    /// Returns the nominal duration of a call with `pieces` pieces, in milliseconds.
    pub fn duration_ms(&self, pieces: usize) -> f64 {
        self.service.call_ms + self.service.piece_ms * pieces as f64
    }

    /// Returns the duration of a piece while all upstreams are busy, in milliseconds: half of a full
    /// call until one is free, and a full call.
    pub fn duration_under_load_ms(&self) -> f64 {
        self.duration_ms(self.service.batch.max(1)) * LOADED_FACTOR
    }

    fn apply_piece(
        &mut self,
        upstream: UpstreamKey,
        key: GroupKey,
        piece: usize,
        result: PieceResult,
        now_ms: u64,
        settled: &mut Settled,
    ) {
        match result {
            PieceResult::Completed(handle) => {
                self.store_result(upstream, key, piece, handle, now_ms, settled)
            }
            PieceResult::Late => {
                self.activity.late_at_upstream += 1;
                self.end_group(key, GroupOutcome::Late, settled);
            }
            PieceResult::InputGone => self.end_group(key, GroupOutcome::InputGone, settled),
            PieceResult::NoRoom => {
                self.activity.no_room += 1;
                if let Some(upstream) = self.upstreams.get_mut(&upstream) {
                    upstream.back_off(now_ms + FULL_BACKOFF_MS);
                }
                self.retry_piece(key, piece, settled);
            }
            PieceResult::Failed => self.retry_piece(key, piece, settled),
        }
    }

    fn store_result(
        &mut self,
        upstream: UpstreamKey,
        key: GroupKey,
        piece: usize,
        handle: ResultHandle,
        now_ms: u64,
        settled: &mut Settled,
    ) {
        let ttl_ms = self.service.result_ttl_ms;
        let Some(group) = self.groups.get_mut(key) else {
            self.activity.unused += 1;
            settled.unused.push(handle);
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(&upstream) {
            upstream.store(handle.clone(), group.work.result_bytes, now_ms + ttl_ms);
        }
        if group.results.get(piece).is_none_or(Option::is_some) {
            self.activity.unused += 1;
            settled.unused.push(handle);
            return;
        }
        group.waiting.retain(|it| *it != piece);
        group.results[piece] = Some(handle);
        if group.results.iter().all(Option::is_some) {
            let handles = self.remove_group(key);
            self.activity.completed += handles.len() as u64;
            settled.ended.push((key, GroupOutcome::Completed, handles));
        }
    }

    fn retry_piece(&mut self, key: GroupKey, piece: usize, settled: &mut Settled) {
        let Some(group) = self.groups.get_mut(key) else { return };
        if group.has_released_inputs {
            self.end_group(key, GroupOutcome::InputGone, settled);
            return;
        }
        group.failures += 1;
        // A failed call gets here once for every piece of the group that was part of it.
        if group.failures > MAX_FAILURES_PER_PIECE * group.work.pieces as u32 {
            self.end_group(key, GroupOutcome::Failed, settled);
            return;
        }
        self.requeue_piece(key, piece);
    }

    fn requeue_piece(&mut self, key: GroupKey, piece: usize) {
        let Some(group) = self.groups.get_mut(key) else { return };
        // Without its inputs the piece can only come from the call in progress.
        if group.has_released_inputs {
            return;
        }
        let is_done = group.results.get(piece).is_some_and(Option::is_some);
        if !is_done && !group.waiting.contains(&piece) {
            group.waiting.push(piece);
        }
    }

    fn end_group(&mut self, key: GroupKey, end: GroupOutcome, settled: &mut Settled) {
        if !self.groups.contains_key(key) {
            return;
        }
        self.activity.inputs_gone += u64::from(end == GroupOutcome::InputGone);
        settled.unused.extend(self.discard_group(key));
        settled.ended.push((key, end, Vec::new()));
    }
}
