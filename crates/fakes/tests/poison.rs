//! A request that crashes every upstream that runs it is quarantined after two crashes; other
//! requests are not affected.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures::future::{Either, select};
use serde_json::Value;
use yuccatrail_fakes::stack::{caller::Caller, expected, plan::StackPlan, run::Stack};

/// Number of times that the request is sent.
const SENDS: usize = 5;
/// Highest number of upstreams that it may crash.
const MAX_CRASHES: usize = 2;
/// Number of callers that send other requests.
const OTHER_CALLERS: usize = 4;
/// Time between two checks for crashed upstreams.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Text that crashes an upstream which receives it.
const CRASH_MARKER: &str = "poison-marker";
/// Duration of a call, in milliseconds.
const CALL_MS: u64 = 20;

/// Sends other requests to the same pool until the crashing one was sent for the last time; returns
/// their number.
async fn send_other_requests(
    caller: Caller,
    entry: SocketAddr,
    name: usize,
    streams: bool,
    finished: Arc<AtomicBool>,
) -> usize {
    let mut count = 0;
    while !finished.load(Ordering::SeqCst) {
        let text = format!("other request {name} {count}");
        if streams {
            let response = caller.pipeline(entry, "explain", &text).await.expect("a response");
            assert_eq!(response.status, 200, "{text}: {}", response.body);
            assert_eq!(response.body["output"]["text"], expected::explanation(&text));
        } else {
            let response = caller.search(entry, &text, &[]).await.expect("a response");
            assert_eq!(response.status, 200, "{text}: {}", response.body);
            assert_eq!(response.body, expected::search(&text));
        }
        count += 1;
    }
    count
}

/// Replaces every upstream that has crashed; returns their number.
async fn replace_crashed(stack: &mut Stack) -> usize {
    let mut crashes = 0;
    tokio::time::sleep(CHECK_INTERVAL).await;
    for number in 0..stack.upstreams.len() {
        if stack.upstreams[number].upstream.has_ended() {
            stack.replace_upstream(number).await.expect("the upstream starts");
            crashes += 1;
        }
    }
    crashes
}

async fn start(pools: &[(&str, usize)], crashing_pool: &str) -> Stack {
    let mut plan = StackPlan::short(pools);
    plan.change_pool_switches(crashing_pool, |it| {
        it.delay_ms = CALL_MS;
        it.crash_on = Some(CRASH_MARKER.to_owned());
    });
    Stack::start(plan).await.expect("the stack starts")
}

/// Sends the crashing request through alternate entries and replaces crashed upstreams; returns the
/// last problem and the number of crashes.
async fn send_repeatedly(
    stack: &mut Stack,
    send: impl AsyncFn(Caller, SocketAddr) -> Value,
) -> (Value, usize) {
    let mut crashes = 0;
    let mut last = Value::Null;
    for number in 0..SENDS {
        let call = send(stack.caller.clone(), stack.entry(number % 2));
        let mut call = std::pin::pin!(call);
        last = loop {
            match select(call, std::pin::pin!(replace_crashed(stack))).await {
                Either::Left((response, replacing)) => {
                    crashes += replacing.await;
                    break response;
                }
                Either::Right((count, pending)) => {
                    crashes += count;
                    call = pending;
                }
            }
        };
        crashes += replace_crashed(stack).await;
    }
    (last, crashes)
}

/// Requests that share the crashing beginning of their prompts.
const ALIKE: usize = 8;
/// Upstreams that they may crash all together.
const MAX_CRASHES_ALIKE: usize = 5;

/// Sends the crashing request among others; checks that it is quarantined and the others complete.
async fn check_quarantine(
    mut stack: Stack,
    streams: bool,
    send: impl AsyncFn(Caller, SocketAddr) -> Value,
) {
    let finished = Arc::new(AtomicBool::new(false));
    let mut other_callers = Vec::new();
    for name in 0..OTHER_CALLERS {
        let (caller, entry) = (stack.caller.clone(), stack.entry(name % 2));
        other_callers.push(tokio::spawn(send_other_requests(
            caller,
            entry,
            name,
            streams,
            finished.clone(),
        )));
    }
    let (last, crashes) = send_repeatedly(&mut stack, send).await;
    finished.store(true, Ordering::SeqCst);
    for other_caller in other_callers {
        assert!(other_caller.await.expect("all other requests complete") > 0);
    }
    assert_eq!(last["reason"], "quarantined", "{last}");
    assert!((1..=MAX_CRASHES).contains(&crashes), "{crashes} upstreams crashed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_request_that_crashes_upstreams_is_quarantined_after_two_crashes() {
    let stack = start(&[("encoders", 1), ("engines", 3)], "engines").await;
    check_quarantine(stack, true, async |caller, entry| {
        let response =
            caller.pipeline_stream(entry, "explain", CRASH_MARKER).await.expect("a response");
        assert_eq!(response.done, None);
        response.problem.expect("a problem")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_call_that_crashes_upstreams_is_quarantined_after_two_crashes() {
    let stack = start(&[("work-orders", 4)], "work-orders").await;
    check_quarantine(stack, false, async |caller, entry| {
        let response = caller.search(entry, CRASH_MARKER, &[]).await.expect("a response");
        assert!(response.status >= 400);
        response.body
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_share_a_prompt_prefix_that_crashes_upstreams_are_quarantined_together() {
    let mut stack = start(&[("encoders", 1), ("engines", 4)], "engines").await;
    let prefix = format!("{CRASH_MARKER} {}", "shared ".repeat(100));
    let mut crashes = 0;
    let mut last = Value::Null;
    for number in 0..ALIKE {
        let (caller, entry) = (stack.caller.clone(), stack.entry(number % 2));
        let text = format!("{prefix}{number}");
        let mut call = std::pin::pin!(caller.pipeline_stream(entry, "explain", &text));
        let response = loop {
            match select(call, std::pin::pin!(replace_crashed(&mut stack))).await {
                Either::Left((response, replacing)) => {
                    crashes += replacing.await;
                    break response.expect("a response");
                }
                Either::Right((count, pending)) => {
                    crashes += count;
                    call = pending;
                }
            }
        };
        last = response.problem.expect("a problem");
        crashes += replace_crashed(&mut stack).await;
    }
    assert_eq!(last["reason"], "quarantined", "{last}");
    assert!((1..=MAX_CRASHES_ALIKE).contains(&crashes), "{crashes} upstreams crashed");
    let other = format!("{}{}", "sound ".repeat(100), "end");
    let response = stack.caller.pipeline(stack.entry(0), "explain", &other).await;
    assert_eq!(response.expect("a response").status, 200);
}
