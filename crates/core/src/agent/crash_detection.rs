//! Detection of upstream crashes and restarts from interrupted calls and probes.

use crate::{
    capacity::Epoch,
    ids::Digest,
    outcome::{Execution, Reason, Usage},
};

/// How a call to the upstream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The response is complete.
    Completed {
        /// HTTP status.
        status: u16,
        /// `Content-Type` of the response, if it has one.
        content_type: Option<String>,
    },
    /// The upstream answered with an error status.
    Rejected {
        /// HTTP status.
        status: u16,
    },
    /// No connection could be opened, so the upstream received nothing.
    NotConnected,
    /// The response broke off.
    Lost,
    /// The entry cancelled the call while it was running.
    Cancelled,
}

impl CallResult {
    /// Returns the reason of a failure, what is known about the execution, and the HTTP status if
    /// the upstream answered.
    pub(crate) fn failure(&self) -> (Reason, Execution, Option<u16>) {
        match self {
            Self::Rejected { status } => (Reason::UpstreamError, Execution::Failed, Some(*status)),
            Self::Cancelled => (Reason::Cancelled, Execution::Unknown, None),
            Self::NotConnected => (Reason::UpstreamLost, Execution::NotRun, None),
            Self::Completed { .. } | Self::Lost => (Reason::UpstreamLost, Execution::Unknown, None),
        }
    }
}

/// Result of a health probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream answered.
    Answered {
        /// Random identifier that the upstream chooses at each start, if it reports one.
        boot_id: Option<u64>,
        /// Whether the upstream is warm, if it reports that.
        warm: Option<bool>,
    },
    /// Nothing listens on the upstream's address.
    Refused,
    /// The upstream did not give a valid response in time.
    NoAnswer,
}

/// Identifies a probe from sending to result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTicket {
    /// Capacity epoch in which the probe was sent.
    pub(crate) epoch: Epoch,
    /// Time at which the probe was sent, in milliseconds.
    pub(crate) sent_ms: u64,
    /// Sequence number of the probe at this agent, counted from one.
    pub(crate) number: u64,
}

impl ProbeTicket {
    /// Returns the time at which the probe was sent, in milliseconds.
    pub fn sent_ms(&self) -> u64 {
        self.sent_ms
    }
}

/// Detects crashes and restarts of the upstream, here both called crashes, and counts each of them
/// once.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashDetector {
    boot_id: Option<u64>,
    /// Whether the last probe was refused, so that the crash it showed is already counted.
    refused: bool,
    suspected: Option<SuspectedCrash>,
    /// Number of crashes so far.
    count: u32,
}

/// Calls that were in progress when a response broke off.
#[derive(Clone, Debug)]
struct SuspectedCrash {
    epoch: Epoch,
    in_progress: Vec<Digest>,
}

/// A crash confirmed by a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ConfirmedCrash {
    /// Sequence number of the crash, counted from one.
    pub(crate) number: u32,
    /// Fingerprints of the requests in progress when the upstream crashed.
    pub(crate) in_progress: Vec<Digest>,
}

impl CrashDetector {
    /// Records that a response broke off while the calls in `in_progress` were running.
    pub(crate) fn on_lost(&mut self, epoch: Epoch, in_progress: Vec<Digest>) {
        if self.suspected.is_none() {
            self.suspected = Some(SuspectedCrash { epoch, in_progress });
        }
    }

    /// Tells whether a crash is suspected and not yet confirmed or ruled out by a probe.
    pub(crate) fn is_suspected(&self) -> bool {
        self.suspected.is_some()
    }

    /// Applies the result of a probe that was sent in `epoch`; `in_progress` returns the current
    /// calls.
    pub(crate) fn on_probe(
        &mut self,
        epoch: Epoch,
        result: ProbeResult,
        in_progress: impl FnOnce() -> Vec<Digest>,
    ) -> Option<ConfirmedCrash> {
        let crashed = match result {
            ProbeResult::Answered { boot_id, .. } => self.update_boot_id(boot_id),
            ProbeResult::Refused => !std::mem::replace(&mut self.refused, true),
            ProbeResult::NoAnswer => return None,
        };
        let suspected = match &self.suspected {
            // A probe sent before the response broke off may also have been answered before that.
            Some(suspected) if suspected.epoch > epoch && !crashed => return None,
            _ => self.suspected.take(),
        };
        if !crashed {
            return None;
        }
        self.count += 1;
        let in_progress = match suspected {
            Some(suspected) => suspected.in_progress,
            None => in_progress(),
        };
        Some(ConfirmedCrash { number: self.count, in_progress })
    }

    /// Stores the boot identifier; returns true if it shows a restart that is not counted yet.
    fn update_boot_id(&mut self, boot_id: Option<u64>) -> bool {
        let was_refused = std::mem::replace(&mut self.refused, false);
        let Some(boot_id) = boot_id else { return false };
        let previous = self.boot_id.replace(boot_id);
        previous.is_some_and(|it| it != boot_id) && !was_refused
    }
}

/// Returns the resources that a call has used until `now_ms`.
pub(crate) fn usage(started_ms: u64, now_ms: u64, queued_ms: u64, tokens: u64) -> Usage {
    Usage { engine_ms: now_ms.saturating_sub(started_ms), queued_ms, tokens }
}
