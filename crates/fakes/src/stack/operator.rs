//! Operator commands, changes on the platform and counts of calls in a running stack.

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
/// Number of checks after which a condition counts as not reached.
const POLL_LIMIT: u32 = 1000;

/// Environment document with one text generation pipeline and one service.
pub const SMALL_DOCUMENT: &str = include_str!("small.toml");

/// Result of an operator command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutput {
    /// Exit code; none if the command was killed by a signal.
    pub code: Option<i32>,
    /// JSON that the command printed; null if it printed none.
    pub result: Value,
}

impl StackPlan {
    /// Plans an entry in each data centre of `entries`, and in each of `upstreams` one upstream for
    /// each pool of [`SMALL_DOCUMENT`].
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
    /// Starts another entry that calls the platform at `platform`, and waits until it may dispatch
    /// to every upstream.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry does not start or does not connect to the upstreams in time.
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

    /// Adds all entries to the instance list and waits until each knows its peers.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform refuses a write or an entry does not learn of its peers
    /// in time.
    pub async fn register_entries(&self, data_centres: &[&str]) -> Result<(), StackError> {
        for (entry, data_centre) in self.entries.iter().zip(data_centres) {
            let instance = entry_instance(entry, data_centre);
            self.client.create(Kind::Instances, &entry.name, &instance).await?;
        }
        for entry in &self.entries {
            let count = self.entries.len() as u64;
            self.wait_status(entry.address, "all entries listed as peers", |it| {
                it["peers"] == count
            })
            .await?;
        }
        Ok(())
    }

    /// Runs an operator command and waits until it exits.
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

    /// Runs an operator command and requires that it is accepted.
    ///
    /// # Errors
    ///
    /// Returns an error when the command is not accepted.
    pub async fn run_accepted_command(&self, arguments: &[&str]) -> Result<(), StackError> {
        let output = self.run_operator_command(arguments).await?;
        if output.code == Some(0) {
            return Ok(());
        }
        Err(StackError::NotReached {
            what: format!("command {arguments:?} accepted, but it returned {output:?}"),
        })
    }

    /// Starts an outage of the platform, or ends it; other faults are switched off.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform stand-in does not respond.
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
    /// Returns an error when the upstream is not listed or the platform refuses the write.
    pub async fn set_listed_state(
        &self,
        name: &str,
        state: InstanceState,
    ) -> Result<(), StackError> {
        let object = self.client.get::<InstanceRecord>(Kind::Instances, name).await?;
        let Some(object) = object else {
            return Err(StackError::NotReached { what: format!("{name} in the instance list") });
        };
        let record = InstanceRecord { state, ..object.spec };
        self.client.update(Kind::Instances, name, &object.resource_version, &record).await?;
        Ok(())
    }

    /// Returns the index of an upstream by name.
    pub fn upstream_index(&self, name: &str) -> Option<usize> {
        self.upstreams.iter().position(|it| it.plan.name == name)
    }

    /// Counts the calls that the upstreams in a data centre have started so far.
    ///
    /// # Errors
    ///
    /// Returns an error when a stand-in does not respond.
    pub async fn calls_in(&self, data_centre: &str) -> Result<u64, StackError> {
        let in_data_centre = self.upstreams.iter().filter(|it| it.plan.data_centre == data_centre);
        let mut calls = 0;
        for record in join_all(in_data_centre.map(|it| self.record(it))).await {
            calls += record?.calls;
        }
        Ok(calls)
    }

    /// Waits until the upstreams in a data centre have started more than `calls` calls.
    ///
    /// # Errors
    ///
    /// Returns an error when no further call starts in time, or when a stand-in does not respond.
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
        Err(StackError::NotReached { what: format!("more than {calls} calls in {data_centre}") })
    }

    /// Waits until an upstream stand-in has exactly `count` calls in progress.
    ///
    /// # Errors
    ///
    /// Returns an error when that is not reached in time, or when the stand-in does not respond.
    pub async fn wait_calls_running(&self, upstream: usize, count: u32) -> Result<(), StackError> {
        for _ in 0..POLL_LIMIT {
            if self.record(&self.upstreams[upstream]).await?.running == count {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let name = &self.upstreams[upstream].plan.name;
        Err(StackError::NotReached { what: format!("{count} calls in progress at {name}") })
    }
}

/// Starts an entry on a free port that listens for its peers on `peer_listen`.
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
