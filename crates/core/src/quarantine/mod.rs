//! Quarantine of requests that stop the upstreams running them.
//!
//! # Rule
//!
//! When an upstream stops, every request in progress there gets a strike, which names the stop by
//! agent run and number and tells whether the request ran alone. A request with a strike is a
//! suspect and has to run alone. It is condemned, and refused from then on, once it has the
//! configured number of strikes and ran alone in at least one of them. A request that completes is
//! cleared of the strikes known then.
//!
//! A neighbour of a condemned request never gets a strike for running alone, because nothing else
//! could have stopped the upstream it had to itself. So sharing an upstream, however often, condemns
//! nobody. Two stops with otherwise disjoint neighbours would not do as proof: two different
//! poisonous requests can each stop an upstream that the same innocent request shares.
//!
//! # Bound on lost upstreams
//!
//! Take a request that stops every upstream it runs on. Let `u` be the number of its copies that
//! were dispatched while neither their entry nor their agent held a strike against it. With the usual
//! limit of two strikes it takes down at most `u + 1` upstreams within the retention period. For
//! copies sent one after the other, each after the strikes of the one before have reached the next
//! entry or agent, `u` is one and the bound is two. It rests on these rules:
//!
//! - All entries send a suspect to the same upstream, [`exclusive_upstream`], and pass on the strikes
//!   that they know in the submit. The agent there runs it alone, thus one copy at a time, and after
//!   a stop it knows at least two strikes, so it refuses every other copy.
//! - An agent that knows a strike of which the entry did not know refuses the submit as not run, see
//!   [`Quarantine::admit_submit`].
//! - While entries see different instance lists they may choose different upstreams for a suspect;
//!   then each concurrent copy may cost one more upstream.
//! - At one entry, [`SuspectTracker`] keeps a second copy of a suspect from starting while one is in
//!   progress. Copies of a request without strikes are not held back, since equal requests are
//!   usual; those in progress at the first stop count towards `u`.
//! - An agent that is lost together with its upstream passes no strike on; that stop is not counted.
//! - Beyond [`QuarantineLimits::max_strikes`] strikes are forgotten before their time.
//!
//! An upstream that stops by itself while it runs a single request cannot be told from one stopped
//! by that request. An innocent request is thus refused only if an upstream stopped by itself while
//! it was the only one in progress there, and it was in progress at another stop within the
//! retention period, without completing in between as far as the refusing process has heard.
//! A request that stops upstreams only now and then is cleared whenever it completes.

mod crashes;
mod registry;
mod strike;
mod suspects;

pub use self::{
    crashes::{CRASH_LIMIT, CrashSabotage, CrashTracker, RequestHash},
    registry::{Admission, Quarantine, QuarantineLimits},
    strike::Strike,
    suspects::{SuspectTracker, exclusive_upstream},
};

#[cfg(test)]
mod tests;
