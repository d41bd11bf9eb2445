//! Processor time and memory of the decisions alone, without processes or connections.

use std::{hint::black_box, time::Instant};

use yuccatrail_core::{
    agent::{AgentCore, AgentSettings, CallResult, ProbeResult, Submission},
    control::{ConfigRecord, ControlState, ControlUpdate, OperationsRecord},
    drain::{FreshnessSettings, GateSettings},
    ids::{AttemptId, Digest, Incarnation, RequestId, StageIndex},
    membership::{SubsetSizes, subset},
    routing::{ChoiceContext, LoadReport, PoolView, RandomNumbers, choose},
};

use super::{changes::document_of, slope::Slope};
use crate::{measure::usage::Usage, stack::plan::DEMO_DOCUMENT};

/// Candidates of a routing decision.
const CANDIDATES: [usize; 4] = [8, 32, 128, 512];
/// Routing decisions timed at each size.
const DECISIONS: u32 = 5_000;
/// Upstreams of an assignment.
const ASSIGNED: [usize; 4] = [100, 300, 900, 2_700];
/// Entries of an assignment.
const ASSIGNING_ENTRIES: usize = 360;
/// Bounds of an assignment, as in the entry.
const SUBSET_SIZES: SubsetSizes = SubsetSizes { upstreams_per_entry: 8, entries_per_upstream: 3 };
/// Attempts that an agent remembers when the next ones are timed.
const REMEMBERED: [u32; 4] = [5_000, 10_000, 20_000, 40_000];
/// Attempts timed at each size.
const TIMED_ATTEMPTS: u32 = 2_000;
/// Output of each attempt in bytes.
const OUTPUT_BYTES: usize = 256;
/// Sizes of documents in kilobytes.
const DOCUMENT_KB: [usize; 3] = [10, 100, 700];
/// Documents adopted at each size.
const ADOPTIONS: u32 = 5;
/// Microseconds in a second.
const US_PER_SECOND: f64 = 1_000_000.0;
/// Incarnation of the agent.
const AGENT: Incarnation = Incarnation(1);

/// Time of a routing decision against the number of candidates.
pub fn routing() -> Slope {
    let mut pairs = Vec::new();
    for candidates in CANDIDATES {
        let view = pool_view(candidates);
        let start = Instant::now();
        for number in 0..DECISIONS {
            let random = random_numbers(number);
            let found = view.candidates(1_000, None, &[]);
            black_box(choose(&found, &ChoiceContext::default(), random)).ok();
        }
        pairs.push((candidates as f64, each_us(start, DECISIONS)));
    }
    Slope::new("routing decision", "us", "candidate", &pairs)
}

/// Time to assign upstreams to one entry against the number of upstreams.
pub fn assignment() -> Slope {
    let entries: Vec<String> = (0..ASSIGNING_ENTRIES).map(|it| format!("entry-{it}")).collect();
    let entry_names: Vec<&str> = entries.iter().map(String::as_str).collect();
    let mut pairs = Vec::new();
    for count in ASSIGNED {
        let upstreams: Vec<String> = (0..count).map(|it| format!("engine-{it}")).collect();
        let upstream_names: Vec<&str> = upstreams.iter().map(String::as_str).collect();
        let start = Instant::now();
        black_box(subset(&entry_names, &upstream_names, "entry-0", SUBSET_SIZES));
        pairs.push((count as f64, each_us(start, 1)));
    }
    Slope::new("assignment among 360 entries", "us", "upstream", &pairs)
}

/// Time of an attempt in an agent, and memory, against the number of remembered attempts.
pub fn agent_attempts() -> [Slope; 2] {
    let mut times = Vec::new();
    let mut memory = Vec::new();
    let mut kept = Vec::new();
    for remembered in REMEMBERED {
        let before = resident_bytes();
        let mut core = agent_core();
        run_attempts(&mut core, 0, remembered);
        let after = resident_bytes();
        memory.push((f64::from(remembered), after.saturating_sub(before) as f64));
        let start = Instant::now();
        run_attempts(&mut core, remembered, TIMED_ATTEMPTS);
        times.push((f64::from(remembered), each_us(start, TIMED_ATTEMPTS)));
        // Freed memory would be used again and hide what the next size takes.
        kept.push(core);
    }
    drop(kept);
    [
        Slope::new("attempt in the agent's core", "us", "remembered attempt", &times),
        Slope::new("agent's core with 256 B outputs", "bytes", "remembered attempt", &memory),
    ]
}

/// Time to check and adopt a document against its size.
pub fn adoption() -> Slope {
    let mut pairs = Vec::new();
    for size_kb in DOCUMENT_KB {
        let text = document_of(size_kb * 1_000);
        let start = Instant::now();
        for version in 1..=ADOPTIONS {
            let mut state = ControlState::new();
            state.adopt(update(&text, u64::from(version)));
            black_box(&state);
        }
        pairs.push((size_kb as f64, each_us(start, ADOPTIONS)));
    }
    Slope::new("adoption of a document", "us", "kB", &pairs)
}

fn pool_view(candidates: usize) -> PoolView {
    let mut view = PoolView::new();
    for number in 0..candidates {
        let key = view.add(0, number as u64, number % 2 == 0, 1);
        let load = LoadReport { running: 3, limit: 32, ..LoadReport::default() };
        view.on_reply(500, key, load);
    }
    view
}

fn random_numbers(number: u32) -> RandomNumbers {
    let spread = u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    RandomNumbers { first: spread, second: spread.rotate_left(17), probe: spread.rotate_left(31) }
}

fn agent_core() -> AgentCore {
    let gate = GateSettings {
        upstream: "engine-0".to_owned(),
        data_centre: "north".to_owned(),
        freshness: FreshnessSettings::default(),
    };
    let mut core = AgentCore::new(AgentSettings::new(AGENT, "work-orders".to_owned(), gate), 0);
    let mut control = ControlState::new();
    control.adopt(update(DEMO_DOCUMENT, 1));
    core.set_control(&control, 0);
    core.confirm_control(0, 0);
    let ticket = core.begin_probe(0);
    let warm = ProbeResult::Answered { boot_id: Some(1), warm: Some(true) };
    core.on_probe(ticket, warm, 0);
    core
}

/// Runs attempts one after another, each to its complete output.
fn run_attempts(core: &mut AgentCore, first: u32, count: u32) {
    for number in first..first + count {
        let now_ms = u64::from(number / 1_000);
        core.confirm_control(now_ms, 0);
        black_box(core.submit(&order(number), now_ms));
        let Some(dispatch) = core.next(now_ms) else { continue };
        core.push_chunk(dispatch.key, vec![0_u8; OUTPUT_BYTES].into());
        let result = CallResult::Completed { status: 200, content_type: None };
        core.on_end(dispatch.key, &result, now_ms);
        black_box(core.read(dispatch.attempt, 0, OUTPUT_BYTES));
        core.take_changed();
    }
}

fn order(number: u32) -> Submission {
    let attempt = AttemptId {
        request: RequestId(u128::from(number)),
        stage: StageIndex(0),
        number: 0,
        entry: Incarnation(2),
    };
    Submission {
        attempt,
        agent: AGENT,
        pool: "work-orders".to_owned(),
        customer: "lone-star".to_owned(),
        fingerprint: Digest::of(&number.to_be_bytes()),
        dispatch_by_ms: 8_000,
        deadline_ms: 8_000,
        estimate_ms: 20,
        strikes: Vec::new(),
    }
}

fn update(text: &str, version: u64) -> ControlUpdate {
    let digest = Digest::of(text.as_bytes());
    let config = ConfigRecord { version, digest, text: text.into() };
    ControlUpdate { config: Some(config), operations: Some(OperationsRecord::initial()) }
}

fn each_us(start: Instant, count: u32) -> f64 {
    start.elapsed().as_secs_f64() * US_PER_SECOND / f64::from(count)
}

fn resident_bytes() -> u64 {
    Usage::read(std::process::id()).map_or(0, |it| it.resident_bytes)
}
