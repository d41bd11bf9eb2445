//! A leaving upstream gets no new work and finishes what it has.

use std::{net::SocketAddr, time::Duration};

use futures::future::join_all;
use tokio::sync::Mutex;
use yuccatrail_core::membership::InstanceState;
use yuccatrail_fakes::stack::{
    caller::Caller,
    plan::StackPlan,
    run::Stack,
    traffic::{ResponseCheck, SteadyTraffic, is_complete_draft, read_order},
};

/// Time after acceptance from which on there is no new work.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);
/// Time for which the calls are then watched.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(20);
/// Requests that wait for two upstreams with one call at a time.
const QUEUED: usize = 16;

/// Keeps one stack at a time on the machine.
static ONE_STACK: Mutex<()> = Mutex::const_new(());

/// How an upstream comes to leave.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// An operator's command.
    Command,
    /// The state in the platform's instance list.
    List,
}

impl Cause {
    async fn apply(self, stack: &Stack, name: &str) {
        match self {
            Self::Command => stack.run_accepted_command(&["upstream", "leave", name]).await,
            Self::List => stack.set_listed_state(name, InstanceState::Leaving).await,
        }
        .expect("accepted");
    }
}

async fn leave(cause: Cause) {
    let _one = ONE_STACK.lock().await;
    let mut plan = StackPlan::small(&["north", "south"], &["north", "south"]);
    plan.upstreams.retain(|it| it.name != "engines-south");
    plan.change_pool_switches("engines", |it| it.token_delay_ms = 250);
    let stack = Stack::start(plan).await.expect("the stack starts");
    let entries: Vec<SocketAddr> = stack.entries.iter().map(|it| it.address).collect();
    let caller = Caller::new("lone-star");
    let streaming = caller.pipeline_stream(entries[0], "draft", "long dispute");
    let operated = async {
        let engine = stack.upstream_index("engines-north").expect("an engine");
        stack.wait_calls_running(engine, 1).await.expect("the stream runs in north");
        let traffic = SteadyTraffic::start(caller.clone(), entries.clone(), INTERVAL);
        stack.wait_more_calls_in("north", 20).await.expect("work in north");
        for name in ["engines-north", "work-orders-north"] {
            cause.apply(&stack, name).await;
        }
        tokio::time::sleep(NO_NEW_WORK_AFTER).await;
        let north = stack.calls_in("north").await.unwrap();
        tokio::time::sleep(WATCH_TIME).await;
        assert_eq!(stack.calls_in("north").await.unwrap(), north);
        traffic.close().await
    };
    let (streamed, tally) = tokio::join!(streaming, operated);
    assert!(is_complete_draft(&streamed.expect("a stream"), "long dispute"));
    tally.check(&stack).await.expect("records");
    stack.close().await.expect("a clean stop");
}

async fn leave_with_a_queue(cause: Cause) {
    let _one = ONE_STACK.lock().await;
    let mut plan = StackPlan::small(&["north"], &["north", "south"]).only_pool("work-orders");
    let limits = "concurrency = 1\ncold_concurrency = 1";
    plan.document = plan.document.replace("concurrency = 32\ncold_concurrency = 2", limits);
    // Without the change the queue lasts beyond the time for which the calls are watched.
    plan.document = plan.document.replace("deadline_ms = 10000", "deadline_ms = 30000");
    plan.change_pool_switches("work-orders", |it| it.delay_ms = 800);
    let stack = Stack::start(plan).await.expect("the stack starts");
    let (caller, entry) = (Caller::new("lone-star"), stack.entry(0));
    let requests = join_all((0..QUEUED).map(|it| read_order(&caller, entry, it)));
    let left = async {
        let has_queue = |status: &serde_json::Value| {
            let mut upstreams = status["upstreams"].as_array().into_iter().flatten();
            let queued = |it: &serde_json::Value| it["load"]["queued"].as_u64() > Some(2);
            upstreams.any(|it| it["name"] == "work-orders-north" && queued(it))
        };
        stack.wait_status(entry, "a queue", has_queue).await.expect("a queue");
        cause.apply(&stack, "work-orders-north").await;
        tokio::time::sleep(NO_NEW_WORK_AFTER).await;
        let north = stack.calls_in("north").await.unwrap();
        tokio::time::sleep(WATCH_TIME).await;
        assert_eq!(stack.calls_in("north").await.unwrap(), north);
    };
    let (verdicts, ()) = tokio::join!(requests, left);
    for verdict in verdicts {
        assert!(!matches!(verdict, ResponseCheck::Unexpected(_)), "{verdict:?}");
    }
    stack.close().await.expect("a clean stop");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_queued_work_after_the_operators_command() {
    leave_with_a_queue(Cause::Command).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_queued_work_after_the_instance_list_says_so() {
    leave_with_a_queue(Cause::List).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_after_the_operators_command() {
    leave(Cause::Command).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_after_the_instance_list_says_so() {
    leave(Cause::List).await;
}
