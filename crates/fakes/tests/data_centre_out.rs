//! A data centre that was taken out gets no new work, whichever part fails meanwhile.

use std::{net::SocketAddr, time::Duration};

use tokio::sync::Mutex;
use yuccatrail_fakes::{
    platform::Outage,
    stack::{
        caller::Caller,
        fault_proxy::FaultProxy,
        plan::StackPlan,
        process::Signal,
        run::Stack,
        traffic::{SteadyTraffic, is_complete_draft, read_order},
    },
};

/// Time after acceptance of the change from which on no call may start in the data centre.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);
/// Time after that during which the calls are counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(20);
/// Number of requests that are sent to fill the queue of the agent before it is paused.
const QUEUED_REQUESTS: usize = 8;
/// Lowest number of requests in the queue when the agent is paused.
const MIN_QUEUED: u64 = 3;

/// Lets the tests run one stack at a time.
static ONE_STACK: Mutex<()> = Mutex::const_new(());

/// Faults while the data centre is taken out.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// One entry loses its connection to the platform before the change.
    isolate_entry: bool,
    /// The platform goes down as soon as the change is accepted.
    outage: bool,
}

/// Starts a stack with two entries in `north`, the second of which calls the platform through the
/// proxy; upstreams are in both data centres, but the only engine is in `north`.
async fn start() -> (Stack, FaultProxy) {
    let mut plan = StackPlan::small(&["north"], &["north", "south"]);
    plan.upstreams.retain(|it| it.name != "engines-south");
    plan.change_pool_switches("engines", |it| it.token_delay_ms = 250);
    let mut stack = Stack::start(plan).await.expect("the stack starts");
    let proxy = FaultProxy::open(stack.platform.address).await.expect("a proxy");
    stack.add_entry("north", proxy.address()).await.expect("a second entry");
    stack.register_entries(&["north", "north"]).await.expect("the entries know their peers");
    (stack, proxy)
}

/// Takes `north` out under load and back in. A stream that runs there must complete, and no other
/// call may start there meanwhile.
async fn take_out_and_back(faults: Faults) {
    let _one = ONE_STACK.lock().await;
    let (stack, proxy) = start().await;
    let entries: Vec<SocketAddr> = stack.entries.iter().map(|it| it.address).collect();
    let caller = Caller::new("lone-star");
    let streaming = caller.pipeline_stream(entries[0], "draft", "long dispute");
    let mut changes = Box::pin(async {
        let north = stack.upstream_index("engines-north").expect("an engine in north");
        stack.wait_calls_running(north, 1).await.expect("the stream runs in north");
        let traffic = SteadyTraffic::start(caller.clone(), entries.clone(), INTERVAL);
        stack.wait_more_calls_in("north", 20).await.expect("calls in north");
        if faults.isolate_entry {
            proxy.close();
        }
        stack
            .run_accepted_command(&["data-centre", "out", "north"])
            .await
            .expect("the change is accepted");
        if faults.outage {
            stack.set_outage(Some(Outage::Unavailable)).await.expect("the outage starts");
        }
        tokio::time::sleep(NO_NEW_WORK_AFTER).await;
        let (north, south) = (stack.calls_in("north").await, stack.calls_in("south").await);
        tokio::time::sleep(OBSERVATION_TIME).await;
        assert_eq!(stack.calls_in("north").await.unwrap(), north.unwrap());
        stack.wait_more_calls_in("south", south.unwrap()).await.expect("calls in south");
        traffic
    });
    let (streamed, traffic) = tokio::join!(streaming, &mut changes);
    drop(changes);
    assert!(is_complete_draft(&streamed.expect("a stream"), "long dispute"));
    stack.set_outage(None).await.expect("the outage ends");
    let north = stack.calls_in("north").await.unwrap();
    stack
        .run_accepted_command(&["data-centre", "in", "north"])
        .await
        .expect("the change is accepted");
    stack.wait_more_calls_in("north", north).await.expect("calls in north again");
    traffic.close().await.check(&stack).await.expect("the records of the upstreams");
    stack.close().await.expect("all processes exit with success");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_is_out_gets_no_new_work_under_steady_load() {
    take_out_and_back(Faults::default()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_is_out_gets_no_new_work_from_an_entry_without_the_platform() {
    take_out_and_back(Faults { isolate_entry: true, ..Faults::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_is_out_gets_no_new_work_if_the_platform_goes_down() {
    take_out_and_back(Faults { outage: true, isolate_entry: false }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_was_paused_during_the_change_starts_no_queued_calls() {
    let _one = ONE_STACK.lock().await;
    let mut plan = StackPlan::small(&["north", "south"], &["north"]).only_pool("work-orders");
    plan.document = plan.document.replace("concurrency = 32", "concurrency = 1");
    plan.document = plan.document.replace("cold_concurrency = 2", "cold_concurrency = 1");
    plan.change_pool_switches("work-orders", |it| it.delay_ms = 700);
    let mut stack = Stack::start(plan).await.expect("the stack starts");
    let mut requests = tokio::task::JoinSet::new();
    for number in 0..QUEUED_REQUESTS {
        let (caller, entry) = (stack.caller.clone(), stack.entry(0));
        requests.spawn(async move { read_order(&caller, entry, number).await });
    }
    // The entry that sends the requests learns the load from the replies of the agent.
    let has_queue = |status: &serde_json::Value| {
        status["upstreams"][0]["load"]["queued"].as_u64() >= Some(MIN_QUEUED)
    };
    stack
        .wait_status(stack.entry(0), "requests in the queue of the agent", has_queue)
        .await
        .expect("the agent has a queue");

    stack.upstreams[0].agent.signal(Signal::Pause).await.expect("the agent is paused");
    stack
        .run_accepted_command(&["data-centre", "out", "north"])
        .await
        .expect("the change is accepted");
    // Once the entry that sent them is gone, nobody cancels the queued requests.
    stack.entries.remove(0).kill().await.expect("the entry is killed");
    tokio::time::sleep(NO_NEW_WORK_AFTER).await;
    let before = stack.calls_in("north").await.unwrap();
    stack.upstreams[0].agent.signal(Signal::Resume).await.expect("the agent resumes");
    stack.wait_connected(stack.entry(0), 1).await.expect("the entry reconnects to the agent");
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(stack.calls_in("north").await.unwrap(), before);
    requests.join_all().await;
    stack.close().await.expect("all processes exit with success");
}
