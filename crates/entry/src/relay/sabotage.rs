//! Safety mechanisms that can be disabled one at a time, to show that the soak test detects the
//! fault.
//!
//! Without the feature `sabotage` all mechanisms are enabled.

#[cfg(all(feature = "sabotage", not(debug_assertions)))]
compile_error!("the feature `sabotage` is for tests and must not be in a release build");

/// Environment variable with the name of the mechanism to disable, as its variant is spelled.
#[cfg(feature = "sabotage")]
const VARIABLE: &str = "YUCCATRAIL_SABOTAGE";

/// A mechanism that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mechanism {
    /// A call that is not idempotent is sent at most once.
    SendOnce,
    /// A refusal states that the request has not run only if that is certain.
    TrueRefusal,
    /// A response that belongs to another request is dropped.
    OwnAnswer,
    /// A request is not sent again on a connection on which it was rejected.
    FreshConnection,
    /// A head that begins with a part of another one is no response.
    WholeHeads,
    /// A resumed stream continues after the last event that was forwarded.
    ResumePosition,
    /// Only whole events of a stream are forwarded, so that a cut within one is noticed.
    WholeEvents,
    /// A graceful shutdown waits for the requests in progress.
    PatientStop,
    /// The request limits that upstreams state are kept.
    RequestLimits,
    /// A stream goes on only at the software version that began it.
    OwnVersion,
}

impl Mechanism {
    /// Tells whether the mechanism is disabled.
    #[cfg(feature = "sabotage")]
    pub(crate) fn is_off(self) -> bool {
        std::env::var(VARIABLE).is_ok_and(|it| it == format!("{self:?}"))
    }

    /// Tells whether the mechanism is disabled.
    #[cfg(not(feature = "sabotage"))]
    pub(crate) const fn is_off(self) -> bool {
        false
    }
}
