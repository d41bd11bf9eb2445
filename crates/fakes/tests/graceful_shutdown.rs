//! A graceful shutdown of an entry or an agent interrupts no request and loses none.

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

/// Number of requests in progress when an entry begins its graceful shutdown.
const REQUESTS: usize = 40;
/// Time between two requests of the steady load while an agent shuts down.
const INTERVAL: Duration = Duration::from_millis(40);

/// Number of requests that are sent at the same time so that a queue builds up.
const BURST: usize = 30;
/// Number of the first request in the burst; the steady load uses lower numbers.
const FIRST_BURST_NUMBER: usize = 100_000;

/// Lets the tests run one stack at a time.
static ONE_STACK: Mutex<()> = Mutex::const_new(());

/// Starts a stack with one slow engine, and with work orders that have the given concurrency and
/// delay.
async fn start(concurrency: u32, delay_ms: u64) -> Stack {
    let mut plan = StackPlan::small(&["north", "south"], &["north", "south"]);
    plan.upstreams.retain(|it| it.name != "engines-south");
    let limits = format!("concurrency = {concurrency}\ncold_concurrency = {concurrency}");
    plan.document = plan.document.replace("concurrency = 32\ncold_concurrency = 2", &limits);
    plan.change_pool_switches("engines", |it| it.token_delay_ms = 150);
    plan.change_pool_switches("work-orders", |it| it.delay_ms = delay_ms);
    Stack::start(plan).await.expect("the stack starts")
}

/// Waits until the readiness check at `address` returns status 503.
async fn wait_not_ready(caller: &Caller, address: SocketAddr) {
    loop {
        let response = caller.send(address, "GET", "/readyz", &[], "").await.expect("a response");
        if response.status == 503 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_shuts_down_completes_its_requests_and_refuses_new_ones() {
    let _one = ONE_STACK.lock().await;
    let mut stack = start(32, 1_000).await;
    let caller = Caller::new("lone-star");
    let entry = stack.entries.remove(0);
    let address = entry.address;
    let plain = (0..REQUESTS).map(|it| read_order(&caller, address, it));
    let streamed = caller.pipeline_stream(address, "draft", "long dispute");
    let shutdown = async {
        let has_all_requests = |it: &serde_json::Value| it["in_progress"] == REQUESTS + 1;
        stack
            .wait_status(address, "all requests in progress", has_all_requests)
            .await
            .expect("all requests are in progress");
        entry.signal(Signal::Terminate).await.expect("the signal is sent");
        wait_not_ready(&caller, address).await;
        let refused = read_order(&caller, address, REQUESTS).await;
        assert!(matches!(refused, ResponseCheck::NotRun(_)), "{refused:?}");
    };
    let (plain, streamed, ()) = tokio::join!(join_all(plain), streamed, shutdown);
    assert_eq!(plain, vec![ResponseCheck::Complete; REQUESTS]);
    assert!(is_complete_draft(&streamed.expect("a stream"), "long dispute"));
    let status = entry.close().await.expect("the entry exits");
    assert_eq!(status.code(), Some(0));
    stack.close().await.expect("all processes exit with success");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_shuts_down_completes_running_calls_and_returns_its_queue() {
    let _one = ONE_STACK.lock().await;
    let mut stack = start(2, 150).await;
    let caller = Caller::new("lone-star");
    let entries: Vec<SocketAddr> = stack.entries.iter().map(|it| it.address).collect();
    let traffic = SteadyTraffic::start(caller.clone(), entries.clone(), INTERVAL);
    let streamed = caller.pipeline_stream(entries[0], "draft", "long dispute");
    // The steady load alone would leave it to chance whether there is a queue at the check below.
    let burst =
        join_all((0..BURST).map(|it| read_order(&caller, entries[0], FIRST_BURST_NUMBER + it)));
    let shutdown = async {
        let engine = stack.upstream_index("engines-north").expect("an engine");
        stack.wait_calls_running(engine, 1).await.expect("the stream runs");
        let orders = stack.upstream_index("work-orders-north").expect("an upstream");
        // All slots of the upstream are in use and further calls wait in the queue of the agent.
        let has_queue = |it: &serde_json::Value| {
            let mut upstreams = it["upstreams"].as_array().into_iter().flatten();
            upstreams.any(|it| it["name"] == "work-orders-north" && it["load"]["queued"] != 0)
        };
        stack
            .wait_status(entries[0], "calls in the queue of the agent", has_queue)
            .await
            .expect("the agent has a queue");
        for agent in [&stack.upstreams[engine].agent, &stack.upstreams[orders].agent] {
            agent.signal(Signal::Terminate).await.expect("the signal is sent");
            wait_not_ready(
                &caller,
                agent.admin_address.expect("the agent reports an admin address"),
            )
            .await;
        }
        let before =
            stack.record(&stack.upstreams[orders]).await.expect("the record of the upstream").calls;
        (before, orders)
    };
    let (streamed, burst, (before, orders)) = tokio::join!(streamed, burst, shutdown);
    for check in burst {
        assert!(matches!(check, ResponseCheck::Complete | ResponseCheck::NotRun(_)), "{check:?}");
    }
    assert!(is_complete_draft(&streamed.expect("a stream"), "long dispute"));
    let checked = traffic.close().await;
    let after =
        stack.record(&stack.upstreams[orders]).await.expect("the record of the upstream").calls;
    assert_eq!(after, before);
    checked.check(&stack).await.expect("the records of the upstreams");
    for pair in &mut stack.upstreams {
        if pair.plan.data_centre == "north" {
            let status = pair.agent.wait().await.expect("the agent exits");
            assert_eq!(status.code(), Some(0));
        }
    }
    stack.close().await.expect("all processes exit with success");
}
