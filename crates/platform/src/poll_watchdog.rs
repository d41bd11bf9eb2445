//! Detection of long polls that may never receive a response.
//!
//! After an outage the platform may leave long polls without a response although their connections
//! stay open. Short check calls detect this, because the platform has to respond to them
//! immediately.

/// Delay after a successful check, in milliseconds. An outage of twice this delay is always
/// detected, and twice this delay is shorter than the three seconds after which the platform counts
/// as stable again.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Delay after a failed check, in milliseconds; less than half of the two seconds within which
/// changes have to take effect after the platform's return. Each failed check is billed as a full
/// call.
const RETRY_INTERVAL_MS: u64 = 800;

/// Consecutive failed checks that indicate an outage rather than the loss of single responses.
const OUTAGE_FAILURES: u32 = 2;

/// Time after a failed check during which other responses may be lost although checks succeed, in
/// milliseconds; covers three consecutive successful checks.
const LOSS_PERIOD_MS: u64 = 3 * CHECK_INTERVAL_MS;

/// Consequences of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckOutcome {
    /// Whether long polls in progress have to be cancelled and the kinds listed again immediately.
    pub cancels_polls: bool,
    /// Delay until the next check, in milliseconds.
    pub next_check_ms: u64,
}

/// Decides from the results of the checks when to cancel long polls.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollWatchdog {
    /// Time of the last failed check, in milliseconds; `None` once responses count as reliable
    /// again.
    failed_ms: Option<u64>,
    /// Number of consecutive failed checks.
    failures: u32,
}

impl PollWatchdog {
    /// Records the result of a check at `now_ms`.
    ///
    /// Polls are cancelled at the first failure, so that the pollers detect it, and at the first
    /// success after failures. Unless that success ended an outage, other responses may still be
    /// lost, so polls are cancelled once more when checks have succeeded for the loss period.
    pub fn on_check(&mut self, is_successful: bool, now_ms: u64) -> CheckOutcome {
        if !is_successful {
            self.failures += 1;
            let is_first = self.failed_ms.replace(now_ms).is_none();
            return CheckOutcome { cancels_polls: is_first, next_check_ms: RETRY_INTERVAL_MS };
        }
        let failures = std::mem::take(&mut self.failures);
        let is_loss_period_over = self.failed_ms.is_some_and(|it| now_ms >= it + LOSS_PERIOD_MS);
        if is_loss_period_over || failures >= OUTAGE_FAILURES {
            self.failed_ms = None;
        }
        CheckOutcome {
            cancels_polls: is_loss_period_over || failures > 0,
            next_check_ms: CHECK_INTERVAL_MS,
        }
    }
}

#[cfg(test)]
mod tests;
