//! Entry and agent processes around one upstream stand-in, with traffic counted on all connections
//! except those to the upstream.

use std::time::Duration;

use yuccatrail_core::membership::InstanceRecord;
use yuccatrail_platform::{Client, ClientSettings, Kind};

use super::proxy::{CountingProxy, Traffic};
use crate::{
    bench::throughput::process_usage,
    measure::usage::Usage,
    platform::Counters,
    stack::{
        caller::{Caller, CallerError},
        plan::{DEMO_POOLS, UpstreamPlan},
        process::{Process, ProcessError},
        run::{
            ENVIRONMENT, StackError, UpstreamPair, entry_instance, start_agent, start_entry,
            start_upstream, write_initial_config,
        },
    },
};

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of checks after which a condition counts as not reached.
const POLL_LIMIT: u32 = 600;
/// Time for which the processes settle after all connections are open, before the first measurement.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// An agent or entry with a proxy that counts the traffic of incoming connections.
#[derive(Debug)]
pub struct ProxiedProcess {
    /// The process.
    pub process: Process,
    /// The proxy, whose address is registered as that of the instance.
    pub proxy: CountingProxy,
}

/// Running processes of a measurement.
#[derive(Debug)]
pub struct TestCluster {
    /// The platform stand-in.
    pub platform: Process,
    /// The proxy between the entries and the platform.
    pub platform_proxy: CountingProxy,
    /// Client of the platform stand-in.
    pub client: Client,
    /// The single upstream stand-in, shared by all agents.
    pub upstream: Process,
    /// Agents.
    pub agents: Vec<ProxiedProcess>,
    /// Entries.
    pub entries: Vec<ProxiedProcess>,
    /// Caller for requests to entries and stand-ins.
    pub caller: Caller,
}

/// Resource usage of the processes and traffic between them.
///
/// Counts from the start of the processes, or between two readings.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClusterUsage {
    /// Usage of all entries.
    pub entries: Usage,
    /// Usage of all agents.
    pub agents: Usage,
    /// Traffic between entries and agents.
    pub agent_traffic: Traffic,
    /// Traffic among entries.
    pub gossip_traffic: Traffic,
    /// Traffic between entries and the platform.
    pub platform_traffic: Traffic,
    /// Calls that the platform stand-in received.
    pub platform_calls: Counters,
}

impl TestCluster {
    /// Starts the processes and waits until every entry is connected to every agent.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not start or the entries do not connect.
    pub async fn start(document: &str, agents: usize, entries: usize) -> Result<Self, StackError> {
        let arguments = ["platform", "--listen", "127.0.0.1:0"].map(str::to_owned);
        let platform = Process::start("platform", "yuccatrail-fakes", &arguments).await?;
        let client = Client::new(ClientSettings {
            address: platform.address,
            environment: ENVIRONMENT.to_owned(),
            ..ClientSettings::default()
        });
        let platform_proxy =
            CountingProxy::open(platform.address).await.map_err(ProcessError::from)?;
        write_initial_config(&client, 1, document).await?;
        let upstream = start_upstream(&UpstreamPlan::new("shared", 0), "127.0.0.1:0").await?;
        let mut cluster = Self {
            platform,
            platform_proxy,
            client,
            upstream,
            agents: Vec::new(),
            entries: Vec::new(),
            caller: Caller::new("lone-star"),
        };
        for number in 0..agents {
            cluster.add_agent(number).await?;
        }
        for number in 0..entries {
            cluster.add_entry(number).await?;
        }
        cluster.wait_until_connected().await?;
        tokio::time::sleep(SETTLE_TIME).await;
        Ok(cluster)
    }

    /// Reads the usage since the start of the processes.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform stand-in does not answer.
    pub async fn read_usage(&self) -> Result<ClusterUsage, StackError> {
        let mut usage = ClusterUsage {
            platform_calls: self.platform_counters().await?,
            platform_traffic: self.platform_proxy.traffic(),
            ..ClusterUsage::default()
        };
        for entry in &self.entries {
            usage.entries = usage.entries.plus(process_usage(&entry.process));
            usage.gossip_traffic = usage.gossip_traffic.plus(entry.proxy.traffic());
        }
        for agent in &self.agents {
            usage.agents = usage.agents.plus(process_usage(&agent.process));
            usage.agent_traffic = usage.agent_traffic.plus(agent.proxy.traffic());
        }
        Ok(usage)
    }

    /// Returns the usage within `duration`.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform stand-in does not answer.
    pub async fn measure_for(&self, duration: Duration) -> Result<ClusterUsage, StackError> {
        let before = self.read_usage().await?;
        tokio::time::sleep(duration).await;
        Ok(self.read_usage().await?.since(before))
    }

    /// Stops all processes.
    ///
    /// # Errors
    ///
    /// Returns an error when a process cannot be ended.
    pub async fn close(self) -> Result<(), StackError> {
        for proxied in self.entries.into_iter().chain(self.agents) {
            proxied.process.kill().await?;
            proxied.proxy.close();
        }
        self.upstream.kill().await?;
        self.platform_proxy.close();
        self.platform.kill().await?;
        Ok(())
    }

    async fn add_agent(&mut self, number: usize) -> Result<(), StackError> {
        let pool = DEMO_POOLS[number % DEMO_POOLS.len()];
        let plan = UpstreamPlan::new(pool, number);
        let process = start_agent(&plan, self.upstream.address, "127.0.0.1:0").await?;
        let proxy = CountingProxy::open(process.address).await.map_err(ProcessError::from)?;
        let record = InstanceRecord {
            address: proxy.address,
            ..UpstreamPair::instance_record(&plan, process.address)
        };
        self.client.create(Kind::Instances, &record.name, &record).await?;
        self.agents.push(ProxiedProcess { process, proxy });
        Ok(())
    }

    async fn add_entry(&mut self, number: usize) -> Result<(), StackError> {
        let data_centre = crate::stack::plan::data_centre(number);
        let name = format!("entry-{number}");
        let process = start_entry(&name, data_centre, self.platform_proxy.address).await?;
        let peer = process.admin_address.unwrap_or(process.address);
        let proxy = CountingProxy::open(peer).await.map_err(ProcessError::from)?;
        let record =
            InstanceRecord { address: proxy.address, ..entry_instance(&process, data_centre) };
        self.client.create(Kind::Instances, &name, &record).await?;
        self.entries.push(ProxiedProcess { process, proxy });
        Ok(())
    }

    async fn wait_until_connected(&self) -> Result<(), StackError> {
        for entry in &self.entries {
            self.wait_until_entry_connected(entry).await?;
        }
        Ok(())
    }

    async fn wait_until_entry_connected(&self, entry: &ProxiedProcess) -> Result<(), StackError> {
        for _ in 0..POLL_LIMIT {
            let address = entry.process.address;
            let response = self.caller.send(address, "GET", "/v1/status", &[], "").await;
            if response.is_ok_and(|it| connected_upstreams(&it.body) == self.agents.len()) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let what = format!("{} connects to {} agents", entry.process.name, self.agents.len());
        Err(StackError::NotReached { what })
    }

    async fn platform_counters(&self) -> Result<Counters, StackError> {
        let response =
            self.caller.send(self.platform.address, "GET", "/fake/counters", &[], "").await?;
        serde_json::from_value(response.body)
            .map_err(|it| StackError::Caller(CallerError { detail: it.to_string() }))
    }
}

impl ClusterUsage {
    /// Returns the usage since `earlier`.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            entries: self.entries.since(earlier.entries),
            agents: self.agents.since(earlier.agents),
            agent_traffic: self.agent_traffic.since(earlier.agent_traffic),
            gossip_traffic: self.gossip_traffic.since(earlier.gossip_traffic),
            platform_traffic: self.platform_traffic.since(earlier.platform_traffic),
            platform_calls: Counters {
                reads: self.platform_calls.reads - earlier.platform_calls.reads,
                writes: self.platform_calls.writes - earlier.platform_calls.writes,
                watches: self.platform_calls.watches - earlier.platform_calls.watches,
                limited: self.platform_calls.limited - earlier.platform_calls.limited,
                effects: self.platform_calls.effects - earlier.platform_calls.effects,
            },
        }
    }
}

/// Counts the connected upstreams in a status response.
fn connected_upstreams(status: &serde_json::Value) -> usize {
    let upstreams = status["upstreams"].as_array().map_or(&[][..], Vec::as_slice);
    upstreams.iter().filter(|it| it["connected"] == true).count()
}
