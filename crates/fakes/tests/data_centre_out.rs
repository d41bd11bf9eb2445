//! A data centre that was taken out gets no new work, whatever fails meanwhile.

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

/// Time after acceptance from which on there is no new work.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);
/// Time for which the calls are then watched.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(20);
/// Requests that wait in the queue of a paused agent.
const QUEUED: usize = 8;
/// Requests that still wait when the agent is paused, at least.
const STILL_QUEUED: u64 = 3;

/// Keeps one stack at a time on the machine.
static ONE_STACK: Mutex<()> = Mutex::const_new(());

/// What fails while the data centre is taken out.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// One entry loses the platform before the change.
    cut_entry: bool,
    /// The platform goes down once the change is accepted.
    outage: bool,
}

/// Starts two entries in `north`; the second reaches the platform through the relay.
async fn start() -> (Stack, FaultProxy) {
    let mut plan = StackPlan::small(&["north"], &["north", "south"]);
    plan.upstreams.retain(|it| it.name != "engines-south");
    plan.change_pool_switches("engines", |it| it.token_delay_ms = 250);
    let mut stack = Stack::start(plan).await.expect("the stack starts");
    let proxy = FaultProxy::open(stack.platform.address).await.expect("a proxy");
    stack.add_entry("north", proxy.address()).await.expect("a second entry");
    stack.register_entries(&["north", "north"]).await.expect("the entries know each other");
    (stack, proxy)
}

async fn take_out_and_back(faults: Faults) {
    let _one = ONE_STACK.lock().await;
    let (stack, proxy) = start().await;
    let entries: Vec<SocketAddr> = stack.entries.iter().map(|it| it.address).collect();
    let caller = Caller::new("lone-star");
    let streaming = caller.pipeline_stream(entries[0], "draft", "long dispute");
    let mut operated = Box::pin(async {
        let north = stack.upstream_index("engines-north").expect("an engine in north");
        stack.wait_calls_running(north, 1).await.expect("the stream runs in north");
        let traffic = SteadyTraffic::start(caller.clone(), entries.clone(), INTERVAL);
        stack.wait_more_calls_in("north", 20).await.expect("work in north");
        if faults.cut_entry {
            proxy.close();
        }
        stack.run_accepted_command(&["data-centre", "out", "north"]).await.expect("accepted");
        if faults.outage {
            stack.set_outage(Some(Outage::Unavailable)).await.expect("an outage");
        }
        tokio::time::sleep(NO_NEW_WORK_AFTER).await;
        let (north, south) = (stack.calls_in("north").await, stack.calls_in("south").await);
        tokio::time::sleep(WATCH_TIME).await;
        assert_eq!(stack.calls_in("north").await.unwrap(), north.unwrap());
        stack.wait_more_calls_in("south", south.unwrap()).await.expect("work in south");
        traffic
    });
    let (streamed, traffic) = tokio::join!(streaming, &mut operated);
    drop(operated);
    assert!(is_complete_draft(&streamed.expect("a stream"), "long dispute"));
    stack.set_outage(None).await.expect("the platform is back");
    let north = stack.calls_in("north").await.unwrap();
    stack.run_accepted_command(&["data-centre", "in", "north"]).await.expect("accepted");
    stack.wait_more_calls_in("north", north).await.expect("work in north again");
    traffic.close().await.check(&stack).await.expect("records");
    stack.close().await.expect("a clean stop");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_under_steady_traffic() {
    take_out_and_back(Faults::default()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_from_an_entry_without_the_platform() {
    take_out_and_back(Faults { cut_entry: true, ..Faults::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_when_the_platform_goes_down_after_acceptance() {
    take_out_and_back(Faults { outage: true, cut_entry: false }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_queued_work_from_an_agent_that_was_paused_during_the_change() {
    let _one = ONE_STACK.lock().await;
    let mut plan = StackPlan::small(&["north", "south"], &["north"]).only_pool("work-orders");
    plan.document = plan.document.replace("concurrency = 32", "concurrency = 1");
    plan.document = plan.document.replace("cold_concurrency = 2", "cold_concurrency = 1");
    plan.change_pool_switches("work-orders", |it| it.delay_ms = 700);
    let mut stack = Stack::start(plan).await.expect("the stack starts");
    let mut requests = tokio::task::JoinSet::new();
    for number in 0..QUEUED {
        let (caller, entry) = (stack.caller.clone(), stack.entry(0));
        requests.spawn(async move { read_order(&caller, entry, number).await });
    }
    // The entry that sends the requests learns the load from each reply.
    let has_queue = |status: &serde_json::Value| {
        status["upstreams"][0]["load"]["queued"].as_u64() >= Some(STILL_QUEUED)
    };
    stack.wait_status(stack.entry(0), "queued requests", has_queue).await.expect("a queue");

    stack.upstreams[0].agent.signal(Signal::Pause).await.expect("paused");
    stack.run_accepted_command(&["data-centre", "out", "north"]).await.expect("accepted");
    // Without the entry that sent them nobody cancels the queued requests.
    stack.entries.remove(0).kill().await.expect("killed");
    tokio::time::sleep(NO_NEW_WORK_AFTER).await;
    let before = stack.calls_in("north").await.unwrap();
    stack.upstreams[0].agent.signal(Signal::Resume).await.expect("resumed");
    stack.wait_connected(stack.entry(0), 1).await.expect("the agent is reached again");
    tokio::time::sleep(WATCH_TIME).await;
    assert_eq!(stack.calls_in("north").await.unwrap(), before);
    requests.join_all().await;
    stack.close().await.expect("a clean stop");
}
