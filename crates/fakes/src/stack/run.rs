//! A running stack.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use futures::future::join_all;
use serde_json::Value;
use yuccatrail_core::{
    control::{ConfigRecord, StoredConfig},
    ids::Digest,
    membership::{InstanceRecord, InstanceRole, InstanceState},
};
use yuccatrail_platform::{Client, ClientSettings, Kind, PlatformError};

use super::{
    caller::{Caller, CallerError},
    plan::{StackPlan, UpstreamPlan},
    process::{Process, ProcessError},
};
use crate::upstream::state::{UpstreamRecord, UpstreamSwitches};

/// Environment of every stack.
pub const ENVIRONMENT: &str = "production";
/// Time between two checks of a condition, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;
/// Number of checks before a condition counts as not reached.
const POLL_LIMIT: u32 = 1000;

/// Why a stack failed.
#[derive(Debug, Display, Error, From)]
pub enum StackError {
    /// A process failed.
    #[display("{_0}")]
    Process(ProcessError),
    /// A request failed.
    #[display("{_0}")]
    Caller(CallerError),
    /// The platform stand-in refused.
    #[display("platform: {_0}")]
    Platform(PlatformError),
    /// A condition was not reached in time.
    #[display("condition not reached: {what}")]
    #[from(ignore)]
    NotReached {
        /// The condition.
        what: String,
    },
}

/// An upstream stand-in with its agent.
#[derive(Debug)]
pub struct UpstreamPair {
    /// The plan.
    pub plan: UpstreamPlan,
    /// The upstream stand-in.
    pub upstream: Process,
    /// The agent.
    pub agent: Process,
}

/// All processes of a running stack.
#[derive(Debug)]
pub struct Stack {
    /// The platform stand-in.
    pub platform: Process,
    /// Client of the platform.
    pub client: Client,
    /// Entries.
    pub entries: Vec<Process>,
    /// Upstreams with their agents.
    pub upstreams: Vec<UpstreamPair>,
    /// Caller for requests and for the stand-ins' switches.
    pub caller: Caller,
    /// Upstream stand-ins that were ended and replaced.
    pub(crate) killed_upstreams: Vec<Process>,
}

impl Stack {
    /// Starts all processes and waits until every entry reaches every upstream.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not start or the entries do not become ready.
    pub async fn start(plan: StackPlan) -> Result<Self, StackError> {
        let arguments = to_strings(&["platform", "--listen", "127.0.0.1:0"]);
        let platform = Process::start("platform", "yuccatrail-fakes", &arguments).await?;
        let client = Client::new(ClientSettings {
            address: platform.address,
            environment: ENVIRONMENT.to_owned(),
            ..ClientSettings::default()
        });
        write_initial_config(&client, 1, &plan.document).await?;
        let mut upstreams = Vec::new();
        for upstream in plan.upstreams {
            let pair = start_pair(upstream).await?;
            client.create(Kind::Instances, &pair.plan.name, &pair.instance()).await?;
            upstreams.push(pair);
        }
        let mut entries = Vec::new();
        for (number, data_centre) in plan.entries.iter().enumerate() {
            entries.push(
                start_entry(&format!("entry-{number}"), data_centre, platform.address).await?,
            );
        }
        let caller = Caller::new("lone-star");
        let stack =
            Self { platform, client, entries, upstreams, caller, killed_upstreams: Vec::new() };
        for entry in &stack.entries {
            stack.wait_dispatchable(entry.address).await?;
        }
        Ok(stack)
    }

    /// Waits until an entry may send work to every upstream.
    ///
    /// An agent that an entry has only just reached refuses work until it holds the control state.
    ///
    /// # Errors
    ///
    /// Returns an error when that is not reached in time.
    pub async fn wait_dispatchable(&self, entry: SocketAddr) -> Result<(), StackError> {
        self.wait_status(entry, "all upstreams open", |status| {
            let upstreams = status["upstreams"].as_array().map_or(&[][..], Vec::as_slice);
            let is_open = |it: &&Value| it["connected"] == true && it["refusal"].is_null();
            upstreams.iter().filter(is_open).count() == self.upstreams.len()
        })
        .await
    }

    /// Waits until an entry reaches `count` upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry does not reach them in time.
    pub async fn wait_connected(&self, entry: SocketAddr, count: usize) -> Result<(), StackError> {
        self.wait_status(entry, &format!("{count} upstreams connected"), |status| {
            let upstreams = status["upstreams"].as_array().map_or(&[][..], Vec::as_slice);
            upstreams.iter().filter(|it| it["connected"] == true).count() == count
        })
        .await
    }

    /// Waits until the status of an entry satisfies a condition.
    ///
    /// # Errors
    ///
    /// Returns an error when the condition is not reached in time.
    pub async fn wait_status(
        &self,
        entry: SocketAddr,
        what: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> Result<(), StackError> {
        for _ in 0..POLL_LIMIT {
            let answer = self.caller.send(entry, "GET", "/v1/status", &[], "").await;
            if answer.is_ok_and(|it| condition(&it.body)) {
                return Ok(());
            }
            tokio::time::sleep(std::time::Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        Err(StackError::NotReached { what: what.to_owned() })
    }

    /// Returns the address of an entry.
    pub fn entry(&self, number: usize) -> SocketAddr {
        self.entries[number].address
    }

    /// Reads what an upstream stand-in recorded.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not answer.
    pub async fn record(&self, pair: &UpstreamPair) -> Result<UpstreamRecord, StackError> {
        let answer =
            self.caller.send(pair.upstream.address, "GET", "/fake/record", &[], "").await?;
        serde_json::from_value(answer.body)
            .map_err(|it| StackError::Caller(CallerError { detail: it.to_string() }))
    }

    /// Changes the behaviour of an upstream stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not answer.
    pub async fn set_upstream_switches(
        &self,
        pair: &UpstreamPair,
        switches: &UpstreamSwitches,
    ) -> Result<(), StackError> {
        let body = serde_json::to_vec(switches).unwrap_or_default();
        self.caller.send(pair.upstream.address, "POST", "/fake/switches", &[], body).await?;
        Ok(())
    }

    /// Stops all processes as planned: entries, agents, upstreams, platform.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not stop or reports a failure.
    pub async fn close(self) -> Result<(), StackError> {
        stop_all(self.entries).await?;
        let mut agents = Vec::new();
        let mut upstreams = Vec::new();
        for pair in self.upstreams {
            agents.push(pair.agent);
            upstreams.push(pair.upstream);
        }
        stop_all(agents).await?;
        stop_all(upstreams).await?;
        stop_all(vec![self.platform]).await
    }
}

impl UpstreamPair {
    /// Returns the instance record that the platform lists.
    pub fn instance(&self) -> InstanceRecord {
        Self::instance_record(&self.plan, self.agent.address)
    }

    /// Returns the instance record of a planned upstream whose agent listens on `address`.
    pub fn instance_record(plan: &UpstreamPlan, address: SocketAddr) -> InstanceRecord {
        InstanceRecord {
            name: plan.name.clone(),
            role: InstanceRole::Upstream,
            pool: Some(plan.pool.clone()),
            data_centre: plan.data_centre.clone(),
            address,
            state: InstanceState::Live,
        }
    }
}

/// Returns the instance record that the platform lists for an entry.
pub fn entry_instance(entry: &Process, data_centre: &str) -> InstanceRecord {
    InstanceRecord {
        name: entry.name.clone(),
        role: InstanceRole::Entry,
        pool: None,
        data_centre: data_centre.to_owned(),
        address: entry.admin_address.unwrap_or(entry.address),
        state: InstanceState::Live,
    }
}

/// Writes an environment document as the first accepted configuration.
///
/// # Errors
///
/// Returns an error when the platform refuses the write.
pub async fn write_initial_config(
    client: &Client,
    version: u64,
    text: &str,
) -> Result<(), StackError> {
    let digest = Digest::of(text.as_bytes());
    let record = ConfigRecord { version, digest, text: text.into() };
    let stored = StoredConfig { record, history: Vec::new() };
    client.create(Kind::Environments, "current", &stored).await?;
    Ok(())
}

/// Starts an entry process on a free port.
///
/// # Errors
///
/// Returns an error when the process does not start.
pub async fn start_entry(
    name: &str,
    data_centre: &str,
    platform: SocketAddr,
) -> Result<Process, StackError> {
    start_entry_listening_at(name, data_centre, platform, "127.0.0.1:0").await
}

/// Starts an entry process on an address.
///
/// # Errors
///
/// Returns an error when the process does not start.
pub async fn start_entry_listening_at(
    name: &str,
    data_centre: &str,
    platform: SocketAddr,
    listen: &str,
) -> Result<Process, StackError> {
    let platform = platform.to_string();
    let arguments = to_strings(&[
        "serve",
        "--name",
        name,
        "--data-centre",
        data_centre,
        "--listen",
        listen,
        "--peer-listen",
        "127.0.0.1:0",
        "--platform",
        &platform,
        "--environment",
        ENVIRONMENT,
    ]);
    Ok(Process::start(name, "yuccatrail", &arguments).await?)
}

/// Starts an agent for an upstream stand-in.
///
/// # Errors
///
/// Returns an error when the process does not start.
pub async fn start_agent(
    plan: &UpstreamPlan,
    upstream: SocketAddr,
    listen: &str,
) -> Result<Process, StackError> {
    let upstream = upstream.to_string();
    let arguments = to_strings(&[
        "--name",
        &plan.name,
        "--pool",
        &plan.pool,
        "--data-centre",
        &plan.data_centre,
        "--listen",
        listen,
        "--admin-listen",
        "127.0.0.1:0",
        "--upstream",
        &upstream,
    ]);
    Ok(Process::start(&format!("agent {}", plan.name), "yuccatrail-agent", &arguments).await?)
}

/// Starts an upstream stand-in.
///
/// # Errors
///
/// Returns an error when the process does not start.
pub async fn start_upstream(plan: &UpstreamPlan, listen: &str) -> Result<Process, StackError> {
    let switches = serde_json::to_string(&plan.switches).unwrap_or_default();
    let arguments = to_strings(&["upstream", "--listen", listen, "--switches", &switches]);
    Ok(Process::start(&plan.name, "yuccatrail-fakes", &arguments).await?)
}

async fn start_pair(plan: UpstreamPlan) -> Result<UpstreamPair, StackError> {
    let upstream = start_upstream(&plan, "127.0.0.1:0").await?;
    let agent = start_agent(&plan, upstream.address, "127.0.0.1:0").await?;
    Ok(UpstreamPair { plan, upstream, agent })
}

/// Stops processes side by side and checks that each exits with success.
async fn stop_all(processes: Vec<Process>) -> Result<(), StackError> {
    let mut closing = Vec::new();
    for process in processes {
        let name = process.name.clone();
        closing.push(async move { (name, process.close().await) });
    }
    for (name, status) in join_all(closing).await {
        let status = status?;
        if !status.success() {
            return Err(StackError::NotReached {
                what: format!("{name} exits with success, not {status}"),
            });
        }
    }
    Ok(())
}

fn to_strings(arguments: &[&str]) -> Vec<String> {
    arguments.iter().map(|it| (*it).to_owned()).collect()
}
