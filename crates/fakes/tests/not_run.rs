//! A request that is refused as not run was not run, in random traffic with random faults.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures::future::join_all;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::Value;
use yuccatrail_fakes::{
    stack::{
        caller::{Caller, CallerError, ReceivedResponse},
        expected,
        faults::ReportedOutcome,
        plan::StackPlan,
        process::Signal,
        run::Stack,
    },
    upstream::state::UpstreamSwitches,
};

/// Seed of the calls and of the faults.
const SEED: u64 = 20_261_203;
/// Callers at work at once.
const CALLERS: u64 = 8;
/// Calls of each caller.
const CALLS: usize = 25;
/// Times that a call is sent again while its outcome is unknown.
const RESENDS: usize = 2;
/// Usual duration of a call, in milliseconds.
const CALL_MS: u64 = 20;
/// Longest time between two calls of a caller, in milliseconds.
const MAX_THOUGHT_MS: u64 = 200;
/// Longest pause of an agent, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_000;
/// Longest time between two faults, in milliseconds.
const MAX_CALM_MS: u64 = 200;
/// Deadlines that callers ask for, in milliseconds.
const DEADLINES_MS: [&str; 4] = ["30", "150", "600", "4000"];

/// What a caller was told.
struct Told {
    request: String,
    key: Option<String>,
    verdict: ReportedOutcome,
    reason: String,
}

/// Sends random calls one after the other.
async fn call(caller: Caller, entries: [std::net::SocketAddr; 2], number: u64) -> Vec<Told> {
    let mut random = StdRng::seed_from_u64(SEED + number);
    let mut told = Vec::new();
    for index in 0..CALLS {
        let text = format!("call {number}-{index}");
        tokio::time::sleep(Duration::from_millis(random.random_range(0..MAX_THOUGHT_MS))).await;
        let deadline_ms = DEADLINES_MS[random.random_range(0..DEADLINES_MS.len())];
        let kind = random.random_range(0..5);
        for _ in 0..=RESENDS {
            let entry = entries[random.random_range(0..2)];
            let last = send(&caller, entry, kind, &text, deadline_ms).await;
            let ends = last.verdict != ReportedOutcome::Unknown;
            told.push(last);
            if ends {
                break;
            }
        }
    }
    told
}

async fn send(
    caller: &Caller,
    entry: std::net::SocketAddr,
    kind: u32,
    text: &str,
    deadline_ms: &str,
) -> Told {
    let deadline = ("x-deadline-ms", deadline_ms);
    match kind {
        0 => {
            let body = serde_json::json!({ "input": text }).to_string();
            let path = "/v1/pipelines/explain";
            let answer = caller.send(entry, "POST", path, &[deadline], body).await;
            check_done(&answer, |it| it["output"]["text"] == expected::explanation(text));
            told(None, &answer)
        }
        1 => streamed(caller, entry, text).await,
        2 => {
            let answer = caller.search(entry, text, &[deadline]).await;
            check_done(&answer, |it| *it == expected::search(text));
            told(None, &answer)
        }
        3 => told(Some(text), &caller.notice(entry, text, &[deadline]).await),
        _ => {
            // The resend of a call is a copy, so this caller never claims to send the only one.
            let headers = [deadline, ("x-only-copy", "false")];
            told(Some(text), &caller.notice(entry, text, &headers).await)
        }
    }
}

async fn streamed(caller: &Caller, entry: std::net::SocketAddr, text: &str) -> Told {
    let Ok(answer) = caller.pipeline_stream(entry, "explain", text).await else {
        return Told {
            request: String::new(),
            key: None,
            verdict: ReportedOutcome::Unknown,
            reason: String::new(),
        };
    };
    if let Some(problem) = answer.problem {
        let verdict = ReportedOutcome::of_problem(&problem);
        return Told {
            request: field(&problem, "request_id"),
            key: None,
            verdict,
            reason: field(&problem, "reason"),
        };
    }
    let done = answer.done.expect("a completion event or a problem");
    assert_eq!(answer.text, expected::explanation(text));
    Told {
        request: field(&done, "request_id"),
        key: None,
        verdict: ReportedOutcome::Completed,
        reason: String::new(),
    }
}

fn check_done(answer: &Result<ReceivedResponse, CallerError>, is_right: impl Fn(&Value) -> bool) {
    let Ok(answer) = answer else { return };
    assert!(answer.status >= 400 || is_right(&answer.body), "{}", answer.body);
}

fn told(key: Option<&str>, answer: &Result<ReceivedResponse, CallerError>) -> Told {
    let body = answer.as_ref().map(|it| it.body.clone()).unwrap_or_default();
    Told {
        request: field(&body, "request_id"),
        key: key.map(str::to_owned),
        verdict: ReportedOutcome::of(answer),
        reason: field(&body, "reason"),
    }
}

fn field(value: &Value, name: &str) -> String {
    value[name].as_str().unwrap_or_default().to_owned()
}

/// Provokes random faults until the callers have ended; returns their number.
async fn disturb(stack: &mut Stack, working: &AtomicUsize) -> u32 {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut faults = 0;
    while working.load(Ordering::SeqCst) > 0 {
        faults += 1;
        let number = random.random_range(0..stack.upstreams.len());
        let normal = stack.upstreams[number].plan.switches.clone();
        let switched = match random.random_range(0..7) {
            0 => {
                stack.replace_agent(number).await.expect("the agent starts");
                continue;
            }
            1 => {
                stack.replace_upstream(number).await.expect("the upstream starts");
                continue;
            }
            2 => {
                let pause_ms = random.random_range(0..MAX_PAUSE_MS);
                let agent = &stack.upstreams[number].agent;
                agent.signal(Signal::Pause).await.expect("the agent is paused");
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                agent.signal(Signal::Resume).await.expect("the agent resumes");
                continue;
            }
            3 => UpstreamSwitches { fail_status: Some(503), ..normal.clone() },
            4 => UpstreamSwitches {
                cut_after_tokens: Some(random.random_range(0..10)),
                ..normal.clone()
            },
            5 => UpstreamSwitches { delay_ms: random.random_range(0..500), ..normal.clone() },
            _ => {
                stack.turn_cold(number).await.expect("the upstream turns cold");
                normal.clone()
            }
        };
        let calm = Duration::from_millis(random.random_range(0..MAX_CALM_MS));
        stack.set_upstream_switches(&stack.upstreams[number], &switched).await.expect("switches");
        tokio::time::sleep(calm).await;
        stack.set_upstream_switches(&stack.upstreams[number], &normal).await.expect("switches");
    }
    faults
}

#[tokio::test(flavor = "multi_thread")]
async fn no_refused_request_was_run() {
    let mut plan = StackPlan::short(&[("encoders", 1), ("engines", 2), ("work-orders", 1)]);
    for pool in ["encoders", "engines", "work-orders"] {
        plan.change_pool_switches(pool, |it| {
            it.delay_ms = CALL_MS;
            it.cold_calls = 4;
            it.cold_bearable = 2;
        });
    }
    let mut stack = Stack::start(plan).await.expect("the stack starts");
    let entries = [stack.entry(0), stack.entry(1)];
    let working = Arc::new(AtomicUsize::new(CALLERS as usize));
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let (caller, working) = (stack.caller.clone(), working.clone());
        callers.push(tokio::spawn(async move {
            let told = call(caller, entries, number).await;
            working.fetch_sub(1, Ordering::SeqCst);
            told
        }));
    }
    let (faults, told) = tokio::join!(disturb(&mut stack, &working), join_all(callers));
    let calls = stack.calls().await.expect("the records of the upstreams");
    let mut counts = [0_u32; 4];
    for told in told.into_iter().flat_map(|it| it.expect("the caller ends")) {
        counts[told.verdict.clone() as usize] += 1;
        let runs = calls.count_for_request(&told.request);
        let key_runs = told.key.as_ref().map_or(0, |it| calls.count_for_key(it));
        assert!(key_runs <= 1, "{:?} ran {key_runs} times", told.key);
        if told.verdict != ReportedOutcome::NotRun {
            continue;
        }
        assert!(!told.request.is_empty(), "a refusal names its request");
        assert_eq!(runs, 0, "{} {}", told.request, told.reason);
        assert_eq!(key_runs, 0, "{:?} {}", told.key, told.reason);
    }
    println!("seed {SEED}: {faults} faults; done, not run, failed, unknown: {counts:?}");
    assert!(counts[0] > 0 && counts[1] > 0, "some are done and some refused: {counts:?}");
}
