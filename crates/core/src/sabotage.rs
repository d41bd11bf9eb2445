//! Safety mechanisms that tests can switch off one at a time.
//!
//! The feature `sabotage` adds `with_sabotage` constructors. They exist to show that each oracle
//! notices when the mechanism that it guards is missing. Without the feature every mechanism is on.

#[cfg(all(feature = "sabotage", not(debug_assertions)))]
compile_error!("the feature `sabotage` is for tests and must not be in a release build");

/// A safety mechanism that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sabotage {
    /// Pages are accepted without comparing attempt and agent run.
    ResultMatching,
    /// Chunks are released as they arrive, whatever their sequence number.
    ChunkOrder,
    /// An answer counts as whole once its completion is seen.
    AnswerCompleteness,
    /// A cancel leaves no tombstone.
    Tombstone,
    /// Tombstones are evicted before the dispatch limit of their attempt.
    TombstoneRetention,
    /// A repeated submit starts a new record.
    DeduplicateSubmits,
    /// The dispatch limit is not checked again before dispatch.
    DispatchLimit,
    /// An evicted attempt is reported as not run.
    UnknownAfterEviction,
    /// Every completed attempt, also a retry, earns retry credit.
    CreditOncePerStage,
    /// A lost answer to a claim write counts as a success.
    ReadBack,
    /// A claim found on read-back counts as one's own, whatever its token.
    TokenComparison,
    /// A conflict on a claim update counts as a success.
    ConditionalUpdate,
    /// A claim whose attempt was lost is released as if it had not run.
    ReleaseOnlyConfirmed,
    /// A foreign claim in progress is reported as not run.
    ForeignClaimUnknown,
    /// A request that is given up before its claim is settled is reported as not run.
    UnsettledClaimUnknown,
    /// A claim whose lost write is unsettled is left as it is after the refusal.
    ReleaseUnsettled,
    /// A report about an earlier dispatch counts for the present one.
    DispatchNumber,
    /// The expiry of the dispatch permission is ignored.
    DispatchPermission,
    /// A stop condemns every request in progress after enough strikes, whether it ran alone or not.
    QuarantineOnlyAlone,
    /// A suspect is admitted like any other request.
    RunSuspectsAlone,
    /// An agent accepts a suspect whose entry did not know the strikes.
    RefuseOutdatedSubmit,
    /// Strikes from peers are ignored.
    MergeStrikes,
    /// A completed suspect keeps its strikes.
    ClearCompleted,
}

/// The set of mechanisms that are in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mechanisms {
    #[cfg(feature = "sabotage")]
    disabled: Option<Sabotage>,
}

impl Mechanisms {
    /// Switches one mechanism off.
    #[cfg(feature = "sabotage")]
    pub(crate) fn without(mechanism: Sabotage) -> Self {
        Self { disabled: Some(mechanism) }
    }

    /// Tells whether a mechanism is in force.
    #[cfg(feature = "sabotage")]
    pub(crate) fn has(self, mechanism: Sabotage) -> bool {
        self.disabled != Some(mechanism)
    }

    /// Tells whether a mechanism is in force.
    #[cfg(not(feature = "sabotage"))]
    pub(crate) fn has(self, _mechanism: Sabotage) -> bool {
        true
    }
}
