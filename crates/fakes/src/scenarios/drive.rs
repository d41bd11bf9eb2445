//! Applies the events of a scenario while its load runs.

use std::time::{Duration, Instant};

use tokio::task::JoinHandle;
use yuccatrail_core::control::{OperationsChange, OperationsRecord, StoredOperations};
use yuccatrail_platform::Kind;

use super::{
    observe::Observer,
    scenario::{Action, Event},
};
use crate::{
    load::tally::Tally,
    platform,
    stack::{
        caller::Caller,
        run::{Stack, StackError, start_agent, start_upstream},
    },
};

/// Interval at which the processes and their records are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after a data centre was taken out in which it may still receive new calls, in milliseconds.
pub const OUT_GRACE_MS: u64 = 3_000;
/// Time in which an agent has to detect that its upstream turned cold, in milliseconds.
pub const COLD_DETECTION_MS: u64 = 1_000;
/// Delay between repetitions of a request.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// What the driver recorded while it applied the events.
#[derive(Clone, Debug, Default)]
pub struct DriverReport {
    /// Number of crashes of upstream processes.
    pub crashes: u32,
    /// Overloads of cold upstreams up to [`COLD_DETECTION_MS`] after they turned cold.
    pub early_overloads: u32,
    /// Calls started in a data centre that was out, after [`OUT_GRACE_MS`] and before its return.
    pub calls_while_out: u64,
    /// Outcomes of the requests that were sent repeatedly, in order.
    pub resends: Vec<String>,
    /// Errors of the run itself, such as a failed graceful shutdown.
    pub errors: Vec<String>,
}

/// A data centre that is out of service.
struct OutDataCentre {
    name: &'static str,
    /// Time from which new calls are violations.
    grace_ends_at: Instant,
    /// Calls that its upstreams had started by then; set at the first poll after that time.
    calls_at_grace_end: Option<u64>,
}

/// Applies events to a stack.
pub struct Driver<'a> {
    stack: &'a mut Stack,
    observer: &'a mut Observer,
    report: DriverReport,
    out: Option<OutDataCentre>,
    cold_detected_by: Option<Instant>,
    /// Indices of the upstreams whose agents were killed.
    killed: Vec<usize>,
    resends: Vec<JoinHandle<Vec<String>>>,
}

impl<'a> Driver<'a> {
    /// Creates a driver that has not applied any events.
    pub fn new(stack: &'a mut Stack, observer: &'a mut Observer) -> Self {
        Self {
            stack,
            observer,
            report: DriverReport::default(),
            out: None,
            cold_detected_by: None,
            killed: Vec::new(),
            resends: Vec::new(),
        }
    }

    /// Applies the events at their times until the load has ended.
    ///
    /// # Errors
    ///
    /// Returns an error when an event cannot be applied.
    pub async fn run(
        mut self,
        events: &[Event],
        load: JoinHandle<Tally>,
    ) -> Result<(Tally, DriverReport), StackError> {
        let start = Instant::now();
        let mut next = 0;
        while !load.is_finished() {
            while next < events.len() && start.elapsed().as_millis() as u64 >= events[next].at_ms {
                self.apply(&events[next].action).await?;
                next += 1;
            }
            self.poll().await?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        for resend in self.resends {
            self.report.resends.extend(resend.await.unwrap_or_default());
        }
        let tally = load.await.map_err(|it| StackError::NotReached { what: it.to_string() })?;
        Ok((tally, self.report))
    }

    async fn apply(&mut self, action: &Action) -> Result<(), StackError> {
        match action {
            Action::DataCentreOut(name) => {
                self.change_operations(&OperationsChange::DataCentreOut((*name).to_owned()))
                    .await?;
                let grace_ends_at = Instant::now() + Duration::from_millis(OUT_GRACE_MS);
                self.out = Some(OutDataCentre { name, grace_ends_at, calls_at_grace_end: None });
            }
            Action::DataCentreIn(name) => {
                self.count_calls_while_out().await;
                self.change_operations(&OperationsChange::DataCentreIn((*name).to_owned())).await?;
            }
            Action::Platform(switches) => self.set_platform_switches(switches).await?,
            Action::Switch { pool, count, switches } => {
                let pairs = self.stack.upstreams.iter().filter(|it| it.plan.pool == *pool);
                for pair in pairs.take(*count) {
                    self.stack.set_upstream_switches(pair, switches).await?;
                }
            }
            Action::MakeCold(pool) => self.make_cold(pool).await?,
            Action::KillAgents { count } => self.kill_agents(*count).await?,
            Action::RestartAgents => self.restart_agents().await?,
            Action::Resend { input, times } => {
                let entry = self.stack.entry(0);
                self.resends.push(tokio::spawn(resend(entry, input, *times)));
            }
        }
        Ok(())
    }

    /// Reads the records, restarts crashed upstreams and counts calls and overloads for the report.
    async fn poll(&mut self) -> Result<(), StackError> {
        self.observer.read(self.stack).await;
        for index in 0..self.stack.upstreams.len() {
            if self.stack.upstreams[index].upstream.has_ended() {
                self.report.crashes += 1;
                self.restart_upstream(index).await?;
            }
        }
        if let Some(out) = &self.out
            && out.calls_at_grace_end.is_none()
            && Instant::now() >= out.grace_ends_at
        {
            let calls = self.calls_in(out.name).await;
            if let Some(out) = &mut self.out {
                out.calls_at_grace_end = Some(calls);
            }
        }
        if self.cold_detected_by.is_some_and(|it| Instant::now() <= it) {
            self.report.early_overloads = self.observer.totals().overloads;
        }
        Ok(())
    }

    async fn change_operations(&self, change: &OperationsChange) -> Result<(), StackError> {
        let client = &self.stack.client;
        let stored = client.get::<StoredOperations>(Kind::Operations, "current").await?;
        let current = stored.as_ref().map(|it| it.spec.record.clone());
        let current = current.unwrap_or_else(OperationsRecord::initial);
        let Some(record) = current.with_change(change) else { return Ok(()) };
        let next = StoredOperations { record, history: Vec::new() };
        match stored {
            Some(stored) => {
                let from = &stored.resource_version;
                client.update(Kind::Operations, "current", from, &next).await?;
            }
            None => {
                client.create(Kind::Operations, "current", &next).await?;
            }
        }
        Ok(())
    }

    async fn set_platform_switches(
        &self,
        switches: &platform::PlatformSwitches,
    ) -> Result<(), StackError> {
        let body = serde_json::to_vec(switches).unwrap_or_default();
        let address = self.stack.platform.address;
        self.stack.caller.send(address, "PUT", "/fake/switches", &[], body).await?;
        Ok(())
    }

    async fn make_cold(&mut self, pool: &str) -> Result<(), StackError> {
        for pair in &self.stack.upstreams {
            if pair.plan.pool == pool {
                let address = pair.upstream.address;
                self.stack.caller.send(address, "POST", "/fake/cold", &[], "").await?;
            }
        }
        self.cold_detected_by = Some(Instant::now() + Duration::from_millis(COLD_DETECTION_MS));
        Ok(())
    }

    async fn kill_agents(&mut self, count: usize) -> Result<(), StackError> {
        let step = self.stack.upstreams.len() / count;
        for index in (0..self.stack.upstreams.len()).step_by(step).take(count) {
            self.stack.upstreams[index].agent.kill_in_place().await?;
            self.killed.push(index);
        }
        Ok(())
    }

    async fn restart_agents(&mut self) -> Result<(), StackError> {
        for index in std::mem::take(&mut self.killed) {
            let pair = &mut self.stack.upstreams[index];
            let listen = pair.agent.address.to_string();
            pair.agent = start_agent(&pair.plan, pair.upstream.address, &listen).await?;
        }
        Ok(())
    }

    async fn restart_upstream(&mut self, index: usize) -> Result<(), StackError> {
        self.observer.on_restart(index);
        let pair = &mut self.stack.upstreams[index];
        let listen = pair.upstream.address.to_string();
        pair.upstream = start_upstream(&pair.plan, &listen).await?;
        Ok(())
    }

    async fn count_calls_while_out(&mut self) {
        let Some(out) = self.out.take() else { return };
        let calls = self.calls_in(out.name).await;
        match out.calls_at_grace_end {
            Some(before) => self.report.calls_while_out += calls - before,
            None => self
                .report
                .errors
                .push("data centre returned before the grace period ended".to_owned()),
        }
    }

    async fn calls_in(&self, data_centre: &str) -> u64 {
        let mut calls = 0;
        for pair in &self.stack.upstreams {
            if pair.plan.data_centre == data_centre {
                calls += self.stack.record(pair).await.map_or(0, |it| it.calls);
            }
        }
        calls
    }
}

/// Sends a pipeline request repeatedly and describes each outcome.
async fn resend(entry: std::net::SocketAddr, input: &str, times: u32) -> Vec<String> {
    let caller = Caller::new("lone-star");
    let mut outcomes = Vec::new();
    for _ in 0..times {
        let outcome = match caller.pipeline(entry, "read-back", input).await {
            Ok(response) if response.status == 200 => "answered".to_owned(),
            Ok(response) => {
                let text = |name: &str| response.body[name].as_str().unwrap_or("?").to_owned();
                format!("{}/{}", text("reason"), text("outcome"))
            }
            Err(error) => error.detail,
        };
        outcomes.push(outcome);
        tokio::time::sleep(RESEND_INTERVAL).await;
    }
    outcomes
}
