//! Microbenchmarks of the decision logic: processor time and memory in this process, without
//! connections.

use std::{hint::black_box, time::Instant};

use yuccatrail_core::{
    agent::{AgentCore, AgentSettings, CallResult, ProbeResult, Submission},
    control::{ConfigRecord, ControlState, ControlUpdate, OperationsRecord},
    drain::{FreshnessSettings, GateSettings},
    ids::{AttemptId, Digest, Incarnation, RequestId, StageIndex},
    membership::{SubsetSizes, subset},
    routing::{ChoiceContext, LoadReport, PoolView, RandomNumbers, choose},
};

use super::{changes::document_of_size, slope::Slope};
use crate::{measure::usage::Usage, stack::plan::DEMO_DOCUMENT};

/// Numbers of candidates of a routing decision.
const CANDIDATE_COUNTS: [usize; 4] = [8, 32, 128, 512];
/// Number of routing decisions timed for each number of candidates.
const DECISIONS_PER_SIZE: u32 = 5_000;
/// Numbers of upstreams in an assignment.
const UPSTREAM_COUNTS: [usize; 4] = [100, 300, 900, 2_700];
/// Number of entries in an assignment.
const ENTRY_COUNT: usize = 360;
/// Subset sizes of an assignment; the same as in the entry.
const SUBSET_SIZES: SubsetSizes = SubsetSizes { upstreams_per_entry: 8, entries_per_upstream: 3 };
/// Numbers of attempts that an agent remembers while further attempts are timed.
const REMEMBERED_ATTEMPTS: [u32; 4] = [5_000, 10_000, 20_000, 40_000];
/// Number of attempts timed for each number of remembered attempts.
const TIMED_ATTEMPTS: u32 = 2_000;
/// Output size of each attempt, in bytes.
const OUTPUT_BYTES: usize = 256;
/// Sizes of the configuration document, in kilobytes.
const DOCUMENT_SIZES_KB: [usize; 3] = [10, 100, 700];
/// Number of adoptions timed for each document size.
const ADOPTIONS_PER_SIZE: u32 = 5;
/// Number of microseconds in a second.
const US_PER_SECOND: f64 = 1_000_000.0;
/// Incarnation of the measured agent.
const AGENT_INCARNATION: Incarnation = Incarnation(1);

/// Measures the time of a routing decision by number of candidates.
pub fn routing() -> Slope {
    let mut pairs = Vec::new();
    for candidate_count in CANDIDATE_COUNTS {
        let view = pool_view(candidate_count);
        let start = Instant::now();
        for number in 0..DECISIONS_PER_SIZE {
            let random = random_numbers(number);
            let candidates = view.candidates(1_000, None, &[]);
            black_box(choose(&candidates, &ChoiceContext::default(), random)).ok();
        }
        pairs.push((candidate_count as f64, mean_us(start, DECISIONS_PER_SIZE)));
    }
    Slope::new("routing decision", "us", "candidate", &pairs)
}

/// Measures the time to assign upstreams to one entry by number of upstreams.
pub fn assignment() -> Slope {
    let entries: Vec<String> = (0..ENTRY_COUNT).map(|it| format!("entry-{it}")).collect();
    let entry_names: Vec<&str> = entries.iter().map(String::as_str).collect();
    let mut pairs = Vec::new();
    for count in UPSTREAM_COUNTS {
        let upstreams: Vec<String> = (0..count).map(|it| format!("engine-{it}")).collect();
        let upstream_names: Vec<&str> = upstreams.iter().map(String::as_str).collect();
        let start = Instant::now();
        black_box(subset(&entry_names, &upstream_names, "entry-0", SUBSET_SIZES));
        pairs.push((count as f64, mean_us(start, 1)));
    }
    Slope::new("assignment among 360 entries", "us", "upstream", &pairs)
}

/// Measures the time of an attempt in an agent, and the agent's memory, by number of remembered
/// attempts.
pub fn agent_attempts() -> [Slope; 2] {
    let mut times = Vec::new();
    let mut memory = Vec::new();
    let mut retained_cores = Vec::new();
    for remembered in REMEMBERED_ATTEMPTS {
        let before = resident_bytes();
        let mut core = agent_core();
        run_attempts(&mut core, 0, remembered);
        let after = resident_bytes();
        memory.push((f64::from(remembered), after.saturating_sub(before) as f64));
        let start = Instant::now();
        run_attempts(&mut core, remembered, TIMED_ATTEMPTS);
        times.push((f64::from(remembered), mean_us(start, TIMED_ATTEMPTS)));
        // Keeps the memory allocated: freed memory would be reused and hide the growth at the next
        // size.
        retained_cores.push(core);
    }
    drop(retained_cores);
    [
        Slope::new("attempt in the agent's core", "us", "remembered attempt", &times),
        Slope::new("agent's core with 256 B outputs", "bytes", "remembered attempt", &memory),
    ]
}

/// Measures the time to validate and adopt a configuration document by its size.
pub fn adoption() -> Slope {
    let mut pairs = Vec::new();
    for size_kb in DOCUMENT_SIZES_KB {
        let text = document_of_size(size_kb * 1_000);
        let start = Instant::now();
        for version in 1..=ADOPTIONS_PER_SIZE {
            let mut state = ControlState::new();
            state.adopt(control_update(&text, u64::from(version)));
            black_box(&state);
        }
        pairs.push((size_kb as f64, mean_us(start, ADOPTIONS_PER_SIZE)));
    }
    Slope::new("adoption of a document", "us", "kB", &pairs)
}

fn pool_view(candidate_count: usize) -> PoolView {
    let mut view = PoolView::new();
    for number in 0..candidate_count {
        let key = view.add(0, number as u64, number % 2 == 0, 1);
        let load = LoadReport { running: 3, limit: 32, ..LoadReport::default() };
        view.on_reply(500, key, load);
    }
    view
}

fn random_numbers(number: u32) -> RandomNumbers {
    let hash = u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    RandomNumbers { first: hash, second: hash.rotate_left(17), probe: hash.rotate_left(31) }
}

fn agent_core() -> AgentCore {
    let gate = GateSettings {
        upstream: "engine-0".to_owned(),
        data_centre: "north".to_owned(),
        freshness: FreshnessSettings::default(),
    };
    let mut core =
        AgentCore::new(AgentSettings::new(AGENT_INCARNATION, "work-orders".to_owned(), gate), 0);
    let mut control = ControlState::new();
    control.adopt(control_update(DEMO_DOCUMENT, 1));
    core.set_control(&control, 0);
    core.confirm_control(0, 0);
    let ticket = core.begin_probe(0);
    let warm = ProbeResult::Answered { boot_id: Some(1), warm: Some(true) };
    core.on_probe(ticket, warm, 0);
    core
}

/// Runs attempts one after another, each until its whole output is read.
fn run_attempts(core: &mut AgentCore, first: u32, count: u32) {
    for number in first..first + count {
        let now_ms = u64::from(number / 1_000);
        core.confirm_control(now_ms, 0);
        black_box(core.submit(&submission(number), now_ms));
        let Some(dispatch) = core.next(now_ms) else { continue };
        core.push_chunk(dispatch.key, vec![0_u8; OUTPUT_BYTES].into());
        let result = CallResult::Completed { status: 200, content_type: None };
        core.on_end(dispatch.key, &result, now_ms);
        black_box(core.read(dispatch.attempt, 0, OUTPUT_BYTES));
        core.take_changed();
    }
}

fn submission(number: u32) -> Submission {
    let attempt = AttemptId {
        request: RequestId(u128::from(number)),
        stage: StageIndex(0),
        number: 0,
        entry: Incarnation(2),
    };
    Submission {
        attempt,
        agent: AGENT_INCARNATION,
        pool: "work-orders".to_owned(),
        customer: "lone-star".to_owned(),
        fingerprint: Digest::of(&number.to_be_bytes()),
        dispatch_by_ms: 8_000,
        deadline_ms: 8_000,
        estimate_ms: 20,
        strikes: Vec::new(),
    }
}

fn control_update(text: &str, version: u64) -> ControlUpdate {
    let digest = Digest::of(text.as_bytes());
    let config = ConfigRecord { version, digest, text: text.into() };
    ControlUpdate { config: Some(config), operations: Some(OperationsRecord::initial()) }
}

fn mean_us(start: Instant, count: u32) -> f64 {
    start.elapsed().as_secs_f64() * US_PER_SECOND / f64::from(count)
}

fn resident_bytes() -> u64 {
    Usage::read(std::process::id()).map_or(0, |it| it.resident_bytes)
}
