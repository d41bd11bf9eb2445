//! Property test of the attempt ledger: no attempt is dispatched twice, and none that was
//! dispatched is reported as `NotRun`.

mod fuzz_support;

use bytes::Bytes;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use yuccatrail_core::{
    attempt::{
        AttemptFailure, AttemptKey, AttemptLedger, AttemptLookup, CancelResult, DispatchCheck,
        LedgerLimits, Progress, SubmitResult,
    },
    ids::{AttemptId, Incarnation, RequestId, StageIndex},
    outcome::{Execution, Reason, Refusal, Usage},
    sabotage::Sabotage,
};

const LIMITS: LedgerLimits = LedgerLimits {
    retention_ms: 30,
    dispatch_window_ms: 50,
    max_records: 5,
    max_ended_output_bytes: usize::MAX,
};
const ATTEMPTS: usize = 7;
const MAX_STEPS: usize = 80;
const MAX_PAGE_BYTES: usize = 2;
const CASES: u32 = 4000;

#[derive(Clone, Debug)]
enum Step {
    /// Submits the attempt; its first submit or cancel sets its dispatch limit.
    Submit {
        attempt: usize,
        limit_in_ms: u64,
    },
    Cancel {
        attempt: usize,
        limit_in_ms: u64,
    },
    Dispatch {
        attempt: usize,
    },
    Refuse {
        attempt: usize,
    },
    Push {
        attempt: usize,
    },
    End {
        attempt: usize,
        completes: bool,
    },
    Read {
        attempt: usize,
        from: u64,
    },
    Evict,
    Advance {
        ms: u64,
    },
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let attempt = 0..ATTEMPTS;
        let created = (attempt.clone(), 0..60u64);
        prop_oneof![
            6 => created.clone().prop_map(|(attempt, limit_in_ms)| Step::Submit {
                attempt,
                limit_in_ms,
            }),
            2 => created.prop_map(|(attempt, limit_in_ms)| Step::Cancel {
                attempt,
                limit_in_ms,
            }),
            5 => attempt.clone().prop_map(|attempt| Step::Dispatch { attempt }),
            1 => attempt.clone().prop_map(|attempt| Step::Refuse { attempt }),
            2 => attempt.clone().prop_map(|attempt| Step::Push { attempt }),
            3 => (attempt.clone(), any::<bool>())
                .prop_map(|(attempt, completes)| Step::End { attempt, completes }),
            3 => (attempt, 0..4u64).prop_map(|(attempt, from)| Step::Read { attempt, from }),
            3 => Just(Step::Evict),
            4 => (0..40u64).prop_map(|ms| Step::Advance { ms }),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Step) {}
}

/// History of one attempt, as observed from outside the ledger.
#[derive(Clone, Debug, Default)]
struct Observed {
    dispatch_by_ms: Option<u64>,
    keys: Vec<AttemptKey>,
    dispatches: u32,
    pushed: u64,
    ended_ms: Option<u64>,
    reported_not_run: bool,
}

struct Simulation {
    ledger: AttemptLedger,
    observed: Vec<Observed>,
    now_ms: u64,
}

fn id(attempt: usize) -> AttemptId {
    let (request, entry) = (RequestId(attempt as u128), Incarnation(1));
    AttemptId { request, stage: StageIndex(0), number: 0, entry }
}

/// Content of a chunk, which encodes the attempt and the sequence number.
fn chunk(attempt: usize, sequence: u64) -> Bytes {
    Bytes::from(vec![attempt as u8, sequence as u8])
}

impl Simulation {
    fn new(sabotage: Option<Sabotage>) -> Self {
        let ledger = fuzz_support::construct!(sabotage, AttemptLedger(LIMITS));
        Self { ledger, observed: vec![Observed::default(); ATTEMPTS], now_ms: 0 }
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        let now_ms = self.now_ms;
        match *step {
            Step::Submit { attempt, limit_in_ms } => self.submit(attempt, limit_in_ms)?,
            Step::Cancel { attempt, limit_in_ms } => {
                let limit_ms = self.limit_ms(attempt, limit_in_ms);
                match self.ledger.cancel(id(attempt), limit_ms, now_ms) {
                    CancelResult::NotRun(_) => self.check_not_run(attempt)?,
                    CancelResult::Unknown => self.check_unknown(attempt)?,
                    CancelResult::Running(_) | CancelResult::Ended(_) => {}
                }
            }
            Step::Dispatch { attempt } => self.dispatch(attempt)?,
            Step::Refuse { attempt } => {
                let busy = Refusal::not_run(Reason::Busy, 0);
                for key in self.observed[attempt].keys.clone() {
                    if self.ledger.refuse(key, busy, now_ms) {
                        self.check_not_run(attempt)?;
                    }
                }
            }
            Step::Push { attempt } => {
                let observed = &mut self.observed[attempt];
                for &key in &observed.keys {
                    if self.ledger.push_chunk(key, chunk(attempt, observed.pushed)) {
                        observed.pushed += 1;
                    }
                }
            }
            Step::End { attempt, completes } => self.end(attempt, completes),
            Step::Read { attempt, from } => self.read(attempt, from)?,
            Step::Evict => self.ledger.evict(now_ms),
            Step::Advance { ms } => self.now_ms += ms,
        }
        if self.ledger.len() > LIMITS.max_records {
            return Err(format!("{} records exceed the limit", self.ledger.len()));
        }
        Ok(())
    }

    fn limit_ms(&mut self, attempt: usize, within_ms: u64) -> u64 {
        *self.observed[attempt].dispatch_by_ms.get_or_insert(self.now_ms + within_ms)
    }

    fn submit(&mut self, attempt: usize, limit_in_ms: u64) -> Result<(), String> {
        let is_new = self.observed[attempt].dispatch_by_ms.is_none();
        let has_capacity = self.ledger.len() < LIMITS.max_records;
        let limit_ms = self.limit_ms(attempt, limit_in_ms);
        let result = self.ledger.submit(id(attempt), limit_ms, self.now_ms);
        let is_queued = matches!(result, SubmitResult::Queued(_));
        if is_new && has_capacity && limit_in_ms <= LIMITS.dispatch_window_ms && !is_queued {
            return Err(format!("new attempt {attempt} was not queued: {result:?}"));
        }
        match result {
            SubmitResult::Queued(key) => self.observed[attempt].keys.push(key),
            SubmitResult::NotRun(_) => self.check_not_run(attempt)?,
            SubmitResult::Unknown => self.check_unknown(attempt)?,
            SubmitResult::Duplicate(_) => {}
        }
        Ok(())
    }

    fn dispatch(&mut self, attempt: usize) -> Result<(), String> {
        for key in self.observed[attempt].keys.clone() {
            match self.ledger.begin_dispatch(key, self.now_ms) {
                DispatchCheck::Dispatch => self.on_dispatch(attempt)?,
                DispatchCheck::NotRun(_) => self.check_not_run(attempt)?,
                DispatchCheck::AlreadyDispatched => {}
            }
        }
        Ok(())
    }

    fn on_dispatch(&mut self, attempt: usize) -> Result<(), String> {
        let observed = &mut self.observed[attempt];
        observed.dispatches += 1;
        if observed.dispatches > 1 {
            return Err(format!("attempt {attempt} was dispatched twice"));
        }
        if observed.reported_not_run {
            return Err(format!(
                "attempt {attempt} was dispatched after it was reported as not run"
            ));
        }
        if observed.dispatch_by_ms.is_none_or(|it| self.now_ms > it) {
            return Err(format!("attempt {attempt} was dispatched after its dispatch limit"));
        }
        Ok(())
    }

    fn end(&mut self, attempt: usize, completes: bool) {
        let usage = Usage::default();
        let failure = AttemptFailure {
            reason: Reason::UpstreamLost,
            execution: Execution::Unknown,
            status: None,
            usage,
        };
        for key in self.observed[attempt].keys.clone() {
            let ended = if completes {
                self.ledger.complete(key, 200, None, usage, self.now_ms)
            } else {
                self.ledger.fail(key, failure.clone(), self.now_ms)
            };
            if ended {
                self.observed[attempt].ended_ms = Some(self.now_ms);
            }
        }
    }

    fn read(&mut self, attempt: usize, from: u64) -> Result<(), String> {
        let page = match self.ledger.read(id(attempt), from, MAX_PAGE_BYTES) {
            AttemptLookup::Accepted(page) => page,
            AttemptLookup::NotRun(_) => return self.check_not_run(attempt),
            AttemptLookup::Unknown => return self.check_unknown(attempt),
        };
        let observed = &self.observed[attempt];
        let mut sequence = page.first_sequence;
        for found in &page.chunks {
            if *found != chunk(attempt, sequence) {
                return Err(format!(
                    "attempt {attempt} returned wrong content for chunk {sequence}"
                ));
            }
            sequence += 1;
        }
        let has_ended = matches!(page.progress, Progress::Completed(_) | Progress::Failed(_));
        if has_ended && (observed.ended_ms.is_none() || sequence != observed.pushed) {
            return Err(format!("attempt {attempt} was reported as ended too early: {page:?}"));
        }
        Ok(())
    }

    fn check_not_run(&mut self, attempt: usize) -> Result<(), String> {
        let observed = &mut self.observed[attempt];
        observed.reported_not_run = true;
        if observed.dispatches > 0 {
            return Err(format!("attempt {attempt} was dispatched and reported as not run"));
        }
        Ok(())
    }

    /// Checks that a dispatched attempt is reported as unknown only after its retention has ended.
    fn check_unknown(&self, attempt: usize) -> Result<(), String> {
        let observed = &self.observed[attempt];
        let end_ms =
            observed.ended_ms.unwrap_or(u64::MAX).max(observed.dispatch_by_ms.unwrap_or(0));
        if observed.dispatches > 0 && self.now_ms <= end_ms.saturating_add(LIMITS.retention_ms) {
            return Err(format!(
                "attempt {attempt} was reported as unknown before its retention ended"
            ));
        }
        Ok(())
    }

    /// Ends every attempt and checks that all records are evicted.
    fn drain(&mut self) -> Result<(), String> {
        for attempt in 0..ATTEMPTS {
            self.dispatch(attempt)?;
            self.end(attempt, true);
        }
        self.ledger.evict(self.now_ms + 1000);
        if self.ledger.is_empty() {
            Ok(())
        } else {
            Err("records remain after their retention".to_owned())
        }
    }
}

fn fuzz(sabotage: Option<Sabotage>) -> Result<(), String> {
    fuzz_support::run::<Steps>(CASES, MAX_STEPS, |steps| {
        let mut simulation = Simulation::new(sabotage);
        steps.iter().try_for_each(|it| simulation.step(it))?;
        simulation.drain()
    })
}

#[test]
fn attempts_are_dispatched_at_most_once_and_not_run_is_never_reported_falsely() {
    fuzz(None).unwrap();
}

#[cfg(feature = "sabotage")]
#[test]
fn each_disabled_mechanism_is_detected() {
    for sabotage in [
        Sabotage::Tombstone,
        Sabotage::TombstoneRetention,
        Sabotage::DeduplicateSubmits,
        Sabotage::DispatchLimit,
        Sabotage::UnknownAfterEviction,
    ] {
        fuzz_support::assert_detected(sabotage, fuzz(Some(sabotage)));
    }
}
