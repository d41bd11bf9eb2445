//! Queue of pieces and the calls in progress.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::{
    FastMap,
    batching::{AvailableUpstream, StageWork, order::Place, upstream_state::UpstreamState},
    route_table::StageService,
    stage_graph::ResultHandle,
    upstreams::UpstreamKey,
};

/// Calls that a piece may be part of before its stage is given up.
const MAX_TRIES: u32 = 4;
/// Times the expected duration after which the pieces of a call are made elsewhere too.
const OVERDUE_FACTOR: f64 = 1.8;
/// Extra time before a call counts as overdue, in milliseconds.
const OVERDUE_SLACK_MS: f64 = 150.0;
/// Full calls that a piece takes where all upstreams are busy: the wait for one, and its own.
const LOADED_FACTOR: f64 = 1.5;
/// Cost of reading a megabyte from another data centre, in milliseconds of a call.
const OTHER_DATA_CENTRE_MS_PER_MB: f64 = 60.0;
/// Pause of an upstream that says it has no room or no slot, in milliseconds.
const FULL_PAUSE_MS: u64 = 50;

new_key_type! {
    /// Names the work of one stage of one request.
    pub struct GroupKey;
    /// Names one call.
    pub struct CallKey;
}

/// A call to make now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// Name under which the result is reported.
    pub call: CallKey,
    /// Upstream to call.
    pub upstream: UpstreamKey,
    /// Pieces in the order in which they are asked for.
    pub pieces: Vec<(GroupKey, usize)>,
    /// Time at which the call is expected to have ended, in milliseconds.
    pub expected_end_ms: u64,
}

/// What became of one piece of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceResult {
    /// The result exists.
    Completed(ResultHandle),
    /// Its time had passed when its turn came.
    Late,
    /// An input no longer exists.
    InputGone,
    /// There was no room for the result.
    NoRoom,
    /// It failed for another reason.
    Failed,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// One result for each piece, in order.
    Answered(Vec<PieceResult>),
    /// The upstream took no call.
    Full,
    /// No whole answer arrived.
    Failed,
}

/// How the work of a stage ended.
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
    /// The upstreams failed too often.
    Failed,
}

#[derive(Debug)]
pub(super) struct Group {
    pub(super) work: StageWork,
    pub(super) waiting: Vec<usize>,
    results: Vec<Option<ResultHandle>>,
    tries: u32,
    /// Its inputs no longer take up room, so that no piece can be made again.
    pub(super) has_released_inputs: bool,
}

#[derive(Debug)]
pub(super) struct Call {
    upstream: UpstreamKey,
    pub(super) pieces: Vec<(GroupKey, usize)>,
    started_ms: u64,
    stated_ms: f64,
    overdue_ms: u64,
    pub(super) is_overdue: bool,
    /// The upstream has had the time to read the inputs.
    pub(super) has_read: bool,
    reserved_bytes: u64,
}

impl Group {
    /// Tells whether none of its pieces has been part of a call.
    pub(super) fn is_untouched(&self) -> bool {
        self.waiting.len() == self.work.pieces
    }
}

/// Results of a finished call.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// Groups that ended, with their results in the order of the pieces.
    pub ended: Vec<(GroupKey, GroupOutcome, Vec<ResultHandle>)>,
    /// Results that nobody needs any more.
    pub unused: Vec<ResultHandle>,
}

/// Queue of one stage service at the entry that owns it.
#[derive(Debug)]
pub struct Batcher {
    pub(super) service: StageService,
    pub(super) groups: SlotMap<GroupKey, Group>,
    pub(super) calls: SlotMap<CallKey, Call>,
    pub(super) upstreams: FastMap<UpstreamKey, UpstreamState>,
}

impl Batcher {
    /// Creates an empty queue.
    pub fn new(service: StageService) -> Self {
        Self {
            service,
            groups: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            upstreams: FastMap::default(),
        }
    }

    /// Replaces the limits of the service.
    pub fn set_service(&mut self, service: StageService) {
        self.service = service;
    }

    /// Takes in the work of a stage.
    pub fn submit(&mut self, work: StageWork) -> GroupKey {
        let group = Group {
            waiting: (0..work.pieces).collect(),
            results: vec![None; work.pieces],
            tries: 0,
            has_released_inputs: false,
            work,
        };
        self.groups.insert(group)
    }

    /// Returns the work of a group, unless it has ended.
    pub fn work(&self, group: GroupKey) -> Option<&StageWork> {
        self.groups.get(group).map(|it| &it.work)
    }

    /// Forgets a group whose results nobody needs any more and returns those that exist.
    pub fn cancel(&mut self, group: GroupKey) -> Vec<ResultHandle> {
        let Some(group) = self.groups.remove(group) else { return Vec::new() };
        group.results.into_iter().flatten().collect()
    }

    /// Returns the number of pieces that wait.
    pub fn waiting(&self) -> usize {
        self.groups.values().map(|it| it.waiting.len()).sum()
    }

    /// Notes that a result no longer takes up room.
    pub fn release(&mut self, handle: &str) {
        for upstream in self.upstreams.values_mut() {
            if upstream.release(handle) {
                return;
            }
        }
    }

    /// Returns the expected time until `pieces` more pieces that are due at `soft_deadline_ms` are made, in
    /// milliseconds, with `upstreams` upstreams in use.
    pub fn estimate_ms(
        &self,
        pieces: usize,
        soft_deadline_ms: u64,
        upstreams: usize,
        now_ms: u64,
    ) -> f64 {
        let ahead: usize = self
            .groups
            .values()
            .filter(|it| it.work.soft_deadline_ms <= soft_deadline_ms)
            .map(|it| it.waiting.len())
            .sum();
        let batch = self.service.batch.max(1);
        let lanes = (upstreams.max(1) as f64) * f64::from(self.service.slots.max(1));
        let full_batches_ahead = (ahead / batch) as f64;
        let busy: f64 = self
            .upstreams
            .values()
            .map(|it| (it.busy_until_ms - now_ms as f64).max(0.0))
            .fold(f64::MAX, f64::min);
        let first_free_ms = if self.calls.len() as f64 >= lanes { busy.min(1e6) } else { 0.0 };
        let queue_ms = full_batches_ahead * self.duration_ms(batch) / lanes;
        first_free_ms + queue_ms + self.duration_ms(pieces.min(batch))
    }

    /// Removes the groups that can't meet their deadlines with `upstreams` upstreams in use.
    pub fn expire(&mut self, upstreams: usize, now_ms: u64) -> Settled {
        let shortest_ms = self.duration_ms(1);
        let mut settled = Settled::default();
        let is_hopeless = |it: &Group| {
            let needed_ms = if it.waiting.is_empty() { 0.0 } else { shortest_ms };
            now_ms as f64 + needed_ms > it.work.deadline_ms as f64
        };
        let late: Vec<GroupKey> =
            self.groups.iter().filter(|(_, it)| is_hopeless(it)).map(|(key, _)| key).collect();
        for key in late.into_iter().chain(self.unreachable(upstreams, now_ms)) {
            self.end(key, GroupOutcome::Late, &mut settled);
        }
        settled
    }

    /// Puts the pieces of overdue calls into the queue again.
    pub fn requeue_overdue(&mut self, now_ms: u64) {
        let is_due = |it: &Call| !it.is_overdue && it.overdue_ms <= now_ms;
        let due: Vec<CallKey> =
            self.calls.iter().filter(|(_, it)| is_due(it)).map(|(key, _)| key).collect();
        for key in due {
            let Some(call) = self.calls.get_mut(key) else { continue };
            call.is_overdue = true;
            let (upstream, pieces, started_ms, stated_ms) =
                (call.upstream, call.pieces.clone(), call.started_ms, call.stated_ms);
            if let Some(upstream) = self.upstreams.get_mut(&upstream) {
                let took_ms = now_ms.saturating_sub(started_ms) as f64;
                upstream.note_success(took_ms * OVERDUE_FACTOR, stated_ms, now_ms);
                upstream.busy_until_ms = now_ms as f64 + took_ms;
            }
            for (group, piece) in pieces {
                self.requeue(group, piece);
            }
        }
    }

    /// Returns the next call to make, if an upstream is free and pieces wait.
    pub fn next_call(&mut self, usable: &[AvailableUpstream], now_ms: u64) -> Option<PlannedCall> {
        let queue = self.queue(now_ms);
        if queue.is_empty() {
            return None;
        }
        let head = queue.first().and_then(|(group, _)| self.groups.get(*group))?.work.clone();
        let batch = self.service.batch.max(1);
        let stated_ms = self.duration_ms(queue.len().min(batch));
        let mut order: Vec<(f64, UpstreamKey)> = Vec::with_capacity(usable.len());
        for view in usable {
            let upstream = self.upstreams.entry(view.key).or_insert_with(UpstreamState::new);
            let remote =
                head.preferred_data_centre.as_ref().filter(|it| it.data_centre != view.data_centre);
            let remote_megabytes = remote.map_or(0.0, |it| it.remote_bytes as f64 / 1e6);
            let distance_ms = remote_megabytes * OTHER_DATA_CENTRE_MS_PER_MB;
            let is_busy = upstream.calls >= self.service.slots.max(1);
            let free_ms = if is_busy { upstream.busy_until_ms } else { 0.0 };
            let start_ms = free_ms.max(now_ms as f64).max(upstream.paused_until_ms as f64);
            order.push((start_ms + stated_ms * upstream.pace(now_ms) + distance_ms, view.key));
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let homes = self.homes(usable, now_ms);
        // Pieces that an upstream in use finishes earlier are left to it.
        let mut skipped = 0;
        for (_, key) in order {
            if skipped >= queue.len() {
                return None;
            }
            let Some(upstream) = self.upstreams.get(&key) else { continue };
            if upstream.calls >= self.service.slots.max(1) || upstream.is_paused(now_ms) {
                skipped += batch;
                continue;
            }
            let pieces = self.fill(key, &queue[skipped..], &homes, now_ms);
            if pieces.is_empty() {
                continue;
            }
            return Some(self.start(key, pieces, now_ms));
        }
        None
    }

    /// Notes what became of a call.
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
                upstream.note_success(took_ms, call.stated_ms, now_ms);
                for ((group, piece), result) in call.pieces.into_iter().zip(results) {
                    self.settle(call.upstream, group, piece, result, now_ms, &mut settled);
                }
            }
            CallResult::Full => {
                upstream.pause(now_ms + FULL_PAUSE_MS);
                for (group, piece) in call.pieces {
                    if self.groups.get(group).is_some_and(|it| it.has_released_inputs) {
                        self.end(group, GroupOutcome::InputGone, &mut settled);
                        continue;
                    }
                    self.requeue(group, piece);
                }
            }
            CallResult::Failed => {
                upstream.note_failure(now_ms);
                for (group, piece) in call.pieces {
                    self.retry(group, piece, &mut settled);
                }
            }
        }
        settled
    }

    /// Forgets upstreams that no longer exist; results that they held are gone with them.
    pub fn retain_upstreams(&mut self, exists: impl Fn(UpstreamKey) -> bool) {
        self.upstreams.retain(|key, _| exists(*key));
    }

    /// Returns the stated time of a call, in milliseconds.
    pub fn duration_ms(&self, pieces: usize) -> f64 {
        self.service.call_ms + self.service.piece_ms * pieces as f64
    }

    /// Returns the time of a piece where all upstreams are busy, in milliseconds: half of a full call
    /// until one comes free, and a full call.
    pub fn duration_under_load_ms(&self) -> f64 {
        self.duration_ms(self.service.batch.max(1)) * LOADED_FACTOR
    }

    /// Returns the groups that wait, those that go first first.
    pub(super) fn order(&self, now_ms: u64) -> Vec<(Place, GroupKey)> {
        let call_ms = self.duration_ms(1);
        let mut places: Vec<(Place, GroupKey)> = self
            .groups
            .iter()
            .filter(|(_, it)| !it.waiting.is_empty())
            .map(|(key, it)| (it.work.place(it.is_untouched(), now_ms, call_ms), key))
            .collect();
        places.sort_unstable();
        places
    }

    /// Returns the pieces that wait, those that go first first.
    fn queue(&self, now_ms: u64) -> Vec<(GroupKey, usize)> {
        let mut queue = Vec::new();
        for (_, key) in self.order(now_ms) {
            let Some(group) = self.groups.get(key) else { continue };
            queue.extend(group.waiting.iter().map(|it| (key, *it)));
        }
        queue
    }

    fn start(
        &mut self,
        upstream: UpstreamKey,
        pieces: Vec<(GroupKey, usize)>,
        now_ms: u64,
    ) -> PlannedCall {
        let stated_ms = self.duration_ms(pieces.len());
        let mut reserved_bytes = 0;
        for (group, piece) in &pieces {
            let Some(group) = self.groups.get_mut(*group) else { continue };
            group.waiting.retain(|it| it != piece);
            reserved_bytes += group.work.result_bytes;
        }
        let state = self.upstreams.entry(upstream).or_insert_with(UpstreamState::new);
        let expected_ms = stated_ms * state.pace(now_ms);
        state.calls += 1;
        state.reserved_bytes += reserved_bytes;
        state.busy_until_ms = now_ms as f64 + expected_ms;
        let overdue_ms = now_ms + (expected_ms * OVERDUE_FACTOR + OVERDUE_SLACK_MS) as u64;
        let call = self.calls.insert(Call {
            upstream,
            pieces: pieces.clone(),
            started_ms: now_ms,
            stated_ms,
            overdue_ms,
            is_overdue: false,
            has_read: false,
            reserved_bytes,
        });
        let expected_end_ms = now_ms + expected_ms as u64;
        PlannedCall { call, upstream, pieces, expected_end_ms }
    }

    fn settle(
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
                self.store(upstream, key, piece, handle, now_ms, settled)
            }
            PieceResult::Late => self.end(key, GroupOutcome::Late, settled),
            PieceResult::InputGone => self.end(key, GroupOutcome::InputGone, settled),
            PieceResult::NoRoom => {
                if let Some(upstream) = self.upstreams.get_mut(&upstream) {
                    upstream.pause(now_ms + FULL_PAUSE_MS);
                }
                self.retry(key, piece, settled);
            }
            PieceResult::Failed => self.retry(key, piece, settled),
        }
    }

    fn store(
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
            settled.unused.push(handle);
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(&upstream) {
            upstream.hold(handle.clone(), group.work.result_bytes, now_ms + ttl_ms);
        }
        if group.results.get(piece).is_none_or(Option::is_some) {
            settled.unused.push(handle);
            return;
        }
        group.waiting.retain(|it| *it != piece);
        group.results[piece] = Some(handle);
        if group.results.iter().all(Option::is_some) {
            let handles = self.cancel(key);
            settled.ended.push((key, GroupOutcome::Completed, handles));
        }
    }

    fn retry(&mut self, key: GroupKey, piece: usize, settled: &mut Settled) {
        let Some(group) = self.groups.get_mut(key) else { return };
        if group.has_released_inputs {
            self.end(key, GroupOutcome::InputGone, settled);
            return;
        }
        group.tries += 1;
        // Each failed call counts once for every piece of the group that it held.
        if group.tries > MAX_TRIES * group.work.pieces as u32 {
            self.end(key, GroupOutcome::Failed, settled);
            return;
        }
        self.requeue(key, piece);
    }

    fn requeue(&mut self, key: GroupKey, piece: usize) {
        let Some(group) = self.groups.get_mut(key) else { return };
        // The call in progress is the only one that can still make it.
        if group.has_released_inputs {
            return;
        }
        let is_made = group.results.get(piece).is_some_and(Option::is_some);
        if !is_made && !group.waiting.contains(&piece) {
            group.waiting.push(piece);
        }
    }

    fn end(&mut self, key: GroupKey, end: GroupOutcome, settled: &mut Settled) {
        if !self.groups.contains_key(key) {
            return;
        }
        settled.unused.extend(self.cancel(key));
        settled.ended.push((key, end, Vec::new()));
    }
}
