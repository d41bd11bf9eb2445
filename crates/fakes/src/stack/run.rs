//! A running stack: start, status, switches and stop of its processes.

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

/// Name of the environment in every stack.
pub const ENVIRONMENT: &str = "production";
/// Time between two checks of a condition, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;
/// Number of checks after which a condition counts as not reached.
const POLL_LIMIT: u32 = 1000;

/// Error in an operation on a stack.
#[derive(Debug, Display, Error, From)]
pub enum StackError {
    /// A process could not be started or stopped.
    #[display("{_0}")]
    Process(ProcessError),
    /// An HTTP exchange failed.
    #[display("{_0}")]
    Caller(CallerError),
    /// A call to the platform failed.
    #[display("platform: {_0}")]
    Platform(PlatformError),
    /// A condition was not reached in time.
    #[display("condition not reached: {what}")]
    #[from(ignore)]
    NotReached {
        /// Description of the condition.
        what: String,
    },
}

/// An upstream stand-in with its agent.
#[derive(Debug)]
pub struct UpstreamPair {
    /// Plan from which both were started.
    pub plan: UpstreamPlan,
    /// Process of the upstream stand-in.
    pub upstream: Process,
    /// Process of the agent.
    pub agent: Process,
}

/// All processes of a running stack.
#[derive(Debug)]
pub struct Stack {
    /// Process of the platform stand-in.
    pub platform: Process,
    /// Client for the platform.
    pub client: Client,
    /// Processes of the entries.
    pub entries: Vec<Process>,
    /// Upstream stand-ins with their agents.
    pub upstreams: Vec<UpstreamPair>,
    /// Client for requests to entries and for the switches of the stand-ins.
    pub caller: Caller,
    /// Upstream stand-ins that were killed and replaced; their logs are still read.
    pub(crate) killed_upstreams: Vec<Process>,
}

impl Stack {
    /// Starts all processes and waits until every entry may dispatch to every upstream.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not start, the platform refuses a write or an entry is
    /// not ready in time.
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

    /// Waits until an entry may dispatch to every upstream.
    ///
    /// A connection alone does not suffice: an agent refuses work until it has the control state.
    ///
    /// # Errors
    ///
    /// Returns an error when that is not reached in time.
    pub async fn wait_dispatchable(&self, entry: SocketAddr) -> Result<(), StackError> {
        self.wait_status(entry, "all upstreams connected and accepting work", |status| {
            let upstreams = status["upstreams"].as_array().map_or(&[][..], Vec::as_slice);
            let is_dispatchable = |it: &&Value| it["connected"] == true && it["refusal"].is_null();
            upstreams.iter().filter(is_dispatchable).count() == self.upstreams.len()
        })
        .await
    }

    /// Waits until an entry is connected to `count` upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error when that is not reached in time.
    pub async fn wait_connected(&self, entry: SocketAddr, count: usize) -> Result<(), StackError> {
        self.wait_status(entry, &format!("{count} upstreams connected"), |status| {
            let upstreams = status["upstreams"].as_array().map_or(&[][..], Vec::as_slice);
            upstreams.iter().filter(|it| it["connected"] == true).count() == count
        })
        .await
    }

    /// Waits until the status of an entry satisfies a condition; `what` describes it in the error.
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
            let response = self.caller.send(entry, "GET", "/v1/status", &[], "").await;
            if response.is_ok_and(|it| condition(&it.body)) {
                return Ok(());
            }
            tokio::time::sleep(std::time::Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        Err(StackError::NotReached { what: what.to_owned() })
    }

    /// Returns the address of the entry `number`.
    pub fn entry(&self, number: usize) -> SocketAddr {
        self.entries[number].address
    }

    /// Reads the record of an upstream stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not respond.
    pub async fn record(&self, pair: &UpstreamPair) -> Result<UpstreamRecord, StackError> {
        let response =
            self.caller.send(pair.upstream.address, "GET", "/fake/record", &[], "").await?;
        serde_json::from_value(response.body)
            .map_err(|it| StackError::Caller(CallerError { detail: it.to_string() }))
    }

    /// Replaces the switches of an upstream stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not respond.
    pub async fn set_upstream_switches(
        &self,
        pair: &UpstreamPair,
        switches: &UpstreamSwitches,
    ) -> Result<(), StackError> {
        let body = serde_json::to_vec(switches).unwrap_or_default();
        self.caller.send(pair.upstream.address, "POST", "/fake/switches", &[], body).await?;
        Ok(())
    }

    /// Shuts all processes down gracefully: first entries, then agents, upstreams and the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not exit in time or exits with a failure.
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
    /// Returns the instance record under which the platform lists the agent.
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

/// Writes an environment document as the current configuration of an environment that has none.
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

/// Starts an entry process on the given listening address.
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
    start_entry_with_environment(name, data_centre, platform, listen, &[]).await
}

/// Starts an entry process with further environment variables, as pairs of name and value.
///
/// # Errors
///
/// Returns an error when the process does not start.
pub async fn start_entry_with_environment(
    name: &str,
    data_centre: &str,
    platform: SocketAddr,
    listen: &str,
    environment: &[(&str, &str)],
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
    Ok(Process::start_with_environment(name, "yuccatrail", &arguments, environment).await?)
}

/// Starts an agent in front of an upstream stand-in.
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

/// Starts an upstream stand-in with the planned switches.
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

/// Shuts processes down concurrently and checks that each exits with success.
async fn stop_all(processes: Vec<Process>) -> Result<(), StackError> {
    let mut shutdowns = Vec::new();
    for process in processes {
        let name = process.name.clone();
        shutdowns.push(async move { (name, process.close().await) });
    }
    for (name, status) in join_all(shutdowns).await {
        let status = status?;
        if !status.success() {
            return Err(StackError::NotReached {
                what: format!("exit of {name} with success; it exited with {status}"),
            });
        }
    }
    Ok(())
}

fn to_strings(arguments: &[&str]) -> Vec<String> {
    arguments.iter().map(|it| (*it).to_owned()).collect()
}
