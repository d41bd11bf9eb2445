//! Cost of requests in messages, traffic and processor time.

use std::time::{Duration, Instant};

use serde_json::json;

use super::{
    slope::Slope,
    test_cluster::{ClusterUsage, TestCluster},
};
use crate::{
    bench::{closed_loop, direct},
    stack::{plan::DEMO_DOCUMENT, run::StackError},
    upstream::state::UpstreamSwitches,
};

/// Number of agents in the test cluster, two for each pool.
const AGENT_COUNT: usize = 10;
/// Duration of the idle measurement whose usage is subtracted from that of the calls.
const IDLE_DURATION: Duration = Duration::from_secs(3);
/// Numbers of service calls to measure; calls are made one after another.
const CALL_COUNTS: [u64; 3] = [200, 600, 1_800];
/// Numbers of claimed calls to measure; calls are made one after another.
///
/// A claimed call is not idempotent: the entry claims its idempotency key at the platform.
const CLAIMED_CALL_COUNTS: [u64; 3] = [40, 80, 160];
/// Numbers of tokens that a pipeline request generates.
const TOKEN_COUNTS: [u64; 3] = [16, 64, 256];
/// Number of pipeline requests for each number of tokens.
const PIPELINES_PER_SIZE: u64 = 20;
/// Interval between two tokens of the upstream stand-in, in milliseconds.
const TOKEN_DELAY_MS: u64 = 3;
/// Number of concurrent callers that measure the throughput of claimed calls.
const CLAIM_CALLERS: usize = 64;
/// Duration of the throughput measurement of claimed calls.
const CLAIM_DURATION: Duration = Duration::from_secs(3);

/// Measured costs of requests.
#[derive(Clone, Debug)]
pub struct CallCosts {
    /// Per service call: traffic and messages between entry and agents, and processor time of entry
    /// and agents.
    pub service: [Slope; 4],
    /// Per claimed call: platform writes, platform traffic, and processor time of the entry.
    pub claimed: [Slope; 3],
    /// Per token of a pipeline: traffic between entry and agents, and processor time of entry and
    /// agents.
    pub tokens: [Slope; 3],
    /// Claimed calls per second that one entry completes.
    pub claims_per_second: f64,
}

/// Measures the costs of service calls, claimed calls and pipelines.
///
/// # Errors
///
/// Returns an error when a process or a call fails.
pub async fn measure() -> Result<CallCosts, StackError> {
    let document = DEMO_DOCUMENT.replace("max_tokens = 16", "max_tokens = 256");
    let cluster = TestCluster::start(&document, AGENT_COUNT, 1).await?;
    // Warms the upstreams before the measurement.
    make_service_calls(&cluster, 500, false).await?;
    let idle = cluster.measure_for(IDLE_DURATION).await?;
    let service = service_slopes(&cluster, idle).await?;
    let claimed = claim_slopes(&cluster, idle).await?;
    let tokens = token_slopes(&cluster, idle).await?;
    let claims_per_second = claim_throughput(&cluster).await;
    cluster.close().await?;
    Ok(CallCosts { service, claimed, tokens, claims_per_second })
}

async fn service_slopes(
    cluster: &TestCluster,
    idle: ClusterUsage,
) -> Result<[Slope; 4], StackError> {
    let mut bytes = Vec::new();
    let mut messages = Vec::new();
    let mut entry_cpu = Vec::new();
    let mut agent_cpu = Vec::new();
    for count in CALL_COUNTS {
        let (usage, seconds) =
            measure_during(cluster, make_service_calls(cluster, count, false)).await?;
        let size = count as f64;
        bytes.push((
            size,
            above_idle(usage.agent_traffic.wire_bytes(), idle.agent_traffic.wire_bytes(), seconds),
        ));
        messages.push((
            size,
            above_idle(
                usage.agent_traffic.inbound_messages,
                idle.agent_traffic.inbound_messages,
                seconds,
            ),
        ));
        entry_cpu.push((size, above_idle(usage.entries.cpu_us, idle.entries.cpu_us, seconds)));
        agent_cpu.push((size, above_idle(usage.agents.cpu_us, idle.agents.cpu_us, seconds)));
    }
    Ok([
        Slope::new("links, on the wire", "bytes", "service call", &bytes),
        Slope::new("messages to agents", "messages", "service call", &messages),
        Slope::new("entry, one caller", "us", "service call", &entry_cpu),
        Slope::new("agents, one caller", "us", "service call", &agent_cpu),
    ])
}

async fn claim_slopes(cluster: &TestCluster, idle: ClusterUsage) -> Result<[Slope; 3], StackError> {
    let mut writes = Vec::new();
    let mut bytes = Vec::new();
    let mut entry_cpu = Vec::new();
    for count in CLAIMED_CALL_COUNTS {
        let (usage, seconds) =
            measure_during(cluster, make_service_calls(cluster, count, true)).await?;
        let size = count as f64;
        writes.push((
            size,
            above_idle(usage.platform_calls.writes, idle.platform_calls.writes, seconds),
        ));
        let (wire_bytes, idle_wire_bytes) =
            (usage.platform_traffic.wire_bytes(), idle.platform_traffic.wire_bytes());
        bytes.push((size, above_idle(wire_bytes, idle_wire_bytes, seconds)));
        entry_cpu.push((size, above_idle(usage.entries.cpu_us, idle.entries.cpu_us, seconds)));
    }
    Ok([
        Slope::new("platform writes", "calls", "claimed call", &writes),
        Slope::new("platform connection, on the wire", "bytes", "claimed call", &bytes),
        Slope::new("entry, claimed", "us", "claimed call", &entry_cpu),
    ])
}

async fn token_slopes(cluster: &TestCluster, idle: ClusterUsage) -> Result<[Slope; 3], StackError> {
    let switches =
        UpstreamSwitches { token_delay_ms: TOKEN_DELAY_MS, ..UpstreamSwitches::default() };
    let body = json!(switches).to_string();
    cluster.caller.send(cluster.upstream.address, "POST", "/fake/switches", &[], body).await?;
    let mut bytes = Vec::new();
    let mut entry_cpu = Vec::new();
    let mut agent_cpu = Vec::new();
    for tokens in TOKEN_COUNTS {
        let (usage, seconds) = measure_during(cluster, run_pipelines(cluster, tokens)).await?;
        let size = tokens as f64;
        let per_pipeline = |total: f64| total / PIPELINES_PER_SIZE as f64;
        let wire_bytes =
            above_idle(usage.agent_traffic.wire_bytes(), idle.agent_traffic.wire_bytes(), seconds);
        bytes.push((size, per_pipeline(wire_bytes)));
        entry_cpu.push((
            size,
            per_pipeline(above_idle(usage.entries.cpu_us, idle.entries.cpu_us, seconds)),
        ));
        agent_cpu.push((
            size,
            per_pipeline(above_idle(usage.agents.cpu_us, idle.agents.cpu_us, seconds)),
        ));
    }
    cluster.caller.send(cluster.upstream.address, "POST", "/fake/switches", &[], "{}").await?;
    Ok([
        Slope::new("links of a pipeline, on the wire", "bytes", "token", &bytes),
        Slope::new("entry, pipeline", "us", "token", &entry_cpu),
        Slope::new("agents, pipeline", "us", "token", &agent_cpu),
    ])
}

/// Returns the usage while `work` runs, and the duration of `work` in seconds.
async fn measure_during(
    cluster: &TestCluster,
    work: impl Future<Output = Result<(), StackError>>,
) -> Result<(ClusterUsage, f64), StackError> {
    let before = cluster.read_usage().await?;
    let start = Instant::now();
    work.await?;
    let seconds = start.elapsed().as_secs_f64();
    Ok((cluster.read_usage().await?.since(before), seconds))
}

/// Subtracts from a count what an idle cluster counts in `seconds`.
///
/// `idle_count` was counted over [`IDLE_DURATION`].
fn above_idle(count: u64, idle_count: u64, seconds: f64) -> f64 {
    count as f64 - idle_count as f64 / IDLE_DURATION.as_secs_f64() * seconds
}

async fn make_service_calls(
    cluster: &TestCluster,
    count: u64,
    claimed: bool,
) -> Result<(), StackError> {
    for _ in 0..count {
        if !make_service_call(cluster, claimed).await {
            return Err(StackError::NotReached {
                what: "status 200 for a service call".to_owned(),
            });
        }
    }
    Ok(())
}

async fn make_service_call(cluster: &TestCluster, claimed: bool) -> bool {
    let entry = cluster.entries[0].process.address;
    let response = if claimed {
        let key = format!("capacity-{:032x}", rand::random::<u128>());
        let path = "/v1/services/work-orders/notices";
        cluster.caller.send(entry, "POST", path, &[("idempotency-key", &key)], "{}").await
    } else {
        cluster.caller.send(entry, "GET", "/v1/services/work-orders/order/7", &[], "").await
    };
    response.is_ok_and(|it| it.status == 200)
}

async fn run_pipelines(cluster: &TestCluster, tokens: u64) -> Result<(), StackError> {
    let entry = cluster.entries[0].process.address;
    for number in 0..PIPELINES_PER_SIZE {
        let body = json!({ "input": format!("riser {number}"), "max_tokens": tokens }).to_string();
        let path = "/v1/pipelines/read-back";
        let response = cluster.caller.send(entry, "POST", path, &[], body).await?;
        if response.status != 200 {
            let what = format!("status 200 for a pipeline request instead of {}", response.body);
            return Err(StackError::NotReached { what });
        }
    }
    Ok(())
}

async fn claim_throughput(cluster: &TestCluster) -> f64 {
    let entry = cluster.entries[0].process.address;
    let caller = cluster.caller.clone();
    let result = closed_loop::run(CLAIM_CALLERS, CLAIM_DURATION, move |_| {
        let caller = caller.clone();
        async move {
            let key = format!("most-{:032x}", rand::random::<u128>());
            let path = "/v1/services/work-orders/notices";
            let headers = [("idempotency-key", key.as_str())];
            let response = caller.send(entry, "POST", path, &headers, "{}").await;
            direct::check_response(response, |_| true)
        }
    })
    .await;
    result.per_second()
}
