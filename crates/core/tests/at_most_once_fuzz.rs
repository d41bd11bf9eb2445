//! Property test of the claim flow: copies of one call at several entries with a faulty platform.

mod fuzz_support;

use bytes::Bytes;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use yuccatrail_core::{
    at_most_once::{
        CallResponse, ClaimAction, ClaimEvent, ClaimFlow, ClaimRecord, ClaimReply, ClaimRequest,
        ClaimState, ClaimToken, DispatchPermission, DispatchResult, RecordedBody, claim_name,
    },
    ids::{Digest, Incarnation},
    outcome::{Execution, Reason},
    sabotage::Sabotage,
};

const DISPATCH_WITHIN_MS: u64 = 40;
const DEADLINE_WITHIN_MS: u64 = 60;
const MAX_STEPS: usize = 60;
const MAX_COPIES: usize = 4;
const MAX_COMPLETION_ROUNDS: usize = 200;
const CASES: u32 = 8000;

#[derive(Clone, Debug)]
enum Step {
    Send { only_copy: bool, other_body: bool },
    Platform { copy: usize, fault: Fault },
    ApplyLateWrite { write: usize },
    Submit { copy: usize },
    Run { copy: usize },
    Report { copy: usize, report: Report },
    Tick { copy: usize },
    Advance { ms: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A create that conflicts does not return the existing claim.
    WithoutRecord,
    /// The write has no effect and its result is unknown.
    RequestLost,
    /// The write takes effect and its result is unknown.
    ResponseLost,
    /// The write takes effect later, if at all, and its result is unknown.
    ResponseLostAndLate,
    Unavailable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Report {
    Completed,
    Failed,
    Lost,
    NotRun { try_again: bool },
    DuplicateNotRun,
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let fault = prop_oneof![
            5 => Just(Fault::None),
            1 => Just(Fault::WithoutRecord),
            1 => Just(Fault::RequestLost),
            2 => Just(Fault::ResponseLost),
            2 => Just(Fault::ResponseLostAndLate),
            1 => Just(Fault::Unavailable),
        ];
        let report = prop_oneof![
            Just(Report::Completed),
            Just(Report::Failed),
            Just(Report::Lost),
            any::<bool>().prop_map(|try_again| Report::NotRun { try_again }),
            Just(Report::DuplicateNotRun),
        ];
        let copy = 0..MAX_COPIES;
        prop_oneof![
            3 => (any::<bool>(), prop::bool::weighted(0.1))
                .prop_map(|(only_copy, other_body)| Step::Send { only_copy, other_body }),
            8 => (copy.clone(), fault).prop_map(|(copy, fault)| Step::Platform { copy, fault }),
            2 => (0..4usize).prop_map(|write| Step::ApplyLateWrite { write }),
            3 => copy.clone().prop_map(|copy| Step::Submit { copy }),
            3 => copy.clone().prop_map(|copy| Step::Run { copy }),
            3 => (copy.clone(), report).prop_map(|(copy, report)| Step::Report { copy, report }),
            2 => copy.prop_map(|copy| Step::Tick { copy }),
            2 => (0..50u64).prop_map(|ms| Step::Advance { ms }),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Step) {}
}

/// An attempt at an agent.
struct Attempt {
    number: u16,
    dispatch_by_ms: u64,
    state: AttemptState,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    Queued,
    Ran,
    NotRun,
}

/// One copy of the call, each at an entry of its own.
struct Copy {
    flow: ClaimFlow,
    other_body: bool,
    only_copy: bool,
    call: Option<ClaimAction>,
    permission: Option<DispatchPermission>,
    attempts: Vec<Attempt>,
    not_run_reports: Vec<u16>,
    reply: Option<ClaimReply>,
}

struct Simulation {
    sabotage: Option<Sabotage>,
    claim: Option<(ClaimRecord, u64)>,
    late_writes: Vec<ClaimAction>,
    copies: Vec<Copy>,
    now_ms: u64,
    runs: u32,
    /// Whether the call that ran had the alternative body.
    ran_other_body: bool,
}

fn response() -> CallResponse {
    let body = RecordedBody::Whole(Bytes::from_static(b"booked"));
    CallResponse { status: 201, content_type: None, body }
}

fn not_run(number: u16, try_again: bool) -> ClaimEvent {
    let result = DispatchResult::NotRun { reason: Reason::Busy, retry_after_ms: 1, try_again };
    ClaimEvent::Dispatch { number, result }
}

fn is_not_run(reply: &ClaimReply) -> bool {
    matches!(reply, ClaimReply::Refused(it) if it.execution == Execution::NotRun)
}

impl Simulation {
    fn new(sabotage: Option<Sabotage>) -> Self {
        let (claim, late_writes, copies) = (None, Vec::new(), Vec::new());
        let (now_ms, runs, ran_other_body) = (0, 0, false);
        Self { sabotage, claim, late_writes, copies, now_ms, runs, ran_other_body }
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        let copies = self.copies.len().max(1);
        match *step {
            Step::Send { only_copy, other_body } => return self.send(only_copy, other_body),
            Step::ApplyLateWrite { write } if write < self.late_writes.len() => {
                let write = self.late_writes.remove(write);
                self.write(&write);
            }
            Step::Advance { ms } => self.now_ms += ms,
            _ if self.copies.is_empty() => {}
            Step::Platform { copy, fault } => return self.platform(copy % copies, fault),
            Step::Submit { copy } => return self.submit(copy % copies),
            Step::Run { copy } => return self.run(copy % copies),
            Step::Report { copy, report } => return self.report(copy % copies, report),
            Step::Tick { copy } => return self.handle(copy % copies, ClaimEvent::Tick),
            Step::ApplyLateWrite { .. } => {}
        }
        Ok(())
    }

    fn send(&mut self, only_copy: bool, other_body: bool) -> Result<(), String> {
        let is_only_copy_pending = self.copies.iter().any(|it| it.only_copy && it.reply.is_none());
        if is_only_copy_pending || self.copies.len() == MAX_COPIES {
            return Ok(());
        }
        let only_copy = only_copy && self.copies.is_empty();
        let request = ClaimRequest {
            name: claim_name("customer", "fees", "key"),
            token: ClaimToken(self.copies.len() as u128),
            claimant: Incarnation(self.copies.len() as u64),
            fingerprint: Digest([u8::from(other_body); 32]),
            only_copy,
            dispatch_by_ms: self.now_ms + DISPATCH_WITHIN_MS,
            deadline_ms: self.now_ms + DEADLINE_WITHIN_MS,
            retry_after_ms: 1,
        };
        self.copies.push(Copy {
            flow: fuzz_support::construct!(self.sabotage, ClaimFlow(request)),
            other_body,
            only_copy,
            call: None,
            permission: None,
            attempts: Vec::new(),
            not_run_reports: Vec::new(),
            reply: None,
        });
        self.handle(self.copies.len() - 1, ClaimEvent::Start)
    }

    fn handle(&mut self, copy: usize, event: ClaimEvent) -> Result<(), String> {
        for action in self.copies[copy].flow.handle(event, self.now_ms) {
            match action {
                ClaimAction::Dispatch(permission) => {
                    self.copies[copy].permission = Some(permission)
                }
                ClaimAction::Reply(reply) => self.check_reply(copy, reply)?,
                call => self.copies[copy].call = Some(call),
            }
        }
        Ok(())
    }

    fn platform(&mut self, copy: usize, fault: Fault) -> Result<(), String> {
        let Some(call) = self.copies[copy].call.take() else { return Ok(()) };
        let is_read = matches!(call, ClaimAction::ReadClaim { .. });
        let event = match (fault, is_read) {
            (Fault::None, false) => self.write(&call),
            (Fault::WithoutRecord, false) => match self.write(&call) {
                ClaimEvent::Exists { .. } => ClaimEvent::Conflict,
                event => event,
            },
            (Fault::None | Fault::WithoutRecord, true) => match self.claim.clone() {
                Some((record, version)) => ClaimEvent::Found { record, version },
                None => ClaimEvent::Absent,
            },
            (_, true) => ClaimEvent::ReadUnavailable,
            (Fault::Unavailable, false) => ClaimEvent::WriteUnavailable,
            (Fault::RequestLost, false) => ClaimEvent::WriteLost,
            (Fault::ResponseLost, false) => {
                self.write(&call);
                ClaimEvent::WriteLost
            }
            (Fault::ResponseLostAndLate, false) => {
                self.late_writes.push(call);
                ClaimEvent::WriteLost
            }
        };
        self.handle(copy, event)
    }

    fn write(&mut self, call: &ClaimAction) -> ClaimEvent {
        let (record, version) = match (call, &self.claim) {
            (ClaimAction::CreateClaim { record, .. }, None) => (record, 1),
            (ClaimAction::CreateClaim { .. }, Some((record, version))) => {
                return ClaimEvent::Exists { record: record.clone(), version: *version };
            }
            (ClaimAction::UpdateClaim { record, expected_version, .. }, Some((_, version)))
                if expected_version == version =>
            {
                (record, version + 1)
            }
            _ => return ClaimEvent::Conflict,
        };
        self.claim = Some((record.clone(), version));
        ClaimEvent::Written { version }
    }

    fn submit(&mut self, copy: usize) -> Result<(), String> {
        let Some(permission) = self.copies[copy].permission.take() else { return Ok(()) };
        let number = permission.number();
        let Some(dispatch_by_ms) = permission.redeem(self.now_ms) else {
            return self.handle(copy, not_run(number, true));
        };
        if self.now_ms > dispatch_by_ms {
            return Err(format!("copy {copy} was submitted after its dispatch limit"));
        }
        let state = AttemptState::Queued;
        self.copies[copy].attempts.push(Attempt { number, dispatch_by_ms, state });
        Ok(())
    }

    fn run(&mut self, copy: usize) -> Result<(), String> {
        let now_ms = self.now_ms;
        let copy = &mut self.copies[copy];
        let Some(attempt) = copy.attempts.last_mut() else { return Ok(()) };
        if attempt.state != AttemptState::Queued || now_ms > attempt.dispatch_by_ms {
            return Ok(());
        }
        attempt.state = AttemptState::Ran;
        self.runs += 1;
        self.ran_other_body = copy.other_body;
        if self.runs > 1 {
            return Err("the call ran twice".to_owned());
        }
        if copy.reply.as_ref().is_some_and(is_not_run) {
            return Err("the call ran after it was refused as not run".to_owned());
        }
        Ok(())
    }

    fn report(&mut self, copy: usize, report: Report) -> Result<(), String> {
        let Copy { attempts, not_run_reports, .. } = &mut self.copies[copy];
        let Some(attempt) = attempts.last_mut() else { return Ok(()) };
        let number = attempt.number;
        let reason = Reason::UpstreamError;
        let result = match (report, attempt.state) {
            (Report::Completed, AttemptState::Ran) => DispatchResult::Completed(response()),
            (Report::Failed, AttemptState::Ran) => DispatchResult::Failed { reason },
            (Report::Lost, _) => DispatchResult::Lost { reason },
            (Report::NotRun { try_again }, AttemptState::Queued) => {
                attempt.state = AttemptState::NotRun;
                not_run_reports.push(number);
                return self.handle(copy, not_run(number, try_again));
            }
            (Report::DuplicateNotRun, _) => {
                let Some(&number) = not_run_reports.first() else { return Ok(()) };
                return self.handle(copy, not_run(number, false));
            }
            _ => return Ok(()),
        };
        self.handle(copy, ClaimEvent::Dispatch { number, result })
    }

    fn check_reply(&mut self, copy: usize, reply: ClaimReply) -> Result<(), String> {
        let other_body = self.copies[copy].other_body;
        let ran = self.runs == 1 && self.ran_other_body == other_body;
        let is_true = match &reply {
            ClaimReply::Response(given) => ran && *given == response(),
            ClaimReply::KeyReused => self.copies.iter().any(|it| it.other_body != other_body),
            ClaimReply::Refused(refusal) => match refusal.execution {
                Execution::NotRun => self.runs == 0,
                Execution::Failed => ran,
                Execution::Unknown => true,
            },
        };
        if !is_true {
            return Err(format!(
                "incorrect reply to copy {copy} after {} runs: {reply:?}",
                self.runs
            ));
        }
        if self.copies[copy].reply.replace(reply).is_some() {
            return Err(format!("copy {copy} got two replies"));
        }
        Ok(())
    }

    /// Runs every flow to its end without further faults, then checks that a key whose call never
    /// ran is released.
    fn run_to_completion(&mut self) -> Result<(), String> {
        for _ in 0..MAX_COMPLETION_ROUNDS {
            let mut next_tick_ms = u64::MAX;
            for copy in 0..self.copies.len() {
                self.platform(copy, Fault::None)?;
                self.submit(copy)?;
                self.report(copy, Report::Completed)?;
                self.report(copy, Report::NotRun { try_again: false })?;
                let is_idle = self.copies[copy].call.is_none();
                let tick_ms = self.copies[copy].flow.next_tick_ms().filter(|_| is_idle);
                next_tick_ms = next_tick_ms.min(tick_ms.unwrap_or(u64::MAX));
            }
            if self.copies.iter().all(|it| it.flow.is_finished()) {
                for write in std::mem::take(&mut self.late_writes) {
                    self.write(&write);
                }
                return self.check_end();
            }
            if next_tick_ms == u64::MAX {
                continue;
            }
            self.now_ms = self.now_ms.max(next_tick_ms);
            for copy in 0..self.copies.len() {
                self.handle(copy, ClaimEvent::Tick)?;
            }
        }
        Err("a flow did not finish".to_owned())
    }

    fn check_end(&self) -> Result<(), String> {
        if let Some(copy) = self.copies.iter().position(|it| it.reply.is_none()) {
            return Err(format!("copy {copy} got no reply"));
        }
        let is_claimed = self.claim.as_ref().is_some_and(|it| it.0.state == ClaimState::Claimed);
        if self.runs == 0 && is_claimed {
            return Err("the call never ran but its key stayed claimed".to_owned());
        }
        Ok(())
    }
}

fn fuzz(sabotage: Option<Sabotage>, completes: bool) -> Result<(), String> {
    fuzz_support::run::<Steps>(CASES, MAX_STEPS, |steps| {
        let mut simulation = Simulation::new(sabotage);
        steps.iter().try_for_each(|it| simulation.step(it))?;
        if completes { simulation.run_to_completion() } else { Ok(()) }
    })
}

#[test]
fn call_runs_at_most_once_and_every_reply_is_correct() {
    fuzz(None, true).unwrap();
}

#[cfg(feature = "sabotage")]
#[test]
fn each_disabled_mechanism_is_detected() {
    for sabotage in [
        Sabotage::ReadBack,
        Sabotage::TokenComparison,
        Sabotage::ConditionalUpdate,
        Sabotage::ReleaseOnlyConfirmed,
        Sabotage::ForeignClaimUnknown,
        Sabotage::UnconfirmedClaimUnknown,
        Sabotage::DispatchNumber,
        Sabotage::DispatchPermission,
    ] {
        fuzz_support::assert_detected(sabotage, fuzz(Some(sabotage), false));
    }
    let sabotage = Sabotage::ReleaseUnconfirmed;
    fuzz_support::assert_detected(sabotage, fuzz(Some(sabotage), true));
}
