//! A cold upstream gets no more concurrent calls than it can sustain.

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

/// Number of rounds with each fault.
const ROUNDS: usize = 3;
/// Number of calls that both entries together send at the same time.
const BURST: usize = 100;
/// Number of concurrent calls that a cold engine sustains, as declared in the environment document.
const COLD_CONCURRENCY: u32 = 2;
/// Number of calls after which a cold engine is warm.
const COLD_CALLS: u32 = 20;
/// Duration of a call, in milliseconds.
const CALL_MS: u64 = 10;

async fn start() -> Stack {
    let mut plan = StackPlan::short(&[("work-orders", 1)]);
    plan.change_pool_switches("work-orders", |it| {
        it.delay_ms = CALL_MS;
        it.cold_calls = COLD_CALLS;
        it.cold_bearable = COLD_CONCURRENCY;
    });
    Stack::start(plan).await.expect("the stack starts")
}

/// Sends a burst of calls through both entries.
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

/// Sends a burst of calls through both entries; returns the number of completed calls.
async fn burst(stack: &Stack, name: &str) -> usize {
    let outcomes = join_all(send(stack, name)).await;
    outcomes.iter().filter(|it| matches!(it, Ok(ReportedOutcome::Completed))).count()
}

async fn record(stack: &Stack) -> UpstreamRecord {
    stack.record(&stack.upstreams[0]).await.expect("the record of the upstream")
}

async fn check_not_overloaded(stack: &Stack) {
    let record = record(stack).await;
    assert_eq!(record.overloads, 0);
    assert!(
        record.cold_peak <= COLD_CONCURRENCY,
        "{} concurrent calls while cold",
        record.cold_peak
    );
}

/// Waits until every entry regards the upstream as cold, or every entry as warm.
async fn wait_known_as(stack: &Stack, cold: bool) {
    wait_until("state of the upstream at all entries", async || is_known_as(stack, cold).await)
        .await
        .expect("the entries know the state of the upstream");
}

/// Returns whether every entry regards the upstream as cold, or every entry as warm.
async fn is_known_as(stack: &Stack, cold: bool) -> bool {
    for entry in &stack.entries {
        let status = stack.caller.send(entry.address, "GET", "/v1/status", &[], "").await;
        if !status.is_ok_and(|it| it.body["upstreams"][0]["load"]["cold"] == cold) {
            return false;
        }
    }
    true
}

/// Sends calls until the upstream is warm and every entry regards it as warm.
///
/// After a jump in latency the agent doubts a warm upstream until further calls have run steadily,
/// so the calls have to continue.
async fn warm(stack: &Stack, name: &str) {
    wait_until("a warm upstream", async || {
        burst(stack, name).await;
        record(stack).await.warm && is_known_as(stack, false).await
    })
    .await
    .expect("a warm upstream");
    // Raises the concurrency limit, which grows with the calls, so far that a burst at this limit
    // would overload a cold upstream.
    burst(stack, name).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_does_not_overload_an_upstream_that_has_just_started() {
    let stack = start().await;
    assert!(burst(&stack, "fresh").await > 0);
    check_not_overloaded(&stack).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_does_not_overload_an_upstream_that_turned_cold() {
    let mut stack = start().await;
    for round in 0..ROUNDS {
        warm(&stack, &format!("warm-up {round}")).await;
        stack.turn_cold(0).await.expect("the upstream turns cold");
        wait_known_as(&stack, true).await;
        assert!(burst(&stack, &format!("cold {round}")).await > 0);
        check_not_overloaded(&stack).await;
        stack.turn_cold(0).await.expect("the upstream turns cold");
        stack.replace_agent(0).await.expect("the agent starts");
        for entry in &stack.entries {
            stack
                .wait_connected(entry.address, 1)
                .await
                .expect("the entry reconnects to the agent");
        }
        burst(&stack, &format!("replaced {round}")).await;
        check_not_overloaded(&stack).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_does_not_overload_an_upstream_that_restarted_during_calls() {
    let mut stack = start().await;
    for round in 0..ROUNDS {
        warm(&stack, &format!("warm-up {round}")).await;
        let calls = send(&stack, &format!("cut {round}"));
        wait_until("a call in progress", async || record(&stack).await.running > 0)
            .await
            .expect("a call in progress");
        stack.replace_upstream(0).await.expect("the upstream starts");
        join_all(calls).await;
        burst(&stack, &format!("restarted {round}")).await;
        check_not_overloaded(&stack).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_does_not_overload_an_upstream_that_restarted_while_idle() {
    let mut stack = start().await;
    for round in 0..ROUNDS {
        warm(&stack, &format!("warm-up {round}")).await;
        stack.replace_upstream(0).await.expect("the upstream starts");
        burst(&stack, &format!("restarted {round}")).await;
        check_not_overloaded(&stack).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_does_not_overload_an_upstream_that_turned_cold_unnoticed() {
    let stack = start().await;
    for round in 0..ROUNDS {
        warm(&stack, &format!("warm-up {round}")).await;
        stack.turn_cold(0).await.expect("the upstream turns cold");
        burst(&stack, &format!("silent {round}")).await;
        check_not_overloaded(&stack).await;
    }
}
