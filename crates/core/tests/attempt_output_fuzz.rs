//! Property tests of output reassembly and of the retry budget.

mod fuzz_support;

use bytes::Bytes;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use yuccatrail_core::{
    attempt::{Completion, OutputAssembler, OutputPage, PageResult, Progress, RetryBudget},
    ids::{AttemptId, Incarnation, RequestId, StageIndex},
    outcome::Usage,
    sabotage::Sabotage,
};

const CHUNKS: u64 = 8;
const AGENT: Incarnation = Incarnation(1);
const ATTEMPT: AttemptId =
    AttemptId { request: RequestId(1), stage: StageIndex(0), number: 0, entry: Incarnation(2) };
const RETRIES_PER_HUNDRED: u32 = 20;
const RESERVE: u32 = 3;
const STAGES: usize = 40;
const MAX_STEPS: usize = 120;
const CASES: u32 = 1000;

/// A page that arrives from some agent incarnation for some attempt, possibly late or repeated.
#[derive(Clone, Debug)]
struct PageStep {
    from: u64,
    to: u64,
    completes: bool,
    origin: Origin,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    Live,
    OtherRequest,
    OtherStage,
    OtherNumber,
    OtherEntry,
    OtherAgent,
}

struct Pages;

impl ReferenceStateMachine for Pages {
    type State = ();
    type Transition = PageStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<PageStep> {
        let origin = prop_oneof![
            8 => Just(Origin::Live),
            1 => Just(Origin::OtherRequest),
            1 => Just(Origin::OtherStage),
            1 => Just(Origin::OtherNumber),
            1 => Just(Origin::OtherEntry),
            1 => Just(Origin::OtherAgent),
        ];
        (0..=CHUNKS, 0..=CHUNKS, any::<bool>(), origin)
            .prop_map(|(a, b, completes, origin)| PageStep {
                from: a.min(b),
                to: a.max(b),
                completes,
                origin,
            })
            .boxed()
    }

    fn apply(_: (), _: &PageStep) {}
}

fn identity(origin: Origin) -> (AttemptId, Incarnation) {
    let mut attempt = ATTEMPT;
    let mut agent = AGENT;
    match origin {
        Origin::Live => {}
        Origin::OtherRequest => attempt.request = RequestId(9),
        Origin::OtherStage => attempt.stage = StageIndex(9),
        Origin::OtherNumber => attempt.number = 9,
        Origin::OtherEntry => attempt.entry = Incarnation(9),
        Origin::OtherAgent => agent = Incarnation(9),
    }
    (attempt, agent)
}

fn page(step: &PageStep) -> OutputPage {
    let content = if step.origin == Origin::Live { b'a' } else { b'x' };
    let chunks = (step.from..step.to).map(|it| Bytes::from(vec![content, it as u8])).collect();
    let completion = Completion {
        status: 200,
        content_type: None,
        chunk_count: CHUNKS,
        usage: Usage::default(),
    };
    let progress = if step.completes { Progress::Completed(completion) } else { Progress::Running };
    OutputPage { first_sequence: step.from, chunks, progress }
}

fn check_reassembly(steps: &[PageStep], sabotage: Option<Sabotage>) -> Result<(), String> {
    let mut output = fuzz_support::construct!(sabotage, OutputAssembler(ATTEMPT, AGENT));
    let mut released = 0;
    let mut completed = false;
    let mut mismatched_pages = 0;
    let all_chunks = PageStep { from: 0, to: CHUNKS, completes: true, origin: Origin::Live };
    for step in steps.iter().chain([&all_chunks]) {
        let (attempt, agent) = identity(step.origin);
        let result = output.receive_page(attempt, agent, page(step));
        let is_live = step.origin == Origin::Live;
        completed |= is_live && step.completes;
        mismatched_pages += u64::from(!is_live);
        match result {
            PageResult::Released(chunks) => {
                for chunk in chunks {
                    if chunk != [b'a', released as u8][..] {
                        return Err(format!("released {chunk:?} as chunk {released}"));
                    }
                    released += 1;
                }
            }
            PageResult::Mismatched if !is_live => {}
            result => return Err(format!("{step:?} gave {result:?}")),
        }
        if output.next_sequence() != released {
            return Err(format!(
                "next sequence is {} after {released} released chunks",
                output.next_sequence()
            ));
        }
        if output.completed().is_some() != (completed && released == CHUNKS) {
            return Err(format!("wrong completion state after {released} chunks"));
        }
    }
    if output.mismatched_pages() != mismatched_pages || released != CHUNKS {
        return Err("not all chunks were released or mismatched pages were miscounted".to_owned());
    }
    Ok(())
}

fn fuzz_pages(sabotage: Option<Sabotage>) -> Result<(), String> {
    fuzz_support::run::<Pages>(CASES, MAX_STEPS, |steps| check_reassembly(steps, sabotage))
}

/// An event of one stage; the first event starts the stage.
#[derive(Clone, Debug)]
enum RetryStep {
    Retry { stage: usize },
    Complete { stage: usize },
}

struct Retries;

impl ReferenceStateMachine for Retries {
    type State = ();
    type Transition = RetryStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<RetryStep> {
        prop_oneof![
            (0..STAGES).prop_map(|stage| RetryStep::Retry { stage }),
            (0..STAGES).prop_map(|stage| RetryStep::Complete { stage }),
        ]
        .boxed()
    }

    fn apply(_: (), _: &RetryStep) {}
}

fn check_retries(steps: &[RetryStep], sabotage: Option<Sabotage>) -> Result<(), String> {
    let mut budget = fuzz_support::construct!(sabotage, RetryBudget(RETRIES_PER_HUNDRED, RESERVE));
    let mut started = [false; STAGES];
    let mut completed = [false; STAGES];
    let mut retries = 0;
    for step in steps {
        match *step {
            RetryStep::Retry { stage } => {
                started[stage] = true;
                retries += u32::from(budget.try_retry());
            }
            RetryStep::Complete { stage } => {
                started[stage] = true;
                budget.on_completed(!completed[stage]);
                completed[stage] = true;
            }
        }
        let stages = started.iter().filter(|it| **it).count() as u32;
        if retries * 100 > RESERVE * 100 + stages * RETRIES_PER_HUNDRED {
            return Err(format!("{retries} retries for {stages} stages"));
        }
    }
    Ok(())
}

fn fuzz_retries(sabotage: Option<Sabotage>) -> Result<(), String> {
    fuzz_support::run::<Retries>(CASES, MAX_STEPS, |steps| check_retries(steps, sabotage))
}

#[test]
fn each_chunk_is_released_exactly_once_and_in_order() {
    fuzz_pages(None).unwrap();
}

#[test]
fn retries_stay_within_reserve_plus_fraction_of_started_stages() {
    fuzz_retries(None).unwrap();
}

#[cfg(feature = "sabotage")]
#[test]
fn each_disabled_mechanism_is_detected() {
    for sabotage in [Sabotage::ResultMatching, Sabotage::ChunkOrder, Sabotage::ResponseCompleteness]
    {
        fuzz_support::assert_detected(sabotage, fuzz_pages(Some(sabotage)));
    }
    let sabotage = Sabotage::CreditOncePerStage;
    fuzz_support::assert_detected(sabotage, fuzz_retries(Some(sabotage)));
}
