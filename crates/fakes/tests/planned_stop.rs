//! A planned stop of an entry or an agent cuts no request and loses none.

use std::{net::SocketAddr, time::Duration};

use futures::future::join_all;
use tokio::sync::Mutex;
use yuccatrail_fakes::stack::{
    caller::Caller,
    plan::StackPlan,
    process::Signal,
    run::Stack,
    traffic::{ResponseCheck, SteadyTraffic, is_complete_draft, read_order},
};

/// Requests in progress when an entry is told to stop.
const REQUESTS: usize = 40;
/// Time between two requests while an agent stops.
const INTERVAL: Duration = Duration::from_millis(40);

/// Requests that are sent at once to make a queue.
const BURST: usize = 30;
/// Number of the first request of the burst; the steady traffic has lower ones.
const FIRST_OF_BURST: usize = 100_000;

/// Keeps one stack at a time on the machine.
static ONE_STACK: Mutex<()> = Mutex::const_new(());

/// Starts a stack with slow work orders and one slow engine.
async fn start(concurrency: u32, delay_ms: u64) -> Stack {
    let mut plan = StackPlan::small(&["north", "south"], &["north", "south"]);
    plan.upstreams.retain(|it| it.name != "engines-south");
    let limits = format!("concurrency = {concurrency}\ncold_concurrency = {concurrency}");
    plan.document = plan.document.replace("concurrency = 32\ncold_concurrency = 2", &limits);
    plan.change_pool_switches("engines", |it| it.token_delay_ms = 150);
    plan.change_pool_switches("work-orders", |it| it.delay_ms = delay_ms);
    Stack::start(plan).await.expect("the stack starts")
}

/// Waits until the readiness check at `address` refuses.
async fn wait_not_ready(caller: &Caller, address: SocketAddr) {
    loop {
        let answer = caller.send(address, "GET", "/readyz", &[], "").await.expect("an answer");
        if answer.status == 503 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_answers_all_that_it_has_and_refuses_the_rest() {
    let _one = ONE_STACK.lock().await;
    let mut stack = start(32, 1_000).await;
    let caller = Caller::new("lone-star");
    let entry = stack.entries.remove(0);
    let address = entry.address;
    let plain = (0..REQUESTS).map(|it| read_order(&caller, address, it));
    let streamed = caller.pipeline_stream(address, "draft", "long dispute");
    let stopped = async {
        let has_all = |it: &serde_json::Value| it["in_progress"] == REQUESTS + 1;
        stack.wait_status(address, "requests in progress", has_all).await.expect("in progress");
        entry.signal(Signal::Terminate).await.expect("a signal");
        wait_not_ready(&caller, address).await;
        let refused = read_order(&caller, address, REQUESTS).await;
        assert!(matches!(refused, ResponseCheck::NotRun(_)), "{refused:?}");
    };
    let (plain, streamed, ()) = tokio::join!(join_all(plain), streamed, stopped);
    assert_eq!(plain, vec![ResponseCheck::Complete; REQUESTS]);
    assert!(is_complete_draft(&streamed.expect("a stream"), "long dispute"));
    let status = entry.close().await.expect("the entry stops");
    assert_eq!(status.code(), Some(0));
    stack.close().await.expect("a clean stop");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_agent_finishes_what_runs_and_hands_its_queue_to_others() {
    let _one = ONE_STACK.lock().await;
    let mut stack = start(2, 150).await;
    let caller = Caller::new("lone-star");
    let entries: Vec<SocketAddr> = stack.entries.iter().map(|it| it.address).collect();
    let traffic = SteadyTraffic::start(caller.clone(), entries.clone(), INTERVAL);
    let streamed = caller.pipeline_stream(entries[0], "draft", "long dispute");
    // The steady traffic alone leaves it to chance whether a queue stands when the test looks.
    let burst = join_all((0..BURST).map(|it| read_order(&caller, entries[0], FIRST_OF_BURST + it)));
    let stopped = async {
        let engine = stack.upstream_index("engines-north").expect("an engine");
        stack.wait_calls_running(engine, 1).await.expect("the stream runs");
        let orders = stack.upstream_index("work-orders-north").expect("an upstream");
        // Every call slot is taken and further calls wait in the agent.
        let has_queue = |it: &serde_json::Value| {
            let mut upstreams = it["upstreams"].as_array().into_iter().flatten();
            upstreams.any(|it| it["name"] == "work-orders-north" && it["load"]["queued"] != 0)
        };
        stack.wait_status(entries[0], "a queue", has_queue).await.expect("a queue");
        for agent in [&stack.upstreams[engine].agent, &stack.upstreams[orders].agent] {
            agent.signal(Signal::Terminate).await.expect("a signal");
            wait_not_ready(&caller, agent.admin_address.expect("an address")).await;
        }
        let before = stack.record(&stack.upstreams[orders]).await.expect("a record").calls;
        (before, orders)
    };
    let (streamed, burst, (before, orders)) = tokio::join!(streamed, burst, stopped);
    for verdict in burst {
        assert!(
            matches!(verdict, ResponseCheck::Complete | ResponseCheck::NotRun(_)),
            "{verdict:?}"
        );
    }
    assert!(is_complete_draft(&streamed.expect("a stream"), "long dispute"));
    let tally = traffic.close().await;
    let after = stack.record(&stack.upstreams[orders]).await.expect("a record").calls;
    assert_eq!(after, before);
    tally.check(&stack).await.expect("records");
    for pair in &mut stack.upstreams {
        if pair.plan.data_centre == "north" {
            let status = pair.agent.wait().await.expect("the agent stops");
            assert_eq!(status.code(), Some(0));
        }
    }
    stack.close().await.expect("a clean stop");
}
