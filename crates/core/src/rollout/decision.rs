//! What a decider is told about a roll-out, and the values that it returns.

use std::sync::Arc;

use crate::rollout::{RolloutObject, RolloutOrder, RolloutPhase, RolloutState, RolloutStatus};

/// An upstream of the new version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewUpstream {
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Number of requests that it processes at a time.
    pub slots: u32,
    /// Tells whether its cold start is over.
    pub is_warm: bool,
}

/// Upstreams of a service during a roll-out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutUpstreams {
    /// Upstreams of the new version that are listed and do not leave.
    pub new: Vec<NewUpstream>,
    /// Slots of all upstreams of the old version.
    pub old_slots: u32,
}

/// A status that the owner of a roll-out has to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusWrite {
    /// Service of the order.
    pub service: Arc<str>,
    /// Number of the revision of the object on which the write is conditional.
    pub revision: u64,
    /// The status.
    pub status: RolloutStatus,
}

/// Outcome of a write of a status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The status is in the platform.
    Done {
        /// Number of the revision of the write.
        revision: u64,
    },
    /// The object has changed; it is as given, or is gone.
    Conflict(Option<RolloutObject>),
    /// The write may or may not have been executed, or may still be.
    Unknown,
}

/// Why a verdict was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictReason {
    /// All entries use the new version, and nothing needs the old one.
    Switched,
    /// The answers of the new version are worse than those of the old one.
    BadAnswers,
    /// The new version has given too few answers by the deadline.
    TooLittleEvidence,
    /// The new version has too little warm capacity at the deadline.
    TooLittleCapacity,
    /// No upstream runs the new version at the deadline.
    NoUpstreams,
    /// Entries still need the old version at the deadline.
    OldVersionInUse,
    /// Entries have already taken the new version out of use on another decider's directive.
    OtherDecider,
}

/// Inputs of a verdict, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VerdictInputs {
    /// Age of the order, in milliseconds.
    pub age_ms: u64,
    /// Time since the oldest of the reports that the verdict depends on, in milliseconds.
    pub oldest_report_ms: u64,
    /// Number of entries whose counts are included.
    pub reporting_entries: usize,
    /// Answers of the old version.
    pub old_answers: u32,
    /// Bad answers of the old version.
    pub old_bad: u32,
    /// Answers of the new version.
    pub new_answers: u32,
    /// Bad answers of the new version.
    pub new_bad: u32,
    /// Natural logarithm of the evidence against the new version.
    pub log_evidence: f64,
    /// Slots of the warm upstreams of the new version.
    pub warm_slots: u32,
    /// Slots of the old version.
    pub old_slots: u32,
}

/// A fact for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutEvent {
    /// An order was seen for the first time.
    OrderSeen {
        /// The order.
        order: RolloutOrder,
    },
    /// An order was removed or replaced.
    OrderRemoved {
        /// The order.
        order: RolloutOrder,
    },
    /// The roll-out entered a phase.
    PhaseEntered {
        /// The order.
        order: RolloutOrder,
        /// Its phase.
        phase: RolloutPhase,
        /// Part of new requests that goes to the new version.
        share: f64,
        /// Age of the order, in milliseconds.
        age_ms: u64,
    },
    /// A canary upstream alone looks bad and another one takes its place.
    CanaryReplaced {
        /// The order.
        order: RolloutOrder,
        /// Identifier of the upstream.
        upstream: Arc<str>,
        /// Age of the order, in milliseconds.
        age_ms: u64,
    },
    /// This decider reached a verdict.
    VerdictReached {
        /// The order.
        order: RolloutOrder,
        /// The verdict.
        state: RolloutState,
        /// Why.
        reason: VerdictReason,
        /// What it depends on.
        inputs: VerdictInputs,
    },
    /// The platform holds a verdict that this decider had not reached.
    VerdictAdopted {
        /// The order.
        order: RolloutOrder,
        /// The verdict.
        state: RolloutState,
    },
    /// The platform does not hold the verdict any more, which is written again.
    VerdictLost {
        /// The order.
        order: RolloutOrder,
        /// The verdict.
        state: RolloutState,
    },
    /// It is unknown whether a write was executed.
    WriteUnknown {
        /// The order.
        order: RolloutOrder,
        /// State that may have been written.
        state: RolloutState,
    },
}

/// Returns the phase of an order that has this state for good.
pub(crate) fn final_phase(state: RolloutState) -> RolloutPhase {
    match state {
        RolloutState::Completed => RolloutPhase::Completed,
        RolloutState::RolledBack => RolloutPhase::RolledBack,
        RolloutState::Running => RolloutPhase::Warming,
    }
}
