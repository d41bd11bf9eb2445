//! What an entry knows about one upstream.

use std::net::SocketAddr;

use super::{InstanceRecord, InstanceState, Sabotage};
use crate::{ids::Incarnation, outcome::Reason, switch::MechanismSwitch};

/// What an answer of an agent shows about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentReport {
    /// Time before the question was sent, on the entry's clock in milliseconds.
    pub sent_ms: u64,
    /// The run of the agent that answered.
    pub incarnation: Incarnation,
    /// Time of the answer, on the agent's clock in milliseconds.
    pub agent_now_ms: u64,
    /// Whether the agent refuses new work.
    pub is_draining: bool,
}

/// What an entry knows about one upstream and its agent.
#[derive(Clone, Debug)]
pub struct Upstream {
    record: InstanceRecord,
    pub(super) is_listed: bool,
    pub(super) is_out: bool,
    pub(super) is_leaving: bool,
    in_progress: u32,
    contact: Option<AgentReport>,
    /// Time at which the last contact failed, on the entry's clock in milliseconds.
    failed_ms: Option<u64>,
}

impl Upstream {
    /// Creates an upstream that was never contacted.
    pub(super) fn new(record: InstanceRecord) -> Self {
        Self {
            record,
            is_listed: true,
            is_out: false,
            is_leaving: false,
            in_progress: 0,
            contact: None,
            failed_ms: None,
        }
    }

    /// Name, unique in the environment.
    pub fn name(&self) -> &str {
        &self.record.name
    }

    /// Pool that the upstream belongs to, if the list names one.
    pub fn pool(&self) -> Option<&str> {
        self.record.pool.as_deref()
    }

    /// Data centre that the upstream stands in.
    pub fn data_centre(&self) -> &str {
        &self.record.data_centre
    }

    /// Address of the agent.
    pub fn address(&self) -> SocketAddr {
        self.record.address
    }

    /// The run of the agent that answered last, if it ever did.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.contact.map(|it| it.incarnation)
    }

    /// Calls of this entry in progress at the upstream.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Tells whether the instance list shows the upstream as leaving.
    pub fn is_listed_leaving(&self) -> bool {
        self.record.state == InstanceState::Leaving
    }

    /// Tells whether the upstream may get new work, or why not.
    pub fn check(&self) -> Result<(), Reason> {
        if !self.is_listed || self.is_leaving || self.record.state == InstanceState::Leaving {
            return Err(Reason::Leaving);
        }
        if self.is_out {
            return Err(Reason::DataCentreOut);
        }
        let Some(contact) = self.contact else {
            return Err(Reason::NoUpstream);
        };
        if self.failed_ms.is_some() {
            return Err(Reason::AgentLost);
        }
        if contact.is_draining {
            return Err(Reason::Leaving);
        }
        Ok(())
    }

    /// Takes over a newer record of the list.
    pub(super) fn relist(&mut self, record: InstanceRecord, switch: &MechanismSwitch<Sabotage>) {
        if let Some(contact) = &mut self.contact
            && switch.is_disabled(Sabotage::ReportOverList)
        {
            contact.is_draining = record.state == InstanceState::Leaving;
        }
        self.record = record;
        self.is_listed = true;
    }

    /// Takes over an answer of the agent unless a later one is known.
    ///
    /// Returns the run of the agent that this answer replaces.
    pub(super) fn contacted(
        &mut self,
        report: AgentReport,
        switch: &MechanismSwitch<Sabotage>,
    ) -> Option<Incarnation> {
        let is_ordered = !switch.is_disabled(Sabotage::ReportOrder);
        let is_late = self.contact.is_some_and(|known| !is_later(&report, &known));
        if is_late && is_ordered {
            return None;
        }
        // A failure is cleared only by a question that was sent after it.
        if self.failed_ms.is_some_and(|it| report.sent_ms >= it) {
            self.failed_ms = None;
        }
        let replaced = self.incarnation().filter(|it| *it != report.incarnation);
        let known_sent_ms = match replaced {
            Some(_) => None,
            None => self.contact.map(|it| it.sent_ms),
        };
        let sent_ms = known_sent_ms.map_or(report.sent_ms, |it| it.max(report.sent_ms));
        self.contact = Some(AgentReport { sent_ms, ..report });
        replaced
    }

    /// Notes that a contact failed.
    pub(super) fn contact_failed(&mut self, now_ms: u64) {
        self.failed_ms = self.failed_ms.max(Some(now_ms));
    }

    pub(super) fn begin_work(&mut self) {
        self.in_progress += 1;
    }

    pub(super) fn end_work(&mut self) {
        debug_assert!(self.in_progress > 0, "work ends once for each time it begins");
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Tells whether nothing needs the upstream any more.
    pub(super) fn is_forgettable(&self) -> bool {
        !self.is_listed && self.in_progress == 0
    }
}

/// Tells whether an answer was given after a known one.
///
/// Answers of one run are ordered by the agent's clock, since an answer may be held back on
/// purpose. Another run replaces the known one only if it answered a later question.
fn is_later(report: &AgentReport, known: &AgentReport) -> bool {
    match report.incarnation == known.incarnation {
        true => report.agent_now_ms >= known.agent_now_ms,
        false => report.sent_ms > known.sent_ms,
    }
}
