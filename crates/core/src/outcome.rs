//! Outcomes of requests, stages and attempts as plain values.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What is known about the side effects of a call that did not complete.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// The call was not passed to any upstream and never will be.
    #[display("not_run")]
    NotRun,
    /// The call reached an upstream, which reported a failure.
    #[display("failed")]
    Failed,
    /// The call may or may not have run.
    #[display("unknown")]
    Unknown,
}

impl Execution {
    /// Combines the knowledge about two calls made for the same request.
    ///
    /// The result is the weaker claim: `NotRun` only when both were not run.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            _ => Self::Failed,
        }
    }
}

/// Why a call was refused or given up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// Every place in the upstream or its queue is taken.
    Busy,
    /// The upstream is in a cold start and its cold limit is reached.
    Cold,
    /// The upstream is leaving.
    Leaving,
    /// The data centre is out.
    DataCentreOut,
    /// The process is stopping.
    Stopping,
    /// The remaining time does not cover the remaining work.
    DeadlineUnreachable,
    /// The deadline has passed.
    DeadlineExpired,
    /// The attempt arrived after its dispatch limit.
    DispatchExpired,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt identifier is not known to the agent.
    UnknownAttempt,
    /// The request is quarantined because upstreams stopped while running it.
    Quarantined,
    /// The request is suspected of stopping upstreams, which the sender did not know.
    Suspected,
    /// No upstream of the pool can be reached.
    NoUpstream,
    /// The process holds no configuration yet.
    NoConfiguration,
    /// The customer has used up its share.
    CustomerShare,
    /// The platform cannot be reached and the call needs it.
    PlatformUnavailable,
    /// The idempotency key is claimed by another call.
    KeyClaimed,
    /// The upstream answered with an error.
    UpstreamError,
    /// The connection to the upstream broke or its answer was incomplete.
    UpstreamLost,
    /// The connection to the agent broke or the agent was replaced.
    AgentLost,
    /// The agent runs for another pool or upstream than the caller expected.
    WrongUpstream,
    /// The retry budget is spent.
    RetryBudget,
}

/// A call that did not complete, with what is known about its execution.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{reason} ({execution})")]
pub struct Refusal {
    /// Why the call did not complete.
    pub reason: Reason,
    /// What is known about its side effects.
    pub execution: Execution,
    /// Time after which the caller may try again, in milliseconds.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Refuses a call that was not passed to any upstream.
    pub fn not_run(reason: Reason, retry_after_ms: u64) -> Self {
        Self { reason, execution: Execution::NotRun, retry_after_ms }
    }
}

/// Resources that one attempt consumed at its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Time between dispatch and the end of the answer, in milliseconds.
    pub engine_ms: u64,
    /// Time spent waiting in the agent before dispatch, in milliseconds.
    pub queued_ms: u64,
    /// Number of stream events, each of which carries about one token.
    pub tokens: u64,
}
