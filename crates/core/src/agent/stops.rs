//! Recognition of upstream stops from lost calls and probes.

use crate::{
    capacity::Epoch,
    ids::Digest,
    outcome::{Execution, Reason, Usage},
};

/// How a call to the upstream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The answer is complete.
    Completed {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Option<String>,
    },
    /// The upstream answered with an error status.
    Rejected {
        /// HTTP status.
        status: u16,
    },
    /// No connection could be opened, so the upstream received nothing.
    NotConnected,
    /// The answer broke off.
    Lost,
    /// The entry cancelled the call while it ran.
    Cancelled,
}

impl CallResult {
    /// Returns the reason of a failure, what is known about the execution, and the HTTP status.
    pub(crate) fn failure(&self) -> (Reason, Execution, Option<u16>) {
        match self {
            Self::Rejected { status } => (Reason::UpstreamError, Execution::Failed, Some(*status)),
            Self::Cancelled => (Reason::Cancelled, Execution::Unknown, None),
            Self::NotConnected => (Reason::UpstreamLost, Execution::NotRun, None),
            Self::Completed { .. } | Self::Lost => (Reason::UpstreamLost, Execution::Unknown, None),
        }
    }
}

/// Answer to a health probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream answered.
    Answered {
        /// Identity of the engine start, if it reports one.
        boot_id: Option<u64>,
        /// Whether the engine is warm, if it reports that.
        warm: Option<bool>,
    },
    /// Nothing listens on the upstream's address.
    Refused,
    /// The upstream did not answer in time.
    NoAnswer,
}

/// Accompanies a probe from its sending to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTicket {
    /// Epoch of the capacity in which the probe is sent.
    pub(crate) epoch: Epoch,
    /// Time of sending, in milliseconds.
    pub(crate) sent_ms: u64,
    /// Number of the probe among those of the agent, counted from one.
    pub(crate) number: u64,
}

/// Recognizes stops of the upstream; each stop is counted once.
#[derive(Clone, Debug, Default)]
pub(crate) struct StopDetector {
    boot_id: Option<u64>,
    refused: bool,
    suspected: Option<Suspected>,
    count: u32,
}

/// Calls that were in progress when an answer broke off.
#[derive(Clone, Debug)]
struct Suspected {
    epoch: Epoch,
    in_progress: Vec<Digest>,
}

/// A stop that a probe confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ConfirmedStop {
    /// Number of the stop, counted from one.
    pub(crate) number: u32,
    /// Requests in progress at that time.
    pub(crate) in_progress: Vec<Digest>,
}

impl StopDetector {
    /// Notes that an answer broke off; `in_progress` names all calls that the upstream then had.
    pub(crate) fn on_lost(&mut self, epoch: Epoch, in_progress: Vec<Digest>) {
        if self.suspected.is_none() {
            self.suspected = Some(Suspected { epoch, in_progress });
        }
    }

    /// Tells whether a stop is suspected and not yet settled by a probe.
    pub(crate) fn is_suspected(&self) -> bool {
        self.suspected.is_some()
    }

    /// Takes the result of a probe that was sent in `epoch`; `in_progress` names the current calls.
    pub(crate) fn on_probe(
        &mut self,
        epoch: Epoch,
        result: ProbeResult,
        in_progress: impl FnOnce() -> Vec<Digest>,
    ) -> Option<ConfirmedStop> {
        let stopped = match result {
            ProbeResult::Answered { boot_id, .. } => self.take_boot_id(boot_id),
            ProbeResult::Refused => !std::mem::replace(&mut self.refused, true),
            ProbeResult::NoAnswer => return None,
        };
        let suspected = match &self.suspected {
            // A probe that was sent before the loss may have been answered before it, too.
            Some(suspected) if suspected.epoch > epoch && !stopped => return None,
            _ => self.suspected.take(),
        };
        if !stopped {
            return None;
        }
        self.count += 1;
        let in_progress = match suspected {
            Some(suspected) => suspected.in_progress,
            None => in_progress(),
        };
        Some(ConfirmedStop { number: self.count, in_progress })
    }

    /// Takes over the boot identity; returns true when it shows a restart not counted before.
    fn take_boot_id(&mut self, boot_id: Option<u64>) -> bool {
        let was_refused = std::mem::replace(&mut self.refused, false);
        let Some(boot_id) = boot_id else { return false };
        let previous = self.boot_id.replace(boot_id);
        previous.is_some_and(|it| it != boot_id) && !was_refused
    }
}

/// Builds the usage of a call.
pub(crate) fn usage(started_ms: u64, now_ms: u64, queued_ms: u64, tokens: u64) -> Usage {
    Usage { engine_ms: now_ms.saturating_sub(started_ms), queued_ms, tokens }
}
