//! Mechanisms that can be switched off one at a time, to show that the soak notices.
//!
//! Without the feature `sabotage` every mechanism is on.

#[cfg(all(feature = "sabotage", not(debug_assertions)))]
compile_error!("the feature `sabotage` is for tests and must not be in a release build");

/// Environment variable that names the mechanism to switch off.
#[cfg(feature = "sabotage")]
const VARIABLE: &str = "YUCCATRAIL_SABOTAGE";

/// A mechanism that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mechanism {
    /// A call that may not be repeated is sent once.
    SendOnce,
    /// A refusal says that nothing has run only when nothing was sent.
    TrueRefusal,
    /// An answer to another request is dropped.
    OwnAnswer,
    /// A stream goes on after the last event that was passed on.
    ResumePosition,
    /// A planned stop waits for the requests in progress.
    PatientStop,
}

impl Mechanism {
    /// Tells whether the mechanism is switched off.
    #[cfg(feature = "sabotage")]
    pub(crate) fn is_off(self) -> bool {
        std::env::var(VARIABLE).is_ok_and(|it| it == format!("{self:?}"))
    }

    /// Tells whether the mechanism is switched off.
    #[cfg(not(feature = "sabotage"))]
    pub(crate) const fn is_off(self) -> bool {
        false
    }
}
