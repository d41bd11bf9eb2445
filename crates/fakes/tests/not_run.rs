//! Under random load and random faults, no request that was refused with the outcome `not_run` has
//! run at an upstream.

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
/// Number of concurrent callers.
const CALLERS: u64 = 8;
/// Number of calls of each caller, without resends.
const CALLS_PER_CALLER: usize = 25;
/// Highest number of resends of a call whose outcome is unknown.
const RESENDS: usize = 2;
/// Usual duration of a call, in milliseconds.
const CALL_MS: u64 = 20;
/// Longest time between two calls of a caller, in milliseconds.
const MAX_CALL_INTERVAL_MS: u64 = 200;
/// Longest pause of an agent, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_000;
/// Longest duration of a fault that is set by switches, in milliseconds.
const MAX_FAULT_MS: u64 = 200;
/// Deadlines that callers request, in milliseconds.
const DEADLINES_MS: [&str; 4] = ["30", "150", "600", "4000"];

/// Result of a call as reported to its caller.
struct ReportedCall {
    request: String,
    key: Option<String>,
    outcome: ReportedOutcome,
    reason: String,
}

/// Sends random calls one after another.
async fn send_calls(
    caller: Caller,
    entries: [std::net::SocketAddr; 2],
    number: u64,
) -> Vec<ReportedCall> {
    let mut random = StdRng::seed_from_u64(SEED + number);
    let mut reported = Vec::new();
    for index in 0..CALLS_PER_CALLER {
        let text = format!("call {number}-{index}");
        tokio::time::sleep(Duration::from_millis(random.random_range(0..MAX_CALL_INTERVAL_MS)))
            .await;
        let deadline_ms = DEADLINES_MS[random.random_range(0..DEADLINES_MS.len())];
        let kind = random.random_range(0..5);
        for _ in 0..=RESENDS {
            let entry = entries[random.random_range(0..2)];
            let last = send(&caller, entry, kind, &text, deadline_ms).await;
            let is_known = last.outcome != ReportedOutcome::Unknown;
            reported.push(last);
            if is_known {
                break;
            }
        }
    }
    reported
}

async fn send(
    caller: &Caller,
    entry: std::net::SocketAddr,
    kind: u32,
    text: &str,
    deadline_ms: &str,
) -> ReportedCall {
    let deadline = ("x-deadline-ms", deadline_ms);
    match kind {
        0 => {
            let body = serde_json::json!({ "input": text }).to_string();
            let path = "/v1/pipelines/explain";
            let response = caller.send(entry, "POST", path, &[deadline], body).await;
            check_completed(&response, |it| it["output"]["text"] == expected::explanation(text));
            reported_call(None, &response)
        }
        1 => send_streamed(caller, entry, text).await,
        2 => {
            let response = caller.search(entry, text, &[deadline]).await;
            check_completed(&response, |it| *it == expected::search(text));
            reported_call(None, &response)
        }
        3 => reported_call(Some(text), &caller.notice(entry, text, &[deadline]).await),
        _ => {
            // A resend is a copy of the call, so this caller must not declare its call the only
            // copy.
            let headers = [deadline, ("x-only-copy", "false")];
            reported_call(Some(text), &caller.notice(entry, text, &headers).await)
        }
    }
}

async fn send_streamed(caller: &Caller, entry: std::net::SocketAddr, text: &str) -> ReportedCall {
    let Ok(response) = caller.pipeline_stream(entry, "explain", text).await else {
        return ReportedCall {
            request: String::new(),
            key: None,
            outcome: ReportedOutcome::Unknown,
            reason: String::new(),
        };
    };
    if let Some(problem) = response.problem {
        let outcome = ReportedOutcome::of_problem(&problem);
        return ReportedCall {
            request: field(&problem, "request_id"),
            key: None,
            outcome,
            reason: field(&problem, "reason"),
        };
    }
    let done = response.done.expect("a stream ends with a `done` or a `problem` event");
    assert_eq!(response.text, expected::explanation(text));
    ReportedCall {
        request: field(&done, "request_id"),
        key: None,
        outcome: ReportedOutcome::Completed,
        reason: String::new(),
    }
}

fn check_completed(
    response: &Result<ReceivedResponse, CallerError>,
    is_expected: impl Fn(&Value) -> bool,
) {
    let Ok(response) = response else { return };
    assert!(response.status >= 400 || is_expected(&response.body), "{}", response.body);
}

fn reported_call(
    key: Option<&str>,
    response: &Result<ReceivedResponse, CallerError>,
) -> ReportedCall {
    let body = response.as_ref().map(|it| it.body.clone()).unwrap_or_default();
    ReportedCall {
        request: field(&body, "request_id"),
        key: key.map(str::to_owned),
        outcome: ReportedOutcome::of(response),
        reason: field(&body, "reason"),
    }
}

fn field(value: &Value, name: &str) -> String {
    value[name].as_str().unwrap_or_default().to_owned()
}

/// Injects random faults until all callers have finished; returns the number of faults.
async fn inject_faults(stack: &mut Stack, active_callers: &AtomicUsize) -> u32 {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut faults = 0;
    while active_callers.load(Ordering::SeqCst) > 0 {
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
        let fault_time = Duration::from_millis(random.random_range(0..MAX_FAULT_MS));
        stack
            .set_upstream_switches(&stack.upstreams[number], &switched)
            .await
            .expect("the switches are set");
        tokio::time::sleep(fault_time).await;
        stack
            .set_upstream_switches(&stack.upstreams[number], &normal)
            .await
            .expect("the switches are set");
    }
    faults
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_refused_with_not_run_has_not_run() {
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
    let active_callers = Arc::new(AtomicUsize::new(CALLERS as usize));
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let (caller, active_callers) = (stack.caller.clone(), active_callers.clone());
        callers.push(tokio::spawn(async move {
            let reported = send_calls(caller, entries, number).await;
            active_callers.fetch_sub(1, Ordering::SeqCst);
            reported
        }));
    }
    let (faults, reported) =
        tokio::join!(inject_faults(&mut stack, &active_callers), join_all(callers));
    let calls = stack.calls().await.expect("logged calls of the upstreams");
    let mut counts = [0_u32; 4];
    for call in reported.into_iter().flat_map(|it| it.expect("the sending task does not panic")) {
        counts[call.outcome.clone() as usize] += 1;
        let runs = calls.count_for_request(&call.request);
        let key_runs = call.key.as_ref().map_or(0, |it| calls.count_for_key(it));
        assert!(key_runs <= 1, "the call with key {:?} ran {key_runs} times", call.key);
        if call.outcome != ReportedOutcome::NotRun {
            continue;
        }
        assert!(!call.request.is_empty(), "a refusal contains the request ID");
        assert_eq!(runs, 0, "request {}, refused with reason {}, ran", call.request, call.reason);
        assert_eq!(
            key_runs, 0,
            "the call with key {:?}, refused with reason {}, ran",
            call.key, call.reason
        );
    }
    println!("seed {SEED}: {faults} faults; completed, not run, failed, unknown: {counts:?}");
    assert!(
        counts[0] > 0 && counts[1] > 0,
        "some requests complete and some are refused: {counts:?}"
    );
}
