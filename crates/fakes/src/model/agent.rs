//! Simulated agent: wraps the capacity limit and queue of the core, or a plain FIFO baseline.

use std::collections::VecDeque;

use yuccatrail_core::{
    FastMap,
    capacity::{CallEnd, CallKey, Capacity, Probe},
    ids::{AttemptId, Incarnation, RequestId, StageIndex},
    outcome::Reason,
    queue::{CustomerKey, Dropped, EntryKey, Queue, QueueEntry},
    routing::LoadReport,
};

use crate::model::{
    US_PER_MS,
    fleet::{Fleet, PoolSpec},
    sim::Mode,
    upstream::Upstream,
};

/// An attempt as an entry submits it to an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Submission {
    pub(crate) attempt: usize,
    pub(crate) customer: usize,
    pub(crate) deadline_ms: u64,
    pub(crate) estimate_ms: u64,
}

/// An attempt that leaves the queue for the upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dispatch {
    pub(crate) attempt: usize,
    pub(crate) queued_ms: u64,
}

/// Attempts that left the agent without having run, with the reasons.
pub(crate) type NotRun = Vec<(usize, Reason)>;

/// A simulated agent with its upstream.
pub(crate) struct Agent {
    pub(crate) pool: usize,
    pub(crate) data_centre: usize,
    pub(crate) upstream: Upstream,
    pub(crate) draining: bool,
    mode: Mode,
    capacity: Capacity,
    queue: Queue,
    customers: Vec<CustomerKey>,
    /// Attempts in `queue`, by queue key.
    queued_attempts: FastMap<EntryKey, usize>,
    /// Keys in `queue` and `capacity` of the attempts at the upstream.
    dispatched_attempts: FastMap<usize, (EntryKey, CallKey)>,
    /// Queue of the baseline: arrival times in microseconds with the attempts.
    fifo: VecDeque<(u64, usize)>,
    concurrency: u32,
    max_queued: usize,
}

impl Agent {
    pub(crate) fn new(
        mode: Mode,
        pool: usize,
        data_centre: usize,
        spec: &PoolSpec,
        fleet: &Fleet,
    ) -> Self {
        let mut queue = Queue::new(spec.max_queued);
        let customers =
            fleet.customers.iter().map(|it| queue.register_customer(it.name, it.share)).collect();
        Self {
            pool,
            data_centre,
            upstream: Upstream::new(),
            draining: false,
            mode,
            capacity: Capacity::new(spec.limits),
            queue,
            customers,
            queued_attempts: FastMap::default(),
            dispatched_attempts: FastMap::default(),
            fifo: VecDeque::new(),
            concurrency: spec.limits.concurrency,
            max_queued: spec.max_queued as usize,
        }
    }

    pub(crate) fn load(&self) -> LoadReport {
        let running = self.upstream.running.len() as u32;
        let draining = self.draining;
        if self.mode == Mode::Baseline {
            let queued = self.fifo.len() as u32;
            let limit = self.concurrency;
            return LoadReport {
                running,
                queued,
                limit,
                projected_limit: limit,
                cold: false,
                draining,
            };
        }
        let queued = self.queue.queued();
        let limit = self.capacity.limit();
        let projected_limit = self.capacity.projected_limit();
        LoadReport {
            running,
            queued,
            limit,
            projected_limit,
            cold: self.capacity.is_cold(),
            draining,
        }
    }

    /// Queues an attempt; returns the attempt that was evicted to make room, if any.
    pub(crate) fn push(&mut self, now_us: u64, it: Submission) -> Result<NotRun, Reason> {
        if self.draining {
            return Err(Reason::DataCentreOut);
        }
        if self.mode == Mode::Baseline {
            if self.fifo.len() >= self.max_queued {
                return Err(Reason::Busy);
            }
            self.fifo.push_back((now_us, it.attempt));
            return Ok(Vec::new());
        }

        let entry = QueueEntry {
            attempt: attempt_id(it.attempt),
            customer: self.customers[it.customer],
            deadline_ms: it.deadline_ms,
            dispatch_by_ms: it.deadline_ms,
            estimate_ms: it.estimate_ms,
            exclusive: false,
        };
        let pushed = self.queue.push(now_us / US_PER_MS, entry)?;
        self.queued_attempts.insert(pushed.key, it.attempt);
        Ok(self.remove_dropped(pushed.evicted.as_slice()))
    }

    /// Drops queued attempts that can no longer complete by their deadlines.
    pub(crate) fn expire(&mut self, now_us: u64) -> NotRun {
        let dropped = self.queue.expire(now_us / US_PER_MS);
        self.remove_dropped(&dropped)
    }

    pub(crate) fn next_expiry_us(&self) -> Option<u64> {
        self.queue.next_expiry_ms().map(|it| it * US_PER_MS)
    }

    /// Removes and returns all queued attempts.
    pub(crate) fn drain(&mut self) -> NotRun {
        let dropped = self.queue.drain(Reason::DataCentreOut);
        let mut drained = self.remove_dropped(&dropped);
        drained.extend(self.fifo.drain(..).map(|(_, it)| (it, Reason::DataCentreOut)));
        drained
    }

    /// Takes the next attempt from the queue if the concurrency limit allows another call.
    pub(crate) fn next(&mut self, now_us: u64) -> Option<Dispatch> {
        let now_ms = now_us / US_PER_MS;
        if self.mode == Mode::Baseline {
            if self.upstream.running.len() >= self.concurrency as usize {
                return None;
            }
            let (pushed_us, attempt) = self.fifo.pop_front()?;
            return Some(Dispatch { attempt, queued_ms: (now_us - pushed_us) / US_PER_MS });
        }

        self.capacity.on_tick(now_ms);
        if !self.capacity.can_start() {
            return None;
        }
        let next = self.queue.pop(now_ms)?;
        let call = self.capacity.try_start(now_ms, next.entry.estimate_ms);
        let call = call.expect("the limit allows another call");
        let attempt = self
            .queued_attempts
            .remove(&next.key)
            .expect("every queue entry belongs to an attempt");
        self.dispatched_attempts.insert(attempt, (next.key, call));
        Some(Dispatch { attempt, queued_ms: next.queued_ms })
    }

    /// Releases the capacity that a dispatched attempt held.
    pub(crate) fn finish(&mut self, now_us: u64, attempt: usize, end: CallEnd) {
        let Some((entry, call)) = self.dispatched_attempts.remove(&attempt) else { return };
        self.queue.finish(entry);
        self.capacity.finish(now_us / US_PER_MS, call, end);
    }

    /// Removes an attempt from the queue; returns whether it was queued.
    ///
    /// In the baseline it returns false even if the attempt was queued.
    pub(crate) fn remove(&mut self, attempt: usize) -> bool {
        self.fifo.retain(|(_, it)| *it != attempt);
        let key = self.queued_attempts.iter().find(|(_, it)| **it == attempt).map(|(key, _)| *key);
        let Some(key) = key else { return false };
        self.queued_attempts.remove(&key);
        self.queue.remove(key).is_some()
    }

    pub(crate) fn on_reset(&mut self) {
        self.capacity.on_reset();
    }

    pub(crate) fn on_connect_failure(&mut self, now_us: u64) {
        self.capacity.on_connect_failure(now_us / US_PER_MS);
    }

    /// Probes the upstream and passes the result to the capacity limit.
    pub(crate) fn probe(&mut self, now_us: u64) {
        if self.upstream.is_down(now_us) {
            self.on_connect_failure(now_us);
            return;
        }
        self.capacity.on_probe(Probe {
            epoch: self.capacity.epoch(),
            boot_id: Some(self.upstream.boot_id),
            warm: Some(!self.upstream.is_cold(now_us)),
        });
    }

    fn remove_dropped(&mut self, dropped: &[Dropped]) -> NotRun {
        let mut not_run = Vec::new();
        for dropped in dropped {
            let Some(attempt) = self.queued_attempts.remove(&dropped.key) else { continue };
            not_run.push((attempt, dropped.reason));
        }
        not_run
    }
}

fn attempt_id(attempt: usize) -> AttemptId {
    AttemptId {
        request: RequestId(attempt as u128),
        stage: StageIndex(0),
        number: 0,
        entry: Incarnation(0),
    }
}
