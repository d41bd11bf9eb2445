//! An upstream in a cold start receives no more work than it can bear.

use futures::future::join_all;
use tokio::task::JoinHandle;
use yuccatrail_fakes::{
    stack::{
        faults::{ReportedOutcome, wait_until},
        plan::StackPlan,
        run::Stack,
    },
    upstream::state::UpstreamRecord,
};

/// Rounds of each fault.
const ROUNDS: usize = 3;
/// Calls that both entries send at once.
const BURST: usize = 100;
/// Calls that a cold engine bears, as the document states it.
const BEARABLE: u32 = 2;
/// Calls after which a cold engine is warm.
const COLD_CALLS: u32 = 20;
/// Duration of a call, in milliseconds.
const CALL_MS: u64 = 10;

async fn start() -> Stack {
    let mut plan = StackPlan::short(&[("work-orders", 1)]);
    plan.change_pool_switches("work-orders", |it| {
        it.delay_ms = CALL_MS;
        it.cold_calls = COLD_CALLS;
        it.cold_bearable = BEARABLE;
    });
    Stack::start(plan).await.expect("the stack starts")
}

/// Sends calls through both entries at once.
fn send(stack: &Stack, name: &str) -> Vec<JoinHandle<ReportedOutcome>> {
    let mut calls = Vec::new();
    for number in 0..BURST {
        let (caller, entry) = (stack.caller.clone(), stack.entry(number % 2));
        let body = format!("{name} {number}");
        calls.push(tokio::spawn(async move {
            ReportedOutcome::of(&caller.search(entry, &body, &[]).await)
        }));
    }
    calls
}

/// Sends calls through both entries at once; returns how many were answered.
async fn burst(stack: &Stack, name: &str) -> usize {
    let verdicts = join_all(send(stack, name)).await;
    verdicts.iter().filter(|it| matches!(it, Ok(ReportedOutcome::Completed))).count()
}

async fn record(stack: &Stack) -> UpstreamRecord {
    stack.record(&stack.upstreams[0]).await.expect("the record of the upstream")
}

async fn check(stack: &Stack) {
    let record = record(stack).await;
    assert_eq!(record.overloads, 0);
    assert!(record.cold_peak <= BEARABLE, "{} calls at once", record.cold_peak);
}

/// Waits until the entries know whether the upstream is cold.
async fn wait_cold(stack: &Stack, cold: bool) {
    wait_until("the upstream's state", async || counts_as(stack, cold).await)
        .await
        .expect("the upstream's state");
}

/// Tells whether every entry counts the upstream as cold, or every entry as warm.
async fn counts_as(stack: &Stack, cold: bool) -> bool {
    for entry in &stack.entries {
        let status = stack.caller.send(entry.address, "GET", "/v1/status", &[], "").await;
        if !status.is_ok_and(|it| it.body["upstreams"][0]["load"]["cold"] == cold) {
            return false;
        }
    }
    true
}

/// Sends calls until the upstream is warm and every entry knows that.
///
/// A jump of the latency makes the agent doubt a warm upstream until further calls run steadily, so
/// the calls have to go on.
async fn warm(stack: &Stack, name: &str) {
    wait_until("a warm upstream", async || {
        burst(stack, name).await;
        record(stack).await.warm && counts_as(stack, false).await
    })
    .await
    .expect("a warm upstream");
    // The limit grows with the calls, so that a burst would overload a cold upstream.
    burst(stack, name).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_at_a_fresh_upstream_stays_within_its_limit() {
    let stack = start().await;
    assert!(burst(&stack, "fresh").await > 0);
    check(&stack).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_at_an_upstream_that_turned_cold_stays_within_its_limit() {
    let mut stack = start().await;
    for round in 0..ROUNDS {
        warm(&stack, &format!("warm-up {round}")).await;
        stack.turn_cold(0).await.expect("the upstream turns cold");
        wait_cold(&stack, true).await;
        assert!(burst(&stack, &format!("cold {round}")).await > 0);
        check(&stack).await;
        stack.turn_cold(0).await.expect("the upstream turns cold");
        stack.replace_agent(0).await.expect("the agent starts");
        for entry in &stack.entries {
            stack.wait_connected(entry.address, 1).await.expect("the agent is reached again");
        }
        burst(&stack, &format!("replaced {round}")).await;
        check(&stack).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_after_a_restart_that_cut_others_stay_within_the_limit() {
    let mut stack = start().await;
    for round in 0..ROUNDS {
        warm(&stack, &format!("warm-up {round}")).await;
        let calls = send(&stack, &format!("cut {round}"));
        wait_until("a running call", async || record(&stack).await.running > 0)
            .await
            .expect("a running call");
        stack.replace_upstream(0).await.expect("the upstream starts");
        join_all(calls).await;
        burst(&stack, &format!("restarted {round}")).await;
        check(&stack).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_right_after_a_restart_stays_within_the_limit() {
    let mut stack = start().await;
    for round in 0..ROUNDS {
        warm(&stack, &format!("warm-up {round}")).await;
        stack.replace_upstream(0).await.expect("the upstream starts");
        burst(&stack, &format!("restarted {round}")).await;
        check(&stack).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn new_calls_after_a_silent_turn_stay_within_the_limit() {
    let stack = start().await;
    for round in 0..ROUNDS {
        warm(&stack, &format!("warm-up {round}")).await;
        stack.turn_cold(0).await.expect("the upstream turns cold");
        burst(&stack, &format!("silent {round}")).await;
        check(&stack).await;
    }
}
