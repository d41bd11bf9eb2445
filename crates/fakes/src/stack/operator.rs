//! Operators' commands and faults of the platform in a running stack.

use std::{net::SocketAddr, time::Duration};

use futures::future::join_all;
use serde_json::Value;
use tokio::process::Command;
use yuccatrail_core::membership::{InstanceRecord, InstanceState};
use yuccatrail_platform::Kind;

use super::{
    plan::{StackPlan, UpstreamPlan},
    process::{Process, ProcessError, binary_path},
    run::{ENVIRONMENT, Stack, StackError, entry_instance},
};
use crate::{
    platform::{Outage, PlatformSwitches},
    upstream::state::UpstreamSwitches,
};

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of checks before a condition counts as not reached.
const POLL_LIMIT: u32 = 1000;

/// Document with one generation pipeline and one service.
pub const SMALL_DOCUMENT: &str = include_str!("small.toml");

/// What an operators' command returned.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutput {
    /// Exit code; none if a signal ended the command.
    pub code: Option<i32>,
    /// The result that the command printed.
    pub result: Value,
}

impl StackPlan {
    /// Plans entries in the given data centres, and one upstream of each pool of
    /// [`SMALL_DOCUMENT`] in each of `upstreams`.
    pub fn small(entries: &[&str], upstreams: &[&str]) -> Self {
        let mut planned = Vec::new();
        for pool in ["engines", "work-orders"] {
            for data_centre in upstreams {
                planned.push(UpstreamPlan {
                    name: format!("{pool}-{data_centre}"),
                    pool: pool.to_owned(),
                    data_centre: (*data_centre).to_owned(),
                    switches: UpstreamSwitches::default(),
                });
            }
        }
        let entries = entries.iter().map(|it| (*it).to_owned()).collect();
        Self { document: SMALL_DOCUMENT.to_owned(), entries, upstreams: planned }
    }

    /// Keeps only the upstreams of one pool.
    pub fn only_pool(mut self, pool: &str) -> Self {
        self.upstreams.retain(|it| it.pool == pool);
        self
    }
}

impl Stack {
    /// Starts another entry, which reaches the platform at `platform`, and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry does not start or does not reach the upstreams.
    pub async fn add_entry(
        &mut self,
        data_centre: &str,
        platform: SocketAddr,
    ) -> Result<(), StackError> {
        let name = format!("entry-{}", self.entries.len());
        let entry =
            start_entry_with_peer_address(&name, data_centre, platform, "127.0.0.1:0").await?;
        self.wait_dispatchable(entry.address).await?;
        self.entries.push(entry);
        Ok(())
    }

    /// Puts all entries into the instance list, and waits until each knows the others.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform refuses or an entry does not learn of the others.
    pub async fn register_entries(&self, data_centres: &[&str]) -> Result<(), StackError> {
        for (entry, data_centre) in self.entries.iter().zip(data_centres) {
            let instance = entry_instance(entry, data_centre);
            self.client.create(Kind::Instances, &entry.name, &instance).await?;
        }
        for entry in &self.entries {
            let count = self.entries.len() as u64;
            self.wait_status(entry.address, "peers known", |it| it["peers"] == count).await?;
        }
        Ok(())
    }

    /// Runs an operators' command to its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the command cannot be run.
    pub async fn run_operator_command(
        &self,
        arguments: &[&str],
    ) -> Result<CommandOutput, StackError> {
        let command = Command::new(binary_path("yuccatrail").map_err(ProcessError::from)?)
            .args(arguments)
            .args(["--json", "--platform", &self.platform.address.to_string()])
            .output();
        let output = command.await.map_err(ProcessError::from)?;
        let result = serde_json::from_slice(&output.stdout).unwrap_or_default();
        Ok(CommandOutput { code: output.status.code(), result })
    }

    /// Runs an operators' command that has to be accepted.
    ///
    /// # Errors
    ///
    /// Returns an error when the command is not accepted.
    pub async fn run_accepted_command(&self, arguments: &[&str]) -> Result<(), StackError> {
        let answer = self.run_operator_command(arguments).await?;
        if answer.code == Some(0) {
            return Ok(());
        }
        Err(StackError::NotReached { what: format!("{arguments:?} accepted, not {answer:?}") })
    }

    /// Sets how the platform fails, or ends its failure.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform stand-in does not answer.
    pub async fn set_outage(&self, outage: Option<Outage>) -> Result<(), StackError> {
        let switches = PlatformSwitches { outage, ..PlatformSwitches::default() };
        let body = serde_json::to_vec(&switches).unwrap_or_default();
        self.caller.send(self.platform.address, "PUT", "/fake/switches", &[], body).await?;
        Ok(())
    }

    /// Changes the state of an upstream in the platform's instance list.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform refuses.
    pub async fn set_listed_state(
        &self,
        name: &str,
        state: InstanceState,
    ) -> Result<(), StackError> {
        let object = self.client.get::<InstanceRecord>(Kind::Instances, name).await?;
        let Some(object) = object else {
            return Err(StackError::NotReached { what: format!("{name} listed") });
        };
        let record = InstanceRecord { state, ..object.spec };
        self.client.update(Kind::Instances, name, &object.resource_version, &record).await?;
        Ok(())
    }

    /// Returns the position of an upstream by name.
    pub fn upstream_index(&self, name: &str) -> Option<usize> {
        self.upstreams.iter().position(|it| it.plan.name == name)
    }

    /// Counts the calls that the upstreams of a data centre were given so far.
    ///
    /// # Errors
    ///
    /// Returns an error when a stand-in does not answer.
    pub async fn calls_in(&self, data_centre: &str) -> Result<u64, StackError> {
        let here = self.upstreams.iter().filter(|it| it.plan.data_centre == data_centre);
        let mut calls = 0;
        for record in join_all(here.map(|it| self.record(it))).await {
            calls += record?.calls;
        }
        Ok(calls)
    }

    /// Waits until the upstreams of a data centre were given more than `calls` calls.
    ///
    /// # Errors
    ///
    /// Returns an error when they are not given any in time.
    pub async fn wait_more_calls_in(
        &self,
        data_centre: &str,
        calls: u64,
    ) -> Result<(), StackError> {
        for _ in 0..POLL_LIMIT {
            if self.calls_in(data_centre).await? > calls {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(StackError::NotReached { what: format!("new calls in {data_centre}") })
    }

    /// Waits until an upstream stand-in runs `count` calls at once.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not in time.
    pub async fn wait_calls_running(&self, upstream: usize, count: u32) -> Result<(), StackError> {
        for _ in 0..POLL_LIMIT {
            if self.record(&self.upstreams[upstream]).await?.running == count {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let name = &self.upstreams[upstream].plan.name;
        Err(StackError::NotReached { what: format!("{count} calls running at {name}") })
    }
}

/// Starts an entry that other entries reach at `peer_listen`.
///
/// # Errors
///
/// Returns an error when the process does not start.
pub async fn start_entry_with_peer_address(
    name: &str,
    data_centre: &str,
    platform: SocketAddr,
    peer_listen: &str,
) -> Result<Process, StackError> {
    let platform = platform.to_string();
    let mut arguments = Vec::new();
    for (flag, value) in [
        ("--name", name),
        ("--data-centre", data_centre),
        ("--listen", "127.0.0.1:0"),
        ("--peer-listen", peer_listen),
        ("--platform", &platform),
        ("--environment", ENVIRONMENT),
    ] {
        arguments.extend([flag.to_owned(), value.to_owned()]);
    }
    arguments.insert(0, "serve".to_owned());
    Ok(Process::start(name, "yuccatrail", &arguments).await?)
}
