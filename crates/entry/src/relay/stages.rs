//! Queues of the stage services, whose pieces of work are sent to upstreams in batches.
//!
//! Each stage service has one owner among the entries, which batches the pieces of all of them.

mod call;
mod queue_log;

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

use log::warn;
use tokio::sync::oneshot;
use yuccatrail_adapter::result_holder;
use yuccatrail_core::{
    FastMap,
    batching::{
        AvailableUpstream, Batcher, CallResult, GroupKey, GroupOutcome, Settled, StageWork,
    },
    route_table::StageService,
    stage_graph::ResultHandle,
};
use yuccatrail_rpc::entries::{QueueState, StageRequest};

use crate::relay::{
    peers::{Owner, context_for},
    stages::{
        call::{StageCall, make_call},
        queue_log::QueueLog,
    },
    state::{Relay, lock},
};

/// Number of owners to try for the work of one stage before this entry takes it on itself.
const MAX_OWNER_TRIES: usize = 3;
/// Time beyond the deadline for which this entry waits for the owner's response, in milliseconds.
const PEER_SLACK_MS: u64 = 100;

/// How the work of a stage ended, and handles of the results that it has produced.
type StageOutcome = (GroupOutcome, Vec<ResultHandle>);

/// Queue of one stage service, and the requests that wait for its groups of pieces.
#[derive(Debug)]
struct Queue {
    batcher: Batcher,
    waiters: FastMap<GroupKey, oneshot::Sender<StageOutcome>>,
    log: QueueLog,
}

/// Queues of all stage services.
#[derive(Debug, Default)]
pub(crate) struct StageQueues {
    queues: Mutex<FastMap<Arc<str>, Queue>>,
}

/// Cancels a group of pieces when dropped, for instance because its request was cancelled.
struct GroupGuard {
    relay: Arc<Relay>,
    service: Arc<str>,
    group: GroupKey,
}

impl Drop for GroupGuard {
    fn drop(&mut self) {
        let unused = self.relay.stages.cancel(&self.service, self.group);
        self.relay.releases.add(unused);
    }
}

impl StageQueues {
    /// Sets the limits of a stage service and creates its queue on first use.
    pub(crate) fn configure(&self, service: &Arc<str>, limits: StageService) {
        let mut queues = lock(&self.queues);
        match queues.get_mut(service) {
            Some(queue) => queue.batcher.set_service(limits),
            None => {
                let queue = Queue {
                    batcher: Batcher::new(limits),
                    waiters: FastMap::default(),
                    log: QueueLog::default(),
                };
                queues.insert(service.clone(), queue);
            }
        }
    }

    /// Returns the names of the stage services.
    pub(crate) fn services(&self) -> Vec<Arc<str>> {
        lock(&self.queues).keys().cloned().collect()
    }

    /// Runs all pieces of a stage through the service's owner and returns their results.
    ///
    /// If the owner is lost meanwhile, the next owner runs them again. Dropping the future cancels
    /// the work.
    pub(crate) async fn run(
        &self,
        relay: &Arc<Relay>,
        service: &Arc<str>,
        work: StageWork,
    ) -> StageOutcome {
        for _ in 0..MAX_OWNER_TRIES {
            let Owner::Remote(peer) = relay.peers.owner(relay, service) else { break };
            let now_ms = relay.now_ms();
            let sent = work.with_relative_times(now_ms);
            let context = context_for(sent.deadline_ms + PEER_SLACK_MS);
            let request = StageRequest { service: service.to_string(), work: sent };
            let reply = tokio::select! {
                reply = peer.client.run_stage(context, request) => reply,
                () = peer.lost.cancelled() => {
                    warn!(id:% = work.request_id, service:% = service; "owner lost, retrying the stage");
                    continue;
                }
            };
            match reply {
                Ok(reply) => return (reply.end, reply.handles),
                Err(error) => {
                    warn!(id:% = work.request_id, service:% = service, error:% = error; "call to stage owner failed");
                }
            }
        }
        self.run_locally(relay, service, work).await
    }

    /// Runs all pieces of a stage on behalf of another entry.
    pub(crate) async fn run_for_peer(
        &self,
        relay: &Arc<Relay>,
        request: StageRequest,
    ) -> StageOutcome {
        let service: Arc<str> = request.service.into();
        let work = request.work.with_absolute_times(relay.now_ms());
        self.run_locally(relay, &service, work).await
    }

    /// Returns the state of all queues, which the hello replies carry.
    pub(crate) fn states(&self, relay: &Relay) -> Vec<QueueState> {
        let services = self.services();
        let now_ms = relay.now_ms();
        let mut states = Vec::with_capacity(services.len());
        for service in services {
            let Some(wait_ms) = self.local_estimate_ms(relay, &service, 1, now_ms) else {
                continue;
            };
            states.push(QueueState {
                service: service.to_string(),
                wait_ms: wait_ms as u64,
                has_backlog: self.has_local_backlog(&service),
            });
        }
        states
    }

    async fn run_locally(
        &self,
        relay: &Arc<Relay>,
        service: &Arc<str>,
        work: StageWork,
    ) -> StageOutcome {
        if !self.can_meet_deadline(relay, service, &work) {
            if let Some(queue) = lock(&self.queues).get_mut(service) {
                queue.log.record_late_on_arrival();
            }
            return (GroupOutcome::Late, Vec::new());
        }
        let (sender, receiver) = oneshot::channel();
        let group = {
            let mut queues = lock(&self.queues);
            let Some(queue) = queues.get_mut(service) else {
                warn!(service:% = service; "stage refers to a service without stage limits");
                return (GroupOutcome::Failed, Vec::new());
            };
            let group = queue.batcher.submit(work);
            queue.waiters.insert(group, sender);
            group
        };
        let guard = GroupGuard { relay: relay.clone(), service: service.clone(), group };
        self.start_calls(relay, service);
        let outcome = receiver.await.unwrap_or((GroupOutcome::Failed, Vec::new()));
        drop(guard);
        outcome
    }

    /// Tells whether the work is expected to meet its deadline, given the queue.
    fn can_meet_deadline(&self, relay: &Relay, service: &str, work: &StageWork) -> bool {
        let needed_ms = self.local_estimate_ms(relay, service, work.pieces, work.soft_deadline_ms);
        needed_ms.is_none_or(|it| relay.now_ms() as f64 + it <= work.deadline_ms as f64)
    }

    /// Returns the expected time until pieces submitted now are finished, in milliseconds; none for
    /// an unknown service.
    pub(crate) fn estimate_ms(
        &self,
        relay: &Relay,
        service: &str,
        pieces: usize,
        soft_deadline_ms: u64,
    ) -> Option<f64> {
        if let Some(wait_ms) = relay.peers.wait_ms(relay, service) {
            let extra_ms = self.duration_ms(service, pieces) - self.duration_ms(service, 1);
            return Some(wait_ms as f64 + extra_ms.max(0.0));
        }
        self.local_estimate_ms(relay, service, pieces, soft_deadline_ms)
    }

    fn local_estimate_ms(
        &self,
        relay: &Relay,
        service: &str,
        pieces: usize,
        soft_deadline_ms: u64,
    ) -> Option<f64> {
        let now_ms = relay.now_ms();
        let available = available_upstreams(relay, service, now_ms).len();
        let first_return = relay.upstreams().earliest_return(service, now_ms);
        let wait_ms = first_return.map_or(0, |it| it.wait_ms);
        let queues = lock(&self.queues);
        let batcher = &queues.get(service)?.batcher;
        let work_ms = batcher.estimate_ms(pieces, soft_deadline_ms, available, now_ms);
        Some(wait_ms as f64 + work_ms)
    }

    /// Returns the configured duration of a call with this many pieces, in milliseconds.
    pub(crate) fn duration_ms(&self, service: &str, pieces: usize) -> f64 {
        lock(&self.queues).get(service).map_or(0.0, |it| it.batcher.duration_ms(pieces))
    }

    /// Returns the duration of a stage while all its upstreams are busy, in milliseconds.
    pub(crate) fn loaded_ms(&self, service: &str) -> f64 {
        lock(&self.queues).get(service).map_or(0.0, |it| it.batcher.duration_under_load_ms())
    }

    /// Records that results no longer occupy memory at their upstreams.
    pub(crate) fn record_released(&self, relay: &Arc<Relay>, handles: &[ResultHandle]) {
        for queue in lock(&self.queues).values_mut() {
            for handle in handles {
                queue.batcher.release(handle);
            }
        }
        self.start_all_calls(relay);
    }

    /// Expires work that can't meet its deadline, requeues the pieces of overdue calls and starts
    /// new calls.
    pub(crate) fn tick(&self, relay: &Arc<Relay>) {
        let now_ms = relay.now_ms();
        for (service, queue) in lock(&self.queues).iter_mut() {
            queue.batcher.requeue_overdue(now_ms);
            let available = match queue.batcher.waiting() {
                0 => 0,
                _ => available_upstreams(relay, service, now_ms).len(),
            };
            let settled = queue.batcher.expire(available, now_ms);
            queue.deliver(relay, settled);
            let upstreams = relay.upstreams();
            queue.batcher.retain_upstreams(|it| upstreams.get(it).is_some());
            queue.log.write_if_due(&mut queue.batcher, service, available, now_ms);
        }
        self.start_all_calls(relay);
    }

    /// Starts as many calls as the upstreams of all services accept.
    pub(crate) fn start_all_calls(&self, relay: &Arc<Relay>) {
        let services: Vec<Arc<str>> = lock(&self.queues)
            .iter()
            .filter(|(_, it)| it.batcher.waiting() > 0)
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            self.start_calls(relay, &service);
        }
    }

    /// Starts as many calls as the upstreams of one service accept.
    fn start_calls(&self, relay: &Arc<Relay>, service: &Arc<str>) {
        if relay.must_wait_for_lists() {
            return;
        }
        let now_ms = relay.now_ms();
        let available = available_upstreams(relay, service, now_ms);
        let mut queues = lock(&self.queues);
        let Some(queue) = queues.get_mut(service) else { return };
        let began = Instant::now();
        while let Some(planned) = queue.batcher.next_call(&available, now_ms) {
            let call = StageCall::new(&queue.batcher, service, planned, now_ms);
            tokio::spawn(make_call(relay.clone(), call));
        }
        queue.log.record_planning(began.elapsed());
    }

    fn cancel(&self, service: &str, group: GroupKey) -> Vec<ResultHandle> {
        let mut queues = lock(&self.queues);
        let Some(queue) = queues.get_mut(service) else { return Vec::new() };
        queue.waiters.remove(&group);
        queue.batcher.cancel(group)
    }

    fn has_local_backlog(&self, service: &str) -> bool {
        lock(&self.queues).get(service).is_some_and(|it| it.batcher.has_backlog())
    }

    /// Releases the inputs that a call has read and that are held by upstreams of services with a
    /// backlog.
    fn release_read_inputs(&self, relay: &Relay, call: &StageCall) {
        let services = self.services();
        let has_backlog = |service: &Arc<str>| {
            let at_owner = relay.peers.has_backlog_at_owner(relay, service);
            at_owner.unwrap_or_else(|| self.has_local_backlog(service))
        };
        let backlogged: Vec<Arc<str>> = services.into_iter().filter(has_backlog).collect();
        if backlogged.is_empty() {
            return;
        }
        let is_holder_backlogged = |handle: &ResultHandle| {
            let Some(holder) = result_holder(handle) else { return false };
            relay.upstreams().service_at(holder).is_some_and(|it| backlogged.contains(it))
        };
        let handles = match lock(&self.queues).get_mut(&call.service) {
            Some(queue) => queue.batcher.release_inputs(call.planned.call, is_holder_backlogged),
            None => return,
        };
        relay.releases.add(handles);
    }

    fn finish(&self, relay: &Arc<Relay>, call: &StageCall, result: CallResult) {
        let now_ms = relay.now_ms();
        {
            let mut queues = lock(&self.queues);
            let Some(queue) = queues.get_mut(&call.service) else { return };
            if let CallResult::Answered(results) = &result {
                relay.rollouts.results.add_all(relay, results);
            }
            let settled = queue.batcher.finish(call.planned.call, result, now_ms);
            queue.deliver(relay, settled);
        }
        self.start_calls(relay, &call.service);
    }
}

impl Queue {
    /// Passes ended groups to the requests that wait for them, and releases results without a
    /// recipient.
    fn deliver(&mut self, relay: &Relay, settled: Settled) {
        relay.releases.add(settled.unused);
        for (group, end, handles) in settled.ended {
            relay.rollouts.results.deliver(relay, &handles);
            let Some(waiter) = self.waiters.remove(&group) else {
                relay.releases.add(handles);
                continue;
            };
            if let Err((_, handles)) = waiter.send((end, handles)) {
                relay.releases.add(handles);
            }
        }
    }
}

fn available_upstreams(relay: &Relay, service: &str, now_ms: u64) -> Vec<AvailableUpstream> {
    let upstreams = relay.upstreams();
    let mut available = Vec::new();
    for (key, upstream) in upstreams.of_service(service) {
        if upstreams.is_usable(key, now_ms) {
            available
                .push(AvailableUpstream { key, data_centre: upstream.record.data_centre.clone() });
        }
    }
    available
}
