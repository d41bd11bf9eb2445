//! A request that crashes each upstream that runs it is refused after two of them, and it alone.

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

/// Times that the request is sent.
const RESENDS: usize = 5;
/// Upstreams that it may cost.
const MAX_LOST: usize = 2;
/// Callers of other requests.
const NEIGHBOURS: usize = 4;
/// Time between two checks for crashed upstreams.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Text that crashes an upstream.
const MARKER: &str = "poison-marker";
/// Duration of a call, in milliseconds.
const CALL_MS: u64 = 20;

/// Sends requests to the poisoned pool until the poison is settled; returns their number.
async fn neighbour(
    caller: Caller,
    entry: SocketAddr,
    name: usize,
    streams: bool,
    settled: Arc<AtomicBool>,
) -> usize {
    let mut count = 0;
    while !settled.load(Ordering::SeqCst) {
        let text = format!("neighbour {name} {count}");
        if streams {
            let answer = caller.pipeline(entry, "explain", &text).await.expect("an answer");
            assert_eq!(answer.status, 200, "{text}: {}", answer.body);
            assert_eq!(answer.body["output"]["text"], expected::explanation(&text));
        } else {
            let answer = caller.search(entry, &text, &[]).await.expect("an answer");
            assert_eq!(answer.status, 200, "{text}: {}", answer.body);
            assert_eq!(answer.body, expected::search(&text));
        }
        count += 1;
    }
    count
}

/// Replaces every upstream that has crashed; returns their number.
async fn replace_crashed(stack: &mut Stack) -> usize {
    let mut lost = 0;
    tokio::time::sleep(CHECK_INTERVAL).await;
    for number in 0..stack.upstreams.len() {
        if stack.upstreams[number].upstream.has_ended() {
            stack.replace_upstream(number).await.expect("the upstream starts");
            lost += 1;
        }
    }
    lost
}

async fn start(pools: &[(&str, usize)], poisoned: &str) -> Stack {
    let mut plan = StackPlan::short(pools);
    plan.change_pool_switches(poisoned, |it| {
        it.delay_ms = CALL_MS;
        it.crash_on = Some(MARKER.to_owned());
    });
    Stack::start(plan).await.expect("the stack starts")
}

/// Sends the poison through both entries in turn; returns the last problem and the lost upstreams.
async fn resend(
    stack: &mut Stack,
    send: impl AsyncFn(Caller, SocketAddr) -> Value,
) -> (Value, usize) {
    let mut lost = 0;
    let mut last = Value::Null;
    for number in 0..RESENDS {
        let call = send(stack.caller.clone(), stack.entry(number % 2));
        let mut call = std::pin::pin!(call);
        last = loop {
            match select(call, std::pin::pin!(replace_crashed(stack))).await {
                Either::Left((answer, replacing)) => {
                    lost += replacing.await;
                    break answer;
                }
                Either::Right((count, pending)) => {
                    lost += count;
                    call = pending;
                }
            }
        };
        lost += replace_crashed(stack).await;
    }
    (last, lost)
}

/// Sends the poison among other requests and checks what it costs.
async fn check(mut stack: Stack, streams: bool, send: impl AsyncFn(Caller, SocketAddr) -> Value) {
    let settled = Arc::new(AtomicBool::new(false));
    let mut neighbours = Vec::new();
    for name in 0..NEIGHBOURS {
        let (caller, entry) = (stack.caller.clone(), stack.entry(name % 2));
        neighbours.push(tokio::spawn(neighbour(caller, entry, name, streams, settled.clone())));
    }
    let (last, lost) = resend(&mut stack, send).await;
    settled.store(true, Ordering::SeqCst);
    for neighbour in neighbours {
        assert!(neighbour.await.expect("no neighbour is harmed") > 0);
    }
    assert_eq!(last["reason"], "quarantined", "{last}");
    assert!((1..=MAX_LOST).contains(&lost), "{lost} upstreams lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poisonous_stream_costs_two_upstreams_and_no_neighbour() {
    let stack = start(&[("encoders", 1), ("engines", 3)], "engines").await;
    check(stack, true, async |caller, entry| {
        let answer = caller.pipeline_stream(entry, "explain", MARKER).await.expect("an answer");
        assert_eq!(answer.done, None);
        answer.problem.expect("a problem")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poisonous_call_costs_two_upstreams_and_no_neighbour() {
    let stack = start(&[("work-orders", 4)], "work-orders").await;
    check(stack, false, async |caller, entry| {
        let answer = caller.search(entry, MARKER, &[]).await.expect("an answer");
        assert!(answer.status >= 400);
        answer.body
    })
    .await;
}
