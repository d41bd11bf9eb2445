//! Faults that tests provoke in a running stack, and the calls that the upstreams began meanwhile.

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
/// Number of checks before a condition counts as not reached.
const POLL_LIMIT: u32 = 2000;
/// Starts of a process at an address that another program may hold for a moment.
const START_ATTEMPTS: u32 = 20;
/// Time between two of these starts.
const START_INTERVAL: Duration = Duration::from_millis(100);

/// Calls that the upstreams of a stack began, those of ended processes included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamCalls {
    /// Calls by request identifier.
    pub by_request: FastMap<String, u32>,
    /// Calls by idempotency key.
    pub by_key: FastMap<String, u32>,
}

impl UpstreamCalls {
    /// Returns the number of calls that carried an idempotency key.
    pub fn count_for_key(&self, key: &str) -> u32 {
        self.by_key.get(key).copied().unwrap_or(0)
    }

    /// Returns the number of calls made for a request.
    pub fn count_for_request(&self, request: &str) -> u32 {
        self.by_request.get(request).copied().unwrap_or(0)
    }

    fn add(&mut self, line: &str) {
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

/// What a caller learns about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// The answer arrived.
    Completed,
    /// The request was refused as not run.
    NotRun,
    /// The request ran and failed.
    Failed,
    /// The request may have run, or the caller got no answer at all.
    Unknown,
}

impl ReportedOutcome {
    /// Reads the verdict from the answer to a call.
    pub fn of(answer: &Result<ReceivedResponse, CallerError>) -> Self {
        match answer {
            Ok(answer) if answer.status < 400 => Self::Completed,
            Ok(answer) => Self::of_problem(&answer.body),
            Err(_) => Self::Unknown,
        }
    }

    /// Reads the verdict from a problem document.
    pub fn of_problem(problem: &Value) -> Self {
        match problem["outcome"].as_str() {
            Some("not_run") => Self::NotRun,
            Some("failed") => Self::Failed,
            _ => Self::Unknown,
        }
    }
}

/// Waits until a condition holds.
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
    /// Ends the agent of an upstream without warning and starts another at the same address.
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

    /// Ends an upstream without warning; nothing listens on its address afterwards.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be ended.
    pub async fn kill_upstream(&mut self, number: usize) -> Result<(), StackError> {
        kill(&mut self.upstreams[number].upstream).await
    }

    /// Ends an upstream without warning and starts another at the same address.
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

    /// Ends an entry without warning.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be ended.
    pub async fn kill_entry(&mut self, number: usize) -> Result<(), StackError> {
        kill(&mut self.entries[number]).await
    }

    /// Ends an entry without warning, starts another at the same address and waits until it reaches
    /// every upstream.
    ///
    /// # Errors
    ///
    /// Returns an error when the new process does not start or does not reach the upstreams.
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

    /// Lists an upstream under the address of a link and waits until every entry uses it.
    ///
    /// # Errors
    ///
    /// Returns an error when the link does not open or the entries do not connect to it in time.
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

    /// Replaces the platform stand-in's switches.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not answer.
    pub async fn set_platform_switches(
        &self,
        switches: &platform::PlatformSwitches,
    ) -> Result<(), StackError> {
        let body = serde_json::to_vec(switches).unwrap_or_default();
        self.caller.send(self.platform.address, "PUT", "/fake/switches", &[], body).await?;
        Ok(())
    }

    /// Reads the platform stand-in's counters.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not answer.
    pub async fn platform_counters(&self) -> Result<platform::Counters, StackError> {
        let path = "/fake/counters";
        let answer = self.caller.send(self.platform.address, "GET", path, &[], "").await?;
        serde_json::from_value(answer.body)
            .map_err(|it| StackError::Caller(CallerError { detail: it.to_string() }))
    }

    /// Makes an upstream cold without a word to anybody.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not answer.
    pub async fn turn_cold(&self, number: usize) -> Result<(), StackError> {
        let address = self.upstreams[number].upstream.address;
        self.caller.send(address, "POST", "/fake/cold", &[], "").await?;
        Ok(())
    }

    /// Returns the calls that the upstreams began so far; their switch `log_calls` has to be on.
    ///
    /// # Errors
    ///
    /// Returns an error when a live upstream does not answer.
    pub async fn calls(&self) -> Result<UpstreamCalls, StackError> {
        let mut calls = UpstreamCalls::default();
        for pair in &self.upstreams {
            let Ok(record) = self.record(pair).await else { continue };
            // The lines of a live process arrive shortly after the calls that they name.
            wait_until("lines of all calls", async || {
                call_lines(&pair.upstream).len() as u64 >= record.calls
            })
            .await?;
        }
        let live = self.upstreams.iter().map(|it| &it.upstream);
        for process in live.chain(&self.killed_upstreams) {
            for line in call_lines(process) {
                calls.add(&line);
            }
        }
        Ok(calls)
    }

    /// Waits until an upstream has begun a call with an idempotency key; returns its number.
    ///
    /// # Errors
    ///
    /// Returns an error when no upstream does in time.
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
        Err(StackError::NotReached { what: format!("a run of {key}") })
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

/// Starts a process, again after a while if its address is taken.
async fn start_with_retries(
    start: impl AsyncFn() -> Result<Process, StackError>,
) -> Result<Process, StackError> {
    for _ in 1..START_ATTEMPTS {
        if let Ok(process) = start().await {
            return Ok(process);
        }
        tokio::time::sleep(START_INTERVAL).await;
    }
    start().await
}
