//! Real entries and agents around one upstream stand-in, with every connection counted.

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

/// Time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of looks before a condition counts as not reached.
const POLL_LIMIT: u32 = 600;
/// Time for which the processes settle after all connections are open.
const SETTLE: Duration = Duration::from_millis(1500);

/// An agent or entry whose connections pass a proxy.
#[derive(Debug)]
pub struct ProxiedProcess {
    /// The process.
    pub process: Process,
    /// The proxy in front of it.
    pub proxy: CountingProxy,
}

/// Running processes.
#[derive(Debug)]
pub struct Rig {
    /// The platform stand-in.
    pub platform: Process,
    /// The proxy between the entries and the platform.
    pub platform_proxy: CountingProxy,
    /// Client of the platform.
    pub client: Client,
    /// The one upstream stand-in, which all agents use.
    pub upstream: Process,
    /// Agents.
    pub agents: Vec<ProxiedProcess>,
    /// Entries.
    pub entries: Vec<ProxiedProcess>,
    /// Caller for requests and switches.
    pub caller: Caller,
}

/// What the processes used and what passed between them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// Usage of all entries.
    pub entries: Usage,
    /// Usage of all agents.
    pub agents: Usage,
    /// Traffic between entries and agents.
    pub links: Traffic,
    /// Traffic among entries.
    pub gossip: Traffic,
    /// Traffic between entries and the platform.
    pub platform_traffic: Traffic,
    /// Calls of the platform.
    pub platform: Counters,
}

impl Rig {
    /// Starts the processes and waits until every entry reaches every agent.
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
        let mut rig = Self {
            platform,
            platform_proxy,
            client,
            upstream,
            agents: Vec::new(),
            entries: Vec::new(),
            caller: Caller::new("lone-star"),
        };
        for number in 0..agents {
            rig.add_agent(number).await?;
        }
        for number in 0..entries {
            rig.add_entry(number).await?;
        }
        rig.wait_connected().await?;
        tokio::time::sleep(SETTLE).await;
        Ok(rig)
    }

    /// Reads usage and traffic so far.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform stand-in does not answer.
    pub async fn read(&self) -> Result<Reading, StackError> {
        let mut reading = Reading {
            platform: self.platform_counters().await?,
            platform_traffic: self.platform_proxy.traffic(),
            ..Reading::default()
        };
        for entry in &self.entries {
            reading.entries = reading.entries.plus(process_usage(&entry.process));
            reading.gossip = reading.gossip.plus(entry.proxy.traffic());
        }
        for agent in &self.agents {
            reading.agents = reading.agents.plus(process_usage(&agent.process));
            reading.links = reading.links.plus(agent.proxy.traffic());
        }
        Ok(reading)
    }

    /// Reads what is used and passes within `length`.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform stand-in does not answer.
    pub async fn watch(&self, length: Duration) -> Result<Reading, StackError> {
        let before = self.read().await?;
        tokio::time::sleep(length).await;
        Ok(self.read().await?.since(before))
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

    async fn wait_connected(&self) -> Result<(), StackError> {
        for entry in &self.entries {
            self.wait_entry(entry).await?;
        }
        Ok(())
    }

    async fn wait_entry(&self, entry: &ProxiedProcess) -> Result<(), StackError> {
        for _ in 0..POLL_LIMIT {
            let address = entry.process.address;
            let answer = self.caller.send(address, "GET", "/v1/status", &[], "").await;
            if answer.is_ok_and(|it| connected(&it.body) == self.agents.len()) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let what = format!("{} connects to {} agents", entry.process.name, self.agents.len());
        Err(StackError::NotReached { what })
    }

    async fn platform_counters(&self) -> Result<Counters, StackError> {
        let answer =
            self.caller.send(self.platform.address, "GET", "/fake/counters", &[], "").await?;
        serde_json::from_value(answer.body)
            .map_err(|it| StackError::Caller(CallerError { detail: it.to_string() }))
    }
}

impl Reading {
    /// Returns what was used and passed since `earlier`.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            entries: self.entries.since(earlier.entries),
            agents: self.agents.since(earlier.agents),
            links: self.links.since(earlier.links),
            gossip: self.gossip.since(earlier.gossip),
            platform_traffic: self.platform_traffic.since(earlier.platform_traffic),
            platform: Counters {
                reads: self.platform.reads - earlier.platform.reads,
                writes: self.platform.writes - earlier.platform.writes,
                watches: self.platform.watches - earlier.platform.watches,
                limited: self.platform.limited - earlier.platform.limited,
                effects: self.platform.effects - earlier.platform.effects,
            },
        }
    }
}

/// Counts the upstreams that a status page shows as connected.
fn connected(status: &serde_json::Value) -> usize {
    let upstreams = status["upstreams"].as_array().map_or(&[][..], Vec::as_slice);
    upstreams.iter().filter(|it| it["connected"] == true).count()
}
