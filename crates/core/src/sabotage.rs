//! Safety mechanisms that tests can disable one at a time.
//!
//! The feature `sabotage` adds `with_sabotage` constructors. Tests use them to show that each
//! oracle detects when the mechanism that it checks is missing. Without the feature every mechanism
//! is enabled.

#[cfg(all(feature = "sabotage", not(debug_assertions)))]
compile_error!("the feature `sabotage` is for tests and must not be in a release build");

/// A safety mechanism that can be disabled; each variant states the behaviour without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sabotage {
    /// Output pages are accepted without comparing the attempt and the agent's incarnation.
    ResultMatching,
    /// Chunks are released in the order of arrival instead of that of their sequence numbers.
    ChunkOrder,
    /// A response counts as complete once its completion is received, even if chunks are missing.
    ResponseCompleteness,
    /// A cancel leaves no tombstone.
    Tombstone,
    /// Tombstones are evicted before the dispatch limit of their attempt.
    TombstoneRetention,
    /// A repeated submit creates a new record instead of joining the existing one.
    DeduplicateSubmits,
    /// The dispatch limit of an attempt is not checked again before dispatch.
    DispatchLimit,
    /// An evicted attempt is reported as not run.
    UnknownAfterEviction,
    /// Every completed attempt adds to the retry budget, retries included.
    CreditOncePerStage,
    /// A claim write whose response was lost counts as successful.
    ReadBack,
    /// A claim found on read-back counts as the caller's own, without comparing the token.
    TokenComparison,
    /// A claim update that failed with a conflict counts as successful.
    ConditionalUpdate,
    /// A claim whose attempt was lost is released as if it had not run.
    ReleaseOnlyConfirmed,
    /// A claim in progress that another call holds is reported as not run.
    ForeignClaimUnknown,
    /// A request that is abandoned while the state of its claim is unknown is reported as not run.
    UnconfirmedClaimUnknown,
    /// A claim is not released after the refusal if the response to its write was lost.
    ReleaseUnconfirmed,
    /// A report about an earlier dispatch is applied to the current one.
    DispatchNumber,
    /// The expiry of the dispatch permission is ignored.
    DispatchPermission,
    /// Enough strikes quarantine a request even if it never ran alone when an upstream crashed.
    QuarantineOnlyAlone,
    /// A request with strikes is admitted like any other instead of running alone.
    RunSuspectsAlone,
    /// An agent accepts a request with strikes from an entry that sent none.
    RefuseOutdatedSubmit,
    /// Strikes received from peers are ignored.
    MergeStrikes,
    /// A request keeps its strikes after it has completed.
    ClearCompleted,
}

/// The set of enabled mechanisms: all of them, or all but one in tests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mechanisms {
    #[cfg(feature = "sabotage")]
    disabled: Option<Sabotage>,
}

impl Mechanisms {
    /// Returns the set with `mechanism` disabled.
    #[cfg(feature = "sabotage")]
    pub(crate) fn without(mechanism: Sabotage) -> Self {
        Self { disabled: Some(mechanism) }
    }

    /// Tells whether a mechanism is enabled.
    #[cfg(feature = "sabotage")]
    pub(crate) fn has(self, mechanism: Sabotage) -> bool {
        self.disabled != Some(mechanism)
    }

    /// Tells whether a mechanism is enabled; always true without the feature.
    #[cfg(not(feature = "sabotage"))]
    pub(crate) fn has(self, _mechanism: Sabotage) -> bool {
        true
    }
}
