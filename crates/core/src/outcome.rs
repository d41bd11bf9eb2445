//! Outcomes of requests, stages and attempts, and the resources that they used.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Knowledge about whether a call that did not complete was executed, and so may have side effects.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// The call was not sent to any upstream and never will be.
    #[display("not_run")]
    NotRun,
    /// The call reached an upstream, which reported a failure.
    #[display("failed")]
    Failed,
    /// The call may or may not have been executed.
    #[display("unknown")]
    Unknown,
}

impl Execution {
    /// Combines the knowledge about two calls made for the same request.
    ///
    /// The result is the weaker statement: `NotRun` only if neither call ran.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            _ => Self::Failed,
        }
    }
}

/// Reason why a call was refused or did not complete.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The upstream and its queue are full.
    Busy,
    /// The upstream is in a cold start and its concurrency limit for cold starts is reached.
    Cold,
    /// The upstream is being taken out of service.
    Leaving,
    /// The data centre is out of service.
    DataCentreOut,
    /// The process is shutting down.
    Stopping,
    /// The time until the deadline does not cover the expected run time.
    DeadlineUnreachable,
    /// The deadline has passed.
    DeadlineExpired,
    /// The latest dispatch time of the attempt has passed.
    DispatchExpired,
    /// The attempt was cancelled.
    Cancelled,
    /// The agent has no record of the attempt identifier.
    UnknownAttempt,
    /// The request is quarantined because upstreams crashed while they were running it.
    Quarantined,
    /// The agent holds strikes against the request, but the sender sent none with it.
    Suspected,
    /// No upstream of the pool is reachable.
    NoUpstream,
    /// The process holds no configuration yet.
    NoConfiguration,
    /// The customer has used up its share of the capacity.
    CustomerShare,
    /// The call needs the platform, which is unreachable.
    PlatformUnavailable,
    /// The idempotency key is claimed by another call.
    KeyClaimed,
    /// The upstream responded with an error.
    UpstreamError,
    /// The connection to the upstream failed or its response was incomplete.
    UpstreamLost,
    /// The connection to the agent failed or the agent was replaced.
    AgentLost,
    /// The agent serves another pool or upstream than the caller expected.
    WrongUpstream,
    /// The retry budget is exhausted.
    RetryBudget,
}

/// Describes a call that did not complete and what is known about its execution.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{reason} ({execution})")]
pub struct Refusal {
    /// Why the call did not complete.
    pub reason: Reason,
    /// Whether it was executed, as far as known.
    pub execution: Execution,
    /// Delay after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Creates the refusal of a call that was not sent to any upstream.
    pub fn not_run(reason: Reason, retry_after_ms: u64) -> Self {
        Self { reason, execution: Execution::NotRun, retry_after_ms }
    }
}

/// Resources that one attempt used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Time from dispatch to the end of the response, in milliseconds.
    pub engine_ms: u64,
    /// Time spent in the agent's queue before dispatch, in milliseconds.
    pub queued_ms: u64,
    /// Number of stream events, each of which contains about one token.
    pub tokens: u64,
}
