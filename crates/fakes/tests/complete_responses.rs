//! Every caller gets the complete response to its own request although agents, upstreams or
//! connections fail; an incomplete stream is always reported as such.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use futures::future::join_all;
use tokio::task::JoinHandle;
use yuccatrail_fakes::{
    stack::{
        caller::{CallerError, ReceivedResponse, StreamedResponse},
        expected,
        faults::wait_until,
        plan::StackPlan,
        process::Signal,
        run::Stack,
    },
    upstream::state::UpstreamSwitches,
};

/// Number of rounds with each fault.
const ROUNDS: usize = 3;
/// Number of requests of each form at each entry; few enough that the retry budget covers the loss
/// of all plain ones.
const REQUESTS: usize = 3;
/// Number of requests at each entry before a fault, which fill the retry budget.
const BUDGET_REQUESTS: usize = 20;
/// Time between two tokens, in milliseconds.
const TOKEN_DELAY_MS: u64 = 30;
/// Number of tokens after which an upstream ends its streams prematurely.
const CUT_AFTER_TOKENS: u32 = 5;
/// Pause after which an entry regards the connection to an agent as lost, in milliseconds.
const LONG_PAUSE_MS: u64 = 2_500;

/// Requests in flight, with their inputs.
struct InFlight {
    plain: Vec<(String, JoinHandle<Result<ReceivedResponse, CallerError>>)>,
    streamed: Vec<(String, JoinHandle<Result<StreamedResponse, CallerError>>)>,
}

/// Numbers of complete and truncated streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Streams {
    complete: usize,
    truncated: usize,
}

impl InFlight {
    fn send(stack: &Stack, round: &str) -> Self {
        let (mut plain, mut streamed) = (Vec::new(), Vec::new());
        for number in 0..REQUESTS * 2 {
            let (caller, entry) = (stack.caller.clone(), stack.entry(number % 2));
            let input = format!("plain {round} {number}");
            let text = input.clone();
            let call = async move { caller.pipeline(entry, "explain", &text).await };
            plain.push((input, tokio::spawn(call)));
            let caller = stack.caller.clone();
            let input = format!("streamed {round} {number}");
            let text = input.clone();
            let call = async move { caller.pipeline_stream(entry, "explain", &text).await };
            streamed.push((input, tokio::spawn(call)));
        }
        Self { plain, streamed }
    }

    /// Checks that plain responses are complete and that every truncated stream ends with a
    /// problem.
    async fn check(self) -> Streams {
        for (input, call) in self.plain {
            let response =
                call.await.expect("the sending task does not panic").expect("a response");
            assert_eq!(response.status, 200, "{input}: {}", response.body);
            assert_eq!(response.body["output"]["text"], expected::explanation(&input));
        }
        let mut streams = Streams::default();
        for (input, call) in self.streamed {
            let response = call.await.expect("the sending task does not panic").expect("a stream");
            let expected_text = expected::explanation(&input);
            assert!(expected_text.starts_with(&response.text), "{input}: {}", response.text);
            match response.done {
                Some(done) => {
                    assert_eq!(response.text, expected_text, "{input}");
                    assert_eq!(done["output"]["text"], expected_text);
                    streams.complete += 1;
                }
                None => {
                    assert!(
                        response.problem.is_some(),
                        "{input}: a stream ends with a `done` or a `problem` event"
                    );
                    streams.truncated += 1;
                }
            }
        }
        streams
    }
}

async fn start() -> Stack {
    let mut plan = StackPlan::short(&[("encoders", 1), ("engines", 2)]);
    plan.change_pool_switches("engines", |it| it.token_delay_ms = TOKEN_DELAY_MS);
    Stack::start(plan).await.expect("the stack starts")
}

/// Sends the requests that fill the retry budget.
async fn fill_retry_budget(stack: &Stack) {
    let mut calls = Vec::new();
    for number in 0..BUDGET_REQUESTS * 2 {
        let (caller, entry) = (stack.caller.clone(), stack.entry(number % 2));
        calls.push(async move { caller.pipeline(entry, "explain", "warm-up").await });
    }
    join_all(calls).await;
}

/// Sends requests and waits until tokens are generated; returns them with the number of an engine
/// that is in use.
async fn send_and_wait_for_output(stack: &Stack, round: &str) -> (InFlight, usize) {
    fill_retry_budget(stack).await;
    let in_flight = InFlight::send(stack, round);
    let busy = AtomicUsize::new(0);
    wait_until("an engine with calls in progress", async || {
        for number in 1..stack.upstreams.len() {
            let record = stack.record(&stack.upstreams[number]).await;
            if record.is_ok_and(|it| it.running > 0) {
                busy.store(number, Ordering::SeqCst);
            }
        }
        busy.load(Ordering::SeqCst) > 0
    })
    .await
    .expect("an engine with calls in progress");
    tokio::time::sleep(Duration::from_millis(TOKEN_DELAY_MS * 3)).await;
    (in_flight, busy.into_inner())
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_complete_after_connections_are_closed() {
    let stack = start().await;
    let proxies = [
        stack.insert_proxy(1).await.expect("a proxy"),
        stack.insert_proxy(2).await.expect("a proxy"),
    ];
    for round in 0..ROUNDS {
        let (in_flight, _) = send_and_wait_for_output(&stack, &round.to_string()).await;
        for proxy in &proxies {
            proxy.close_connections();
        }
        let streams = in_flight.check().await;
        assert_eq!(streams, Streams { complete: REQUESTS * 2, truncated: 0 });
    }
    for proxy in proxies {
        proxy.close();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_complete_or_ends_with_a_problem_when_its_agent_is_killed() {
    let mut truncated = 0;
    for round in 0..ROUNDS {
        // Each round has its own stack: an upstream that failed in one round would be ejected in
        // the next.
        let mut stack = start().await;
        let (in_flight, busy) = send_and_wait_for_output(&stack, &round.to_string()).await;
        stack.replace_agent(busy).await.expect("the agent starts");
        truncated += in_flight.check().await.truncated;
    }
    assert!(truncated > 0, "no stream was truncated by the loss of its agent");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_complete_or_ends_with_a_problem_when_its_agent_is_paused() {
    for round in 0..ROUNDS {
        let stack = start().await;
        let (in_flight, busy) = send_and_wait_for_output(&stack, &round.to_string()).await;
        let agent = &stack.upstreams[busy].agent;
        agent.signal(Signal::Pause).await.expect("the agent is paused");
        tokio::time::sleep(Duration::from_millis(LONG_PAUSE_MS)).await;
        agent.signal(Signal::Resume).await.expect("the agent resumes");
        in_flight.check().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_complete_or_ends_with_a_problem_when_its_upstream_truncates_it() {
    let stack = start().await;
    let pair = &stack.upstreams[1];
    let truncating =
        UpstreamSwitches { cut_after_tokens: Some(CUT_AFTER_TOKENS), ..pair.plan.switches.clone() };
    let mut truncated = 0;
    for round in 0..ROUNDS {
        fill_retry_budget(&stack).await;
        stack.set_upstream_switches(pair, &truncating).await.expect("the switches are set");
        truncated += InFlight::send(&stack, &round.to_string()).check().await.truncated;
        stack.set_upstream_switches(pair, &pair.plan.switches).await.expect("the switches are set");
    }
    assert!(truncated > 0, "no stream was truncated");
}
