//! A call that may not be repeated runs at most once, whatever fails around it.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use yuccatrail_fakes::{
    platform::{Outage, PlatformSwitches},
    stack::{
        caller::{CallerError, ReceivedResponse},
        faults::{ReportedOutcome, wait_until},
        plan::StackPlan,
        process::Signal,
        run::Stack,
    },
};

/// Rounds of each fault.
const ROUNDS: usize = 3;
/// Keys that are sent through both entries at once.
const RACED_KEYS: usize = 12;
/// Copies of each of these keys at each entry.
const COPIES: usize = 2;
/// Duration of a call that is to be caught in progress, in milliseconds.
const LONG_CALL_MS: u64 = 600;
/// Delay of the platform that leaves time for a fault before the claim is known, in milliseconds.
const SLOW_PLATFORM_MS: u64 = 400;
/// Deadline of a call that the caller gives up, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 900;
/// Calls that reach both agents after a pause.
const SEARCHES: usize = 8;
/// Header that asks for this deadline.
const SHORT_DEADLINE: &[(&str, &str)] = &[("x-deadline-ms", "900")];

async fn start(call_ms: u64) -> Stack {
    let mut plan = StackPlan::short(&[("work-orders", 2)]);
    plan.change_pool_switches("work-orders", |it| it.delay_ms = call_ms);
    Stack::start(plan).await.expect("the stack starts")
}

/// Sends a call in the background, as its caller waits while the test provokes a fault.
fn send(
    stack: &Stack,
    entry: usize,
    key: &str,
    headers: &'static [(&str, &str)],
) -> tokio::task::JoinHandle<Result<ReceivedResponse, CallerError>> {
    let (caller, address, key) = (stack.caller.clone(), stack.entry(entry), key.to_owned());
    tokio::spawn(async move { caller.notice(address, &key, headers).await })
}

async fn resend(stack: &Stack, entry: usize, key: &str) -> ReportedOutcome {
    ReportedOutcome::of(&stack.caller.notice(stack.entry(entry), key, &[]).await)
}

async fn runs(stack: &Stack, key: &str) -> u32 {
    stack.calls().await.expect("the records of the upstreams").count_for_key(key)
}

/// Makes the platform lose the answer to the next write and waits until that write took effect.
async fn send_and_wait_for_claim(
    stack: &Stack,
    key: &str,
    headers: &'static [(&str, &str)],
) -> tokio::task::JoinHandle<Result<ReceivedResponse, CallerError>> {
    let slow = PlatformSwitches {
        lost_answers: 1,
        delay_ms: SLOW_PLATFORM_MS,
        ..PlatformSwitches::default()
    };
    stack.set_platform_switches(&slow).await.expect("switches");
    let before = stack.platform_counters().await.expect("counters").effects;
    let call = send(stack, 0, key, headers);
    let claimed = async || stack.platform_counters().await.is_ok_and(|it| it.effects > before);
    wait_until("the claim in the platform", claimed).await.expect("a claim");
    call
}

async fn heal_platform(stack: &Stack) {
    stack.set_platform_switches(&PlatformSwitches::default()).await.expect("switches");
}

#[tokio::test(flavor = "multi_thread")]
async fn copies_through_both_entries_run_once_and_get_one_answer() {
    let stack = Arc::new(start(5).await);
    let mut copies = Vec::new();
    for key in 0..RACED_KEYS {
        for copy in 0..COPIES * 2 {
            copies.push(send(&stack, copy % 2, &format!("raced-{key}"), &[]));
        }
    }
    for copy in join_all(copies).await {
        let answer = copy.expect("the caller ends").expect("an answer");
        let verdict = ReportedOutcome::of(&Ok(answer.clone()));
        assert!(
            matches!(verdict, ReportedOutcome::Completed | ReportedOutcome::Unknown),
            "{}",
            answer.body
        );
    }
    for key in 0..RACED_KEYS {
        let key = format!("raced-{key}");
        wait_until("a recorded answer at both entries", async || {
            let first = stack.caller.notice(stack.entry(0), &key, &[]).await;
            let second = stack.caller.notice(stack.entry(1), &key, &[]).await;
            matches!((first, second), (Ok(first), Ok(second))
                if first.status == 200 && second.status == 200 && first.body == second.body)
        })
        .await
        .expect("the recorded answer");
        assert_eq!(runs(&stack, &key).await, 1, "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_dies_before_dispatch_leaves_no_second_run() {
    let mut stack = start(5).await;
    for round in 0..ROUNDS {
        let key = format!("claimed-{round}");
        let call = send_and_wait_for_claim(&stack, &key, &[]).await;
        stack.kill_entry(0).await.expect("the entry ends");
        assert!(call.await.expect("the caller ends").is_err());
        heal_platform(&stack).await;
        assert_eq!(resend(&stack, 1, &key).await, ReportedOutcome::Unknown);
        stack.replace_entry(0, "north").await.expect("the entry starts");
        assert_eq!(resend(&stack, 0, &key).await, ReportedOutcome::Unknown);
        assert!(runs(&stack, &key).await <= 1, "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_dies_after_dispatch_leaves_no_second_run() {
    let mut stack = start(LONG_CALL_MS).await;
    for round in 0..ROUNDS {
        let key = format!("dispatched-{round}");
        let call = send(&stack, 0, &key, &[]);
        stack.wait_for_run(&key).await.expect("a run");
        stack.kill_entry(0).await.expect("the entry ends");
        assert!(call.await.expect("the caller ends").is_err());
        assert_eq!(resend(&stack, 1, &key).await, ReportedOutcome::Unknown);
        stack.replace_entry(0, "north").await.expect("the entry starts");
        assert_eq!(resend(&stack, 0, &key).await, ReportedOutcome::Unknown);
        assert_eq!(runs(&stack, &key).await, 1, "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_to_the_claim_is_settled_by_reading_back() {
    let stack = start(5).await;
    for round in 0..ROUNDS {
        let key = format!("lost-answer-{round}");
        let call = send_and_wait_for_claim(&stack, &key, &[]).await;
        heal_platform(&stack).await;
        let first = call.await.expect("the caller ends").expect("an answer");
        assert_eq!(first.status, 200, "{}", first.body);
        wait_until("the recorded answer at the other entry", async || {
            let second = stack.caller.notice(stack.entry(1), &key, &[]).await;
            second.is_ok_and(|it| it.status == 200 && it.body == first.body)
        })
        .await
        .expect("the recorded answer");
        assert_eq!(runs(&stack, &key).await, 1, "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_write_may_have_failed_permits_no_dispatch() {
    let stack = start(5).await;
    for round in 0..ROUNDS {
        let key = format!("reset-{round}");
        let reset = PlatformSwitches { outage: Some(Outage::Reset), ..PlatformSwitches::default() };
        stack.set_platform_switches(&reset).await.expect("switches");
        let calls = [0, 1].map(|entry| send(&stack, entry, &key, SHORT_DEADLINE));
        for answer in join_all(calls).await {
            let answer = answer.expect("the caller ends");
            assert_ne!(ReportedOutcome::of(&answer), ReportedOutcome::Completed, "{answer:?}");
        }
        assert_eq!(runs(&stack, &key).await, 0, "{key}");
        heal_platform(&stack).await;
        resend(&stack, 0, &key).await;
        resend(&stack, 1, &key).await;
        assert!(runs(&stack, &key).await <= 1, "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_claimant_that_wakes_too_late_runs_nothing() {
    let stack = start(5).await;
    for round in 0..ROUNDS {
        let key = format!("frozen-{round}");
        let call = send_and_wait_for_claim(&stack, &key, SHORT_DEADLINE).await;
        stack.entries[0].signal(Signal::Pause).await.expect("the entry is paused");
        heal_platform(&stack).await;
        let frozen = runs(&stack, &key).await;
        assert_eq!(resend(&stack, 1, &key).await, ReportedOutcome::Unknown);
        tokio::time::sleep(Duration::from_millis(SHORT_DEADLINE_MS)).await;
        stack.entries[0].signal(Signal::Resume).await.expect("the entry resumes");
        let answer = call.await.expect("the caller ends");
        let verdict = ReportedOutcome::of(&answer);
        // A call that was dispatched before the pause may have its answer.
        assert!(frozen == 1 || verdict != ReportedOutcome::Completed, "{answer:?}");
        assert_eq!(runs(&stack, &key).await, frozen, "{key}");
        // The claimant releases a claim that it never dispatched, so a resend may run now.
        resend(&stack, 0, &key).await;
        resend(&stack, 1, &key).await;
        assert!(runs(&stack, &key).await <= 1, "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_agent_that_wakes_too_late_runs_nothing() {
    let stack = start(5).await;
    for round in 0..ROUNDS {
        let key = format!("frozen-agent-{round}");
        for pair in &stack.upstreams {
            pair.agent.signal(Signal::Pause).await.expect("the agent is paused");
        }
        let answer = send(&stack, 0, &key, SHORT_DEADLINE).await.expect("the caller ends");
        assert_eq!(ReportedOutcome::of(&answer), ReportedOutcome::Unknown, "{answer:?}");
        for pair in &stack.upstreams {
            pair.agent.signal(Signal::Resume).await.expect("the agent resumes");
        }
        for entry in &stack.entries {
            stack.wait_connected(entry.address, 2).await.expect("the agents are reached again");
        }
        // The agents take up what arrived while they were paused before they answer these calls.
        for number in 0..SEARCHES {
            stack.caller.search(stack.entry(0), &number.to_string(), &[]).await.expect("an answer");
        }
        assert_eq!(runs(&stack, &key).await, 0, "{key}");
        // The claim is released when an agent confirmed the cancellation, so a resend may run.
        resend(&stack, 0, &key).await;
        resend(&stack, 1, &key).await;
        assert!(runs(&stack, &key).await <= 1, "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_agent_is_killed_is_not_run_again() {
    for round in 0..ROUNDS {
        // An upstream that failed in an earlier round would be out of service in this one.
        let mut stack = start(LONG_CALL_MS).await;
        let key = format!("agent-killed-{round}");
        let call = send(&stack, round % 2, &key, &[]);
        let number = stack.wait_for_run(&key).await.expect("a run");
        stack.replace_agent(number).await.expect("the agent starts");
        let answer = call.await.expect("the caller ends");
        assert_eq!(ReportedOutcome::of(&answer), ReportedOutcome::Unknown, "{answer:?}");
        assert_eq!(resend(&stack, 1, &key).await, ReportedOutcome::Unknown);
        assert_eq!(resend(&stack, 0, &key).await, ReportedOutcome::Unknown);
        assert_eq!(runs(&stack, &key).await, 1, "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_upstream_dies_is_not_run_again() {
    for round in 0..ROUNDS {
        // An upstream that failed in an earlier round would be out of service in this one.
        let mut stack = start(LONG_CALL_MS).await;
        let key = format!("upstream-killed-{round}");
        let call = send(&stack, round % 2, &key, &[]);
        let number = stack.wait_for_run(&key).await.expect("a run");
        stack.replace_upstream(number).await.expect("the upstream starts");
        let answer = call.await.expect("the caller ends");
        assert_eq!(ReportedOutcome::of(&answer), ReportedOutcome::Unknown, "{answer:?}");
        assert_eq!(resend(&stack, 1, &key).await, ReportedOutcome::Unknown);
        assert_eq!(resend(&stack, 0, &key).await, ReportedOutcome::Unknown);
        assert_eq!(runs(&stack, &key).await, 1, "{key}");
    }
}
