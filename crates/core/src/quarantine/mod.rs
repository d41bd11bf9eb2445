//! Quarantine of requests that crash the upstreams running them.
//!
//! # Rule
//!
//! When an upstream crashes, every request in progress there gets a strike. A strike identifies the
//! crash by the agent incarnation and a number, and records whether the request was alone, that is,
//! the only one in progress. A request with a strike is a suspect and has to run exclusively. It is
//! quarantined, and refused from then on, once it has the configured number of strikes and was
//! alone in at least one of them. A request that completes is cleared of the strikes known at that
//! time.
//!
//! A request that merely shares upstreams with a quarantined one never gets a strike for being
//! alone, because only the request itself could have crashed an upstream that it had to itself.
//! Sharing an upstream, however often, therefore quarantines no request. Two crashes with otherwise
//! disjoint sets of requests would not be sufficient proof: two different requests can each
//! crash an upstream that the same innocent request shares.
//!
//! # Bound on crashed upstreams
//!
//! Consider a request that crashes every upstream it runs on. Let `u` be the number of its copies
//! that were dispatched while neither their entry nor their agent held a strike against it. With
//! the usual limit of two strikes it crashes at most `u + 1` upstreams within the retention period.
//! For copies sent one after the other, each after the strikes of the previous one have reached the
//! next entry or agent, `u` is one and the bound is two. The bound depends on these rules:
//!
//! - All entries send a suspect to the same upstream, [`exclusive_upstream`], and include the
//!   strikes that they hold in the submit. The agent there runs it exclusively, thus one copy at a
//!   time. After a crash it holds at least two strikes and refuses every other copy.
//! - An agent that holds strikes refuses a submit that carries none as not run,
//!   see [`Quarantine::admit_submit`].
//! - While entries have different instance lists they may choose different upstreams for a suspect;
//!   then each concurrent copy may cost one more upstream.
//! - At one entry, [`SuspectTracker`] prevents a second copy of a suspect from starting while one
//!   is in progress. Copies of a request without strikes are not held back, since identical
//!   requests are common; those in progress at the first crash count towards `u`.
//! - An agent that is lost together with its upstream propagates no strike; that crash is not
//!   counted.
//! - Above [`QuarantineLimits::max_strikes`], strikes are evicted before they expire.
//!
//! An upstream that crashes by itself while it runs a single request cannot be distinguished from
//! one crashed by that request. An innocent request is thus refused only if an upstream crashed by
//! itself while this request was the only one in progress there, and the request was in progress at
//! another crash within the retention period, without completing in between as far as the refusing
//! process knows. A request that crashes upstreams only occasionally is cleared whenever it
//! completes.

mod crashes;
mod registry;
mod strike;
mod suspects;

pub use self::{
    crashes::{
        CRASH_LIMIT, CrashRecord, CrashSabotage, CrashTracker, Moment, PartVerdict, RecordCall,
        RecordOutcome, RecordedCrash, RecordedSuspect, RequestHash, SOUND_EVENTS, SuspectKind,
    },
    registry::{Admission, Quarantine, QuarantineLimits},
    strike::Strike,
    suspects::{SuspectTracker, exclusive_upstream},
};

#[cfg(test)]
mod tests;
