//! An upstream that states how many requests a second it takes gets no more from its agent.

use std::time::{Duration, Instant};

use futures::future::join_all;
use yuccatrail_fakes::{
    stack::{faults::ReportedOutcome, plan::StackPlan, run::Stack},
    upstream::state::UpstreamSwitches,
};

/// Window in which requests are counted, one of the users' bounds.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that may arrive in the window under a limit of 1 a second, as the users state it.
const ALLOWED: u64 = 11;
/// Interval at which the calls are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which calls are sent.
const LOAD_TIME: Duration = Duration::from_secs(8);

/// Sends calls through one entry, one after the other, and returns those that completed and all.
async fn load(stack: &Stack, entry: usize) -> (usize, usize) {
    let (mut completed, mut sent) = (0, 0);
    let end = Instant::now() + LOAD_TIME;
    while Instant::now() < end {
        sent += 1;
        let body = format!("load {entry} {sent}");
        let response = stack.caller.search(stack.entry(entry), &body, &[]).await;
        completed +=
            usize::from(matches!(ReportedOutcome::of(&response), ReportedOutcome::Completed));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    (completed, sent)
}

/// Returns the most calls that the first upstream got in a window.
async fn most_calls(stack: &Stack) -> u64 {
    let mut counts = Vec::new();
    let end = Instant::now() + LOAD_TIME;
    while Instant::now() < end {
        let record = stack.record(&stack.upstreams[0]).await.expect("the record of the upstream");
        counts.push((Instant::now(), record.calls));
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    let in_window = |(from, count): &(Instant, u64)| {
        let later = counts.iter().filter(|it| it.0 >= *from && it.0 <= *from + WINDOW);
        later.map(|it| it.1 - count).max().unwrap_or(0)
    };
    counts.iter().map(in_window).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_keeps_the_limit_that_its_upstream_states_and_others_take_the_rest() {
    let mut plan = StackPlan::short(&[("work-orders", 2)]);
    plan.change_pool_switches("work-orders", |it| it.delay_ms = 5);
    let stack = Stack::start(plan).await.expect("the stack starts");
    let limited = UpstreamSwitches {
        delay_ms: 5,
        request_limit: Some("1".to_owned()),
        ..UpstreamSwitches::default()
    };
    let pair = &stack.upstreams[0];
    stack.set_upstream_switches(pair, &limited).await.expect("the switches are set");
    // The agent learns of it by a probe.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let calls = join_all([load(&stack, 0), load(&stack, 1)]);
    let (most, calls) = tokio::join!(most_calls(&stack), calls);
    assert!(most <= ALLOWED, "{most} calls in 4 s, allowed {ALLOWED}");
    assert!(most > 0, "the upstream is still used");
    for (completed, sent) in calls {
        assert_eq!(completed, sent, "calls over the limit are made elsewhere");
    }
    // The limit ends with the statement.
    let free = UpstreamSwitches { delay_ms: 5, ..UpstreamSwitches::default() };
    stack.set_upstream_switches(pair, &free).await.expect("the switches are set");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let calls = join_all([load(&stack, 0), load(&stack, 1)]);
    let (most, _) = tokio::join!(most_calls(&stack), calls);
    assert!(most > ALLOWED, "{most} calls in 4 s after the end of the limit");
}
