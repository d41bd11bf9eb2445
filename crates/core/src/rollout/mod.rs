//! Roll-outs: moves the traffic of a service to another software version, or takes that version back.
//!
//! Every entry limits what it sends to the new version and counts how it responds. The entry that owns
//! the roll-out merges these counts, advances the phases and decides on the verdict.

mod answers;
mod canary;
mod decider;
mod decision;
mod evidence;
mod exchange;
mod likelihood;
mod order;
mod order_state;
mod phases;
mod rollouts;
mod status_writer;
mod usage;
mod versions;

pub use answers::AnswerSample;
pub use decider::RolloutDecider;
pub use decision::{
    NewUpstream, RolloutEvent, RolloutUpstreams, StatusWrite, VerdictInputs, VerdictReason,
    WriteOutcome,
};
pub use evidence::RolloutSabotage;
pub use exchange::{
    Answers, RolloutDirective, RolloutPhase, RolloutReport, RouteEvidence, SLOWNESS_BUCKETS,
    UpstreamEvidence,
};
pub use order::{ExposureLimit, RolloutObject, RolloutOrder, RolloutState, RolloutStatus};
pub(crate) use order_state::CallKind;
pub use order_state::ExposureSabotage;
pub use rollouts::Rollouts;
pub(crate) use versions::ListedVersion;

#[cfg(test)]
mod tests;
