//! An accepted promotion is applied by all entries and agents within seconds, and versions never
//! decrease.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde_json::Value;
use tokio::{task::JoinHandle, time::Instant};
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{FastMap, ids::Digest};
use yuccatrail_fakes::{
    platform::Outage,
    stack::{
        caller::Caller,
        fault_proxy::FaultProxy,
        operator::start_entry_with_peer_address,
        plan::StackPlan,
        process::{Process, Signal},
        run::{Stack, start_agent, write_initial_config},
        traffic::{ResponseCheck, read_order},
    },
};
use yuccatrail_platform::{Client, ClientSettings};

/// Time within which an accepted promotion has to be applied by all entries and agents.
const APPLIED_WITHIN: Duration = Duration::from_secs(5);
/// Time between two samples of the versions.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Address where nothing listens (RFC 863, discard).
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// Last reported versions of configuration and operations, by the incarnation of the entry, or by
/// that and the name of the upstream.
type LastVersions = FastMap<String, (u64, u64)>;

/// Samples the versions of entries and agents and checks that none decreases.
struct VersionSampler {
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl VersionSampler {
    /// Starts sampling; entries that do not respond are skipped.
    fn start(entries: Vec<SocketAddr>) -> Self {
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            let (caller, mut seen) = (Caller::new("lone-star"), LastVersions::default());
            while !stopped.is_cancelled() {
                for entry in &entries {
                    if let Some(status) = status(&caller, *entry).await {
                        check_status(&mut seen, &status);
                    }
                }
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        });
        Self { stop, task }
    }

    async fn close(self) {
        self.stop.cancel();
        self.task.await.expect("no version decreased");
    }
}

/// Checks that no version in a status response is older than the last reported one.
fn check_status(seen: &mut LastVersions, status: &Value) {
    let entry = status["incarnation"].as_str().unwrap_or_default().to_owned();
    check_versions(seen, entry.clone(), &status["versions"]);
    for upstream in status["upstreams"].as_array().into_iter().flatten() {
        // Replies of an agent may reach entries in any order, so versions are compared per entry.
        let name = format!("{entry} {}", upstream["name"]);
        check_versions(seen, name, &upstream["versions"]);
    }
}

fn check_versions(seen: &mut LastVersions, name: String, versions: &Value) {
    if versions.is_null() {
        // The connection was lost; a restarted agent has no version yet.
        seen.remove(&name);
        return;
    }
    let now = (number(&versions["config"]), number(&versions["operations"]));
    let before = seen.insert(name.clone(), now).unwrap_or_default();
    assert!(
        now.0 >= before.0 && now.1 >= before.1,
        "{name}: versions went from {before:?} to {now:?}"
    );
}

fn number(value: &Value) -> u64 {
    value.as_u64().unwrap_or_default()
}

async fn status(caller: &Caller, entry: SocketAddr) -> Option<Value> {
    Some(caller.send(entry, "GET", "/v1/status", &[], "").await.ok()?.body)
}

/// Waits until the entries, and at least `agents` agents at each, report the version `config` of
/// the configuration; fails after `deadline`.
async fn wait_applied(entries: &[SocketAddr], agents: usize, config: u64, deadline: Instant) {
    let caller = Caller::new("lone-star");
    for entry in entries {
        loop {
            let status = status(&caller, *entry).await.unwrap_or_default();
            let upstreams = status["upstreams"].as_array().cloned().unwrap_or_default();
            let reported = upstreams.iter().filter(|it| it["versions"]["config"] == config);
            if status["versions"]["config"] == config && reported.count() >= agents {
                break;
            }
            assert!(
                Instant::now() < deadline,
                "configuration {config} was not applied in time: {status}"
            );
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }
}

/// Stores a changed document in the trial environment; returns its digest.
async fn put_into_trial(stack: &Stack, document: &str) -> String {
    let trial = Client::new(ClientSettings {
        address: stack.platform.address,
        environment: "trial".to_owned(),
        ..ClientSettings::default()
    });
    write_initial_config(&trial, 1, document)
        .await
        .expect("the document is stored in the trial environment");
    Digest::of(document.as_bytes()).to_string()
}

/// Kills an agent and starts a new one at its address.
async fn restart_agent(stack: &mut Stack, position: usize) {
    let pair = stack.upstreams.remove(position);
    let listen = pair.agent.address.to_string();
    pair.agent.kill().await.expect("the process is killed");
    let agent = start_agent(&pair.plan, pair.upstream.address, &listen).await.expect("an agent");
    let pair = yuccatrail_fakes::stack::run::UpstreamPair { agent, ..pair };
    stack.upstreams.insert(position, pair);
}

/// Kills the last entry and starts a new one at its peer address, which cannot reach the platform.
async fn restart_last_entry(stack: &mut Stack) -> SocketAddr {
    let entry = stack.entries.pop().expect("an entry");
    let peer = entry.admin_address.expect("a peer address").to_string();
    let name = entry.name.clone();
    entry.kill().await.expect("the process is killed");
    let entry =
        start_entry_with_peer_address(&name, "north", NOWHERE, &peer).await.expect("an entry");
    let address = entry.address;
    stack.entries.push(entry);
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn a_promotion_reaches_all_processes_although_the_platform_goes_down() {
    let plan = StackPlan::small(&["north"], &["north", "south"]).only_pool("work-orders");
    let document = plan.document.replace("estimate_ms = 20", "estimate_ms = 21");
    let mut stack = Stack::start(plan).await.expect("the stack starts");
    let proxy = FaultProxy::open(stack.platform.address).await.expect("a proxy");
    stack.add_entry("north", proxy.address()).await.expect("a second entry");
    stack.add_entry("north", stack.platform.address).await.expect("a third entry");
    stack.register_entries(&["north"; 3]).await.expect("the entries know their peers");
    let entries: Arc<[SocketAddr]> = stack.entries.iter().map(|it| it.address).collect();
    let sampler = VersionSampler::start(entries.to_vec());
    stack.run_accepted_command(&["data-centre", "out", "south"]).await.expect("accepted");
    let digest = put_into_trial(&stack, &document).await;

    proxy.close();
    stack.run_accepted_command(&["promote", "--digest", &digest]).await.expect("accepted");
    let deadline = Instant::now() + APPLIED_WITHIN;
    stack.set_outage(Some(Outage::Reset)).await.expect("an outage");
    wait_applied(&entries, 2, 2, deadline).await;

    restart_agent(&mut stack, 0).await;
    stack.wait_connected(entries[0], 2).await.expect("the entry reconnects to the agent");
    wait_applied(&entries[..2], 2, 2, Instant::now() + APPLIED_WITHIN).await;
    sampler.close().await;
    let restarted = restart_last_entry(&mut stack).await;
    wait_applied(&[restarted], 2, 2, Instant::now() + APPLIED_WITHIN).await;

    let before = stack.calls_in("south").await.unwrap();
    for number in 0..20 {
        let entry = [entries[0], entries[1], restarted][number % 3];
        let check = read_order(&stack.caller, entry, number).await;
        assert_eq!(check, ResponseCheck::Complete);
    }
    assert_eq!(stack.calls_in("south").await.unwrap(), before);
    stack.close().await.expect("all processes exit with success");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_never_had_a_configuration_is_not_ready_and_refuses_requests() {
    let entry = start_entry_with_peer_address("entry", "north", NOWHERE, "127.0.0.1:0")
        .await
        .expect("an entry");
    let caller = Caller::new("lone-star");
    let check = read_order(&caller, entry.address, 0).await;
    assert!(matches!(check, ResponseCheck::NotRun(_)), "{check:?}");
    let ready = caller.send(entry.address, "GET", "/readyz", &[], "").await.expect("a response");
    assert_eq!(ready.status, 503);
    stop(entry).await;
}

async fn stop(process: Process) {
    process.signal(Signal::Terminate).await.expect("the signal is sent");
    assert_eq!(process.close().await.expect("the process exits").code(), Some(0));
}
