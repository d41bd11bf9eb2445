//! State of one upstream and its agent as known to an entry.

use std::net::SocketAddr;

use super::{InstanceRecord, InstanceState, Sabotage};
use crate::{ids::Incarnation, outcome::Reason, switch::MechanismSwitch};

/// State of an agent according to one of its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentReport {
    /// Time just before the request was sent, in milliseconds on the entry's clock.
    pub sent_ms: u64,
    /// Incarnation of the agent process that responded.
    pub incarnation: Incarnation,
    /// Time of the response, in milliseconds on the agent's clock.
    pub agent_now_ms: u64,
    /// Whether the agent refuses new work.
    pub is_draining: bool,
}

/// State of one upstream and its agent as known to an entry.
#[derive(Clone, Debug)]
pub struct Upstream {
    record: InstanceRecord,
    pub(super) is_listed: bool,
    pub(super) is_out: bool,
    pub(super) is_leaving: bool,
    in_progress: u32,
    last_report: Option<AgentReport>,
    /// Time of the last failed contact, in milliseconds on the entry's clock; cleared by a report
    /// that was requested later.
    failed_ms: Option<u64>,
}

impl Upstream {
    /// Creates an upstream without reports.
    pub(super) fn new(record: InstanceRecord) -> Self {
        Self {
            record,
            is_listed: true,
            is_out: false,
            is_leaving: false,
            in_progress: 0,
            last_report: None,
            failed_ms: None,
        }
    }

    /// Returns the name, which is unique within the environment.
    pub fn name(&self) -> &str {
        &self.record.name
    }

    /// Returns the pool, if the instance list contains one.
    pub fn pool(&self) -> Option<&str> {
        self.record.pool.as_deref()
    }

    /// Returns the data centre in which the upstream runs.
    pub fn data_centre(&self) -> &str {
        &self.record.data_centre
    }

    /// Returns the address of the agent.
    pub fn address(&self) -> SocketAddr {
        self.record.address
    }

    /// Returns the incarnation of the agent process in the last report, if there is one.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.last_report.map(|it| it.incarnation)
    }

    /// Returns the number of this entry's calls in progress at the upstream.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Returns whether the upstream is marked as leaving in the instance list.
    pub fn is_listed_leaving(&self) -> bool {
        self.record.state == InstanceState::Leaving
    }

    /// Checks whether the upstream is eligible for new work.
    ///
    /// # Errors
    ///
    /// Returns the reason if it is not.
    pub fn check(&self) -> Result<(), Reason> {
        if !self.is_listed || self.is_leaving || self.record.state == InstanceState::Leaving {
            return Err(Reason::Leaving);
        }
        if self.is_out {
            return Err(Reason::DataCentreOut);
        }
        let Some(report) = self.last_report else {
            return Err(Reason::NoUpstream);
        };
        if self.failed_ms.is_some() {
            return Err(Reason::AgentLost);
        }
        if report.is_draining {
            return Err(Reason::Leaving);
        }
        Ok(())
    }

    /// Replaces the record by that of a newer list.
    pub(super) fn update_record(
        &mut self,
        record: InstanceRecord,
        mechanisms: &MechanismSwitch<Sabotage>,
    ) {
        if let Some(report) = &mut self.last_report
            && mechanisms.is_disabled(Sabotage::ReportOverList)
        {
            report.is_draining = record.state == InstanceState::Leaving;
        }
        self.record = record;
        self.is_listed = true;
    }

    /// Applies a report unless a later one is known.
    ///
    /// Returns the incarnation that the reporting one replaces, if they differ.
    pub(super) fn apply_report(
        &mut self,
        report: AgentReport,
        mechanisms: &MechanismSwitch<Sabotage>,
    ) -> Option<Incarnation> {
        let is_order_checked = !mechanisms.is_disabled(Sabotage::ReportOrder);
        let is_outdated = self.last_report.is_some_and(|known| !is_later(&report, &known));
        if is_outdated && is_order_checked {
            return None;
        }
        // Only a report that was requested after the failure clears it.
        if self.failed_ms.is_some_and(|it| report.sent_ms >= it) {
            self.failed_ms = None;
        }
        let replaced = self.incarnation().filter(|it| *it != report.incarnation);
        let previous_sent_ms = match replaced {
            Some(_) => None,
            None => self.last_report.map(|it| it.sent_ms),
        };
        let sent_ms = previous_sent_ms.map_or(report.sent_ms, |it| it.max(report.sent_ms));
        self.last_report = Some(AgentReport { sent_ms, ..report });
        replaced
    }

    /// Records that the agent could not be reached at `now_ms`.
    pub(super) fn record_failure(&mut self, now_ms: u64) {
        self.failed_ms = self.failed_ms.max(Some(now_ms));
    }

    pub(super) fn begin_work(&mut self) {
        self.in_progress += 1;
    }

    pub(super) fn end_work(&mut self) {
        debug_assert!(self.in_progress > 0, "end_work without a matching begin_work");
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Returns whether the upstream is neither listed nor has calls in progress.
    pub(super) fn is_removable(&self) -> bool {
        !self.is_listed && self.in_progress == 0
    }
}

/// Returns whether a report was made after a known one.
///
/// Reports of one incarnation are ordered by the agent's clock, not by the time of the request,
/// because an agent may delay a response on purpose. A report of another incarnation replaces the
/// known one only if it was requested later.
fn is_later(report: &AgentReport, known: &AgentReport) -> bool {
    match report.incarnation == known.incarnation {
        true => report.agent_now_ms >= known.agent_now_ms,
        false => report.sent_ms > known.sent_ms,
    }
}
