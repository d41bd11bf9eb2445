//! When polls that wait may never be answered.
//!
//! A platform that was silent for a while leaves polls unanswered on connections that live on. Short
//! checks beside them show that, because each has to be answered at once.

/// Time between a check that was answered and the next, in milliseconds. A silence of twice that is
/// always noticed, and is below the three seconds after which a platform counts as stable again.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Time between a check that failed and the next, in milliseconds; less than half of the two seconds in
/// which changes have to be in force after the platform's return. Each failed check costs a whole call.
const FAILED_INTERVAL_MS: u64 = 800;

/// Checks in a row without an answer that show an outage rather than answers lost now and then.
const OUTAGE_CHECKS: u32 = 2;

/// Time after a failed check in which other answers may be lost while checks succeed, in milliseconds:
/// three checks in a row have to be answered.
const ALERT_MS: u64 = 3 * CHECK_INTERVAL_MS;

/// What follows from a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckOutcome {
    /// Whether polls that wait have to be broken off, and lists read again at once.
    pub cancels_polls: bool,
    /// Time until the next check, in milliseconds.
    pub next_check_ms: u64,
}

/// What the checks have shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollWatchdog {
    /// Time of the last failed check, in milliseconds, until the alert after it is over.
    failed_ms: Option<u64>,
    /// Checks in a row that failed.
    failures: u32,
}

impl PollWatchdog {
    /// Takes the outcome of a check at a time in milliseconds.
    ///
    /// Polls are broken off at the first failure, so that the pollers notice it, and at the first answer
    /// after one. Unless that was the end of an outage, other answers may be lost still, and polls are
    /// broken off once more when the platform has answered for a while.
    pub fn on_check(&mut self, is_answered: bool, now_ms: u64) -> CheckOutcome {
        if !is_answered {
            self.failures += 1;
            let is_first = self.failed_ms.replace(now_ms).is_none();
            return CheckOutcome { cancels_polls: is_first, next_check_ms: FAILED_INTERVAL_MS };
        }
        let failures = std::mem::take(&mut self.failures);
        let is_over = self.failed_ms.is_some_and(|it| now_ms >= it + ALERT_MS);
        if is_over || failures >= OUTAGE_CHECKS {
            self.failed_ms = None;
        }
        CheckOutcome { cancels_polls: is_over || failures > 0, next_check_ms: CHECK_INTERVAL_MS }
    }
}

#[cfg(test)]
mod tests;
