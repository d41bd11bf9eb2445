//! A leaving upstream gets no new work and completes the calls in progress.

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

/// Time after acceptance of the change from which on no call may start at the upstream.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);
/// Time after that during which the calls are counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(20);
/// Number of requests for two upstreams that each run one call at a time.
const QUEUED_REQUESTS: usize = 16;

/// Lets the tests run one stack at a time.
static ONE_STACK: Mutex<()> = Mutex::const_new(());

/// What makes an upstream leave.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// An operator command.
    Command,
    /// Its state in the instance list of the platform.
    InstanceList,
}

impl Cause {
    async fn apply(self, stack: &Stack, name: &str) {
        match self {
            Self::Command => stack.run_accepted_command(&["upstream", "leave", name]).await,
            Self::InstanceList => stack.set_listed_state(name, InstanceState::Leaving).await,
        }
        .expect("the change is accepted");
    }
}

/// Makes all upstreams in `north` leave under load. A stream that runs there must complete, and no
/// other call may start there.
async fn check_leaving_under_load(cause: Cause) {
    let _one = ONE_STACK.lock().await;
    let mut plan = StackPlan::small(&["north", "south"], &["north", "south"]);
    plan.upstreams.retain(|it| it.name != "engines-south");
    plan.change_pool_switches("engines", |it| it.token_delay_ms = 250);
    let stack = Stack::start(plan).await.expect("the stack starts");
    let entries: Vec<SocketAddr> = stack.entries.iter().map(|it| it.address).collect();
    let caller = Caller::new("lone-star");
    let streaming = caller.pipeline_stream(entries[0], "draft", "long dispute");
    let changes = async {
        let engine = stack.upstream_index("engines-north").expect("an engine");
        stack.wait_calls_running(engine, 1).await.expect("the stream runs in north");
        let traffic = SteadyTraffic::start(caller.clone(), entries.clone(), INTERVAL);
        stack.wait_more_calls_in("north", 20).await.expect("calls in north");
        for name in ["engines-north", "work-orders-north"] {
            cause.apply(&stack, name).await;
        }
        tokio::time::sleep(NO_NEW_WORK_AFTER).await;
        let north = stack.calls_in("north").await.unwrap();
        tokio::time::sleep(OBSERVATION_TIME).await;
        assert_eq!(stack.calls_in("north").await.unwrap(), north);
        traffic.close().await
    };
    let (streamed, checked) = tokio::join!(streaming, changes);
    assert!(is_complete_draft(&streamed.expect("a stream"), "long dispute"));
    checked.check(&stack).await.expect("the records of the upstreams");
    stack.close().await.expect("all processes exit with success");
}

/// Makes an upstream leave while calls are queued there. None of these may start there, and each
/// must complete or be refused.
async fn check_leaving_with_queue(cause: Cause) {
    let _one = ONE_STACK.lock().await;
    let mut plan = StackPlan::small(&["north"], &["north", "south"]).only_pool("work-orders");
    let limits = "concurrency = 1\ncold_concurrency = 1";
    plan.document = plan.document.replace("concurrency = 32\ncold_concurrency = 2", limits);
    // If the upstream did not leave, its queue would last beyond the observation time. The deadline
    // leaves time for that.
    plan.document = plan.document.replace("deadline_ms = 10000", "deadline_ms = 30000");
    plan.change_pool_switches("work-orders", |it| it.delay_ms = 800);
    let stack = Stack::start(plan).await.expect("the stack starts");
    let (caller, entry) = (Caller::new("lone-star"), stack.entry(0));
    let requests = join_all((0..QUEUED_REQUESTS).map(|it| read_order(&caller, entry, it)));
    let leaving = async {
        let has_queue = |status: &serde_json::Value| {
            let mut upstreams = status["upstreams"].as_array().into_iter().flatten();
            let queued = |it: &serde_json::Value| it["load"]["queued"].as_u64() > Some(2);
            upstreams.any(|it| it["name"] == "work-orders-north" && queued(it))
        };
        stack
            .wait_status(entry, "calls in the queue of the upstream", has_queue)
            .await
            .expect("the upstream has a queue");
        cause.apply(&stack, "work-orders-north").await;
        tokio::time::sleep(NO_NEW_WORK_AFTER).await;
        let north = stack.calls_in("north").await.unwrap();
        tokio::time::sleep(OBSERVATION_TIME).await;
        assert_eq!(stack.calls_in("north").await.unwrap(), north);
    };
    let (checks, ()) = tokio::join!(requests, leaving);
    for check in checks {
        assert!(!matches!(check, ResponseCheck::Unexpected(_)), "{check:?}");
    }
    stack.close().await.expect("all processes exit with success");
}

#[tokio::test(flavor = "multi_thread")]
async fn queued_calls_do_not_start_after_an_operator_command() {
    check_leaving_with_queue(Cause::Command).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn queued_calls_do_not_start_after_a_change_of_the_instance_list() {
    check_leaving_with_queue(Cause::InstanceList).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_gets_no_new_work_after_an_operator_command() {
    check_leaving_under_load(Cause::Command).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_gets_no_new_work_after_a_change_of_the_instance_list() {
    check_leaving_under_load(Cause::InstanceList).await;
}
