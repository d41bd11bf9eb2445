//! Fault injection into a running stack, and the calls that its upstreams have started.

use std::{sync::PoisonError, time::Duration};

use serde_json::Value;
use yuccatrail_core::{FastMap, membership::InstanceRecord};
use yuccatrail_platform::Kind;

use super::{
    caller::{CallerError, ReceivedResponse},
    fault_proxy::FaultProxy,
    process::{Process, ProcessError, Signal},
    run::{Stack, StackError, start_agent, start_entry_listening_at, start_upstream},
};
use crate::{platform, upstream::server::CALL_LINE_PREFIX};

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of checks after which a condition counts as not reached.
const POLL_LIMIT: u32 = 2000;
/// Attempts to start a process at an address that another program may hold for a moment.
const START_ATTEMPTS: u32 = 20;
/// Time between two of these attempts.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Numbers of calls that the upstreams of a stack have started, including upstreams that were
/// killed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamCalls {
    /// Number of calls by request ID.
    pub by_request: FastMap<String, u32>,
    /// Number of calls by idempotency key.
    pub by_key: FastMap<String, u32>,
}

impl UpstreamCalls {
    /// Returns the number of calls with an idempotency key.
    pub fn count_for_key(&self, key: &str) -> u32 {
        self.by_key.get(key).copied().unwrap_or(0)
    }

    /// Returns the number of calls for a request ID.
    pub fn count_for_request(&self, request: &str) -> u32 {
        self.by_request.get(request).copied().unwrap_or(0)
    }

    fn add_log_line(&mut self, line: &str) {
        let Some((request, key)) =
            line.strip_prefix(CALL_LINE_PREFIX).and_then(|it| it.split_once(' '))
        else {
            return;
        };
        *self.by_request.entry(request.to_owned()).or_default() += 1;
        if !key.is_empty() {
            *self.by_key.entry(key.to_owned()).or_default() += 1;
        }
    }
}

/// Outcome of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// A success response was received.
    Completed,
    /// The request was refused and was not run.
    NotRun,
    /// The request ran and failed.
    Failed,
    /// The request may have run, or no response was received.
    Unknown,
}

impl ReportedOutcome {
    /// Returns the outcome that the result of a call reports.
    pub fn of(response: &Result<ReceivedResponse, CallerError>) -> Self {
        match response {
            Ok(response) if response.status < 400 => Self::Completed,
            Ok(response) => Self::of_problem(&response.body),
            Err(_) => Self::Unknown,
        }
    }

    /// Returns the outcome that a problem document reports.
    pub fn of_problem(problem: &Value) -> Self {
        match problem["outcome"].as_str() {
            Some("not_run") => Self::NotRun,
            Some("failed") => Self::Failed,
            _ => Self::Unknown,
        }
    }
}

/// Waits until a condition holds; `what` describes it in the error.
///
/// # Errors
///
/// Returns an error when the condition is not reached in time.
pub async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) -> Result<(), StackError> {
    for _ in 0..POLL_LIMIT {
        if condition().await {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(StackError::NotReached { what: what.to_owned() })
}

impl Stack {
    /// Kills the agent of an upstream and starts a new one at the same address.
    ///
    /// # Errors
    ///
    /// Returns an error when the new process does not start.
    pub async fn replace_agent(&mut self, number: usize) -> Result<(), StackError> {
        let pair = &mut self.upstreams[number];
        kill(&mut pair.agent).await?;
        let listen = pair.agent.address.to_string();
        let (plan, upstream) = (pair.plan.clone(), pair.upstream.address);
        pair.agent =
            start_with_retries(async || start_agent(&plan, upstream, &listen).await).await?;
        Ok(())
    }

    /// Kills an upstream; nothing listens on its address afterwards.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be killed.
    pub async fn kill_upstream(&mut self, number: usize) -> Result<(), StackError> {
        kill(&mut self.upstreams[number].upstream).await
    }

    /// Kills an upstream and starts a new one at the same address.
    ///
    /// # Errors
    ///
    /// Returns an error when the new process does not start.
    pub async fn replace_upstream(&mut self, number: usize) -> Result<(), StackError> {
        self.kill_upstream(number).await?;
        let pair = &mut self.upstreams[number];
        let listen = pair.upstream.address.to_string();
        let plan = pair.plan.clone();
        let upstream = start_with_retries(async || start_upstream(&plan, &listen).await).await?;
        self.killed_upstreams.push(std::mem::replace(&mut pair.upstream, upstream));
        Ok(())
    }

    /// Kills an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be killed.
    pub async fn kill_entry(&mut self, number: usize) -> Result<(), StackError> {
        kill(&mut self.entries[number]).await
    }

    /// Kills an entry, starts a new one at the same address and waits until it is connected to
    /// every upstream.
    ///
    /// # Errors
    ///
    /// Returns an error when the new process does not start or does not connect in time.
    pub async fn replace_entry(
        &mut self,
        number: usize,
        data_centre: &str,
    ) -> Result<(), StackError> {
        self.kill_entry(number).await?;
        let (name, listen) =
            (self.entries[number].name.clone(), self.entries[number].address.to_string());
        let platform = self.platform.address;
        let start = async || start_entry_listening_at(&name, data_centre, platform, &listen).await;
        self.entries[number] = start_with_retries(start).await?;
        self.wait_connected(self.entry(number), self.upstreams.len()).await
    }

    /// Puts a proxy in front of the agent of an upstream: lists the proxy's address on the platform
    /// and waits until every entry is connected through it.
    ///
    /// # Errors
    ///
    /// Returns an error when the proxy does not start or the entries do not connect to it in time.
    pub async fn insert_proxy(&self, number: usize) -> Result<FaultProxy, StackError> {
        let pair = &self.upstreams[number];
        let proxy = FaultProxy::open(pair.agent.address).await.map_err(ProcessError::from)?;
        let instance = InstanceRecord { address: proxy.address(), ..pair.instance() };
        let listed = self.client.get::<InstanceRecord>(Kind::Instances, &pair.plan.name).await?;
        let Some(listed) = listed else {
            return Err(StackError::NotReached { what: format!("{} is listed", pair.plan.name) });
        };
        let version = listed.resource_version;
        self.client.update(Kind::Instances, &pair.plan.name, &version, &instance).await?;
        wait_until("connections through the proxy", async || {
            proxy.open_connections() == self.entries.len()
        })
        .await?;
        for entry in &self.entries {
            self.wait_connected(entry.address, self.upstreams.len()).await?;
        }
        Ok(proxy)
    }

    /// Replaces the switches of the platform stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not respond.
    pub async fn set_platform_switches(
        &self,
        switches: &platform::PlatformSwitches,
    ) -> Result<(), StackError> {
        let body = serde_json::to_vec(switches).unwrap_or_default();
        self.caller.send(self.platform.address, "PUT", "/fake/switches", &[], body).await?;
        Ok(())
    }

    /// Reads the counters of the platform stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not respond.
    pub async fn platform_counters(&self) -> Result<platform::Counters, StackError> {
        let path = "/fake/counters";
        let response = self.caller.send(self.platform.address, "GET", path, &[], "").await?;
        serde_json::from_value(response.body)
            .map_err(|it| StackError::Caller(CallerError { detail: it.to_string() }))
    }

    /// Makes an upstream cold without notifying any other process.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not respond.
    pub async fn turn_cold(&self, number: usize) -> Result<(), StackError> {
        let address = self.upstreams[number].upstream.address;
        self.caller.send(address, "POST", "/fake/cold", &[], "").await?;
        Ok(())
    }

    /// Counts the calls that the upstreams have started so far; requires their switch `log_calls`.
    ///
    /// # Errors
    ///
    /// Returns an error when the log of a running upstream lacks lines of its calls for too long.
    pub async fn calls(&self) -> Result<UpstreamCalls, StackError> {
        let mut calls = UpstreamCalls::default();
        for pair in &self.upstreams {
            let Ok(record) = self.record(pair).await else { continue };
            // The log lines of a running process are read shortly after the calls start.
            wait_until("log lines of all calls", async || {
                call_lines(&pair.upstream).len() as u64 >= record.calls
            })
            .await?;
        }
        let running = self.upstreams.iter().map(|it| &it.upstream);
        for process in running.chain(&self.killed_upstreams) {
            for line in call_lines(process) {
                calls.add_log_line(&line);
            }
        }
        Ok(calls)
    }

    /// Waits until an upstream has started a call with an idempotency key; returns the upstream's
    /// number.
    ///
    /// # Errors
    ///
    /// Returns an error when no upstream starts such a call in time, or when one does not respond.
    pub async fn wait_for_run(&self, key: &str) -> Result<usize, StackError> {
        for _ in 0..POLL_LIMIT {
            for (number, pair) in self.upstreams.iter().enumerate() {
                let record = self.record(pair).await?;
                if record.runs_by_key.contains_key(key) {
                    return Ok(number);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(StackError::NotReached { what: format!("a call with key {key}") })
    }
}

fn call_lines(process: &Process) -> Vec<String> {
    let log = process.log.lock().unwrap_or_else(PoisonError::into_inner);
    log.iter().filter(|it| it.starts_with(CALL_LINE_PREFIX)).cloned().collect()
}

async fn kill(process: &mut Process) -> Result<(), StackError> {
    process.signal(Signal::Kill).await?;
    process.wait().await?;
    Ok(())
}

/// Starts a process and retries while that fails, as its address may be in use for a moment.
async fn start_with_retries(
    start: impl AsyncFn() -> Result<Process, StackError>,
) -> Result<Process, StackError> {
    for _ in 1..START_ATTEMPTS {
        if let Ok(process) = start().await {
            return Ok(process);
        }
        tokio::time::sleep(START_RETRY_INTERVAL).await;
    }
    start().await
}
