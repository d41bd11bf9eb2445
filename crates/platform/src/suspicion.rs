//! When polls that wait may never be answered.
//!
//! A platform that was silent for a while leaves polls unanswered on connections that live on. Short
//! checks beside them show that, because each has to be answered at once.

/// Time between a check that was answered and the next, in milliseconds. A silence of twice that is
/// always noticed, and is below the three seconds after which a platform counts as stable again.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Time between a check that failed and the next, in milliseconds; a fifth of the two seconds in which
/// changes have to be in force after the platform's return.
const FAILED_INTERVAL_MS: u64 = 400;

/// Time after a failed check in which other answers may be lost while checks succeed, in milliseconds:
/// three checks in a row have to be answered.
const ALERT_MS: u64 = 3 * CHECK_INTERVAL_MS;

/// What follows from a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckOutcome {
    /// Whether polls that wait have to be broken off, and lists read again at once.
    pub breaks_polls: bool,
    /// Time until the next check, in milliseconds.
    pub next_check_ms: u64,
}

/// What the checks have shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollSuspicion {
    /// Time of the last failed check, in milliseconds, until the alert after it is over.
    failed_ms: Option<u64>,
    /// Whether the last check was answered.
    is_answered: bool,
}

impl PollSuspicion {
    /// Takes the outcome of a check at a time in milliseconds.
    ///
    /// Polls are broken off at the first failure, so that the pollers notice it, at the first answer
    /// after one, and once more when the platform has answered for a while.
    pub fn on_check(&mut self, is_answered: bool, now_ms: u64) -> CheckOutcome {
        let was_answered = std::mem::replace(&mut self.is_answered, is_answered);
        if !is_answered {
            let is_first = self.failed_ms.replace(now_ms).is_none();
            return CheckOutcome { breaks_polls: is_first, next_check_ms: FAILED_INTERVAL_MS };
        }
        let Some(failed_ms) = self.failed_ms else {
            return CheckOutcome { breaks_polls: false, next_check_ms: CHECK_INTERVAL_MS };
        };
        let is_over = now_ms >= failed_ms + ALERT_MS;
        if is_over {
            self.failed_ms = None;
        }
        CheckOutcome { breaks_polls: is_over || !was_answered, next_check_ms: CHECK_INTERVAL_MS }
    }
}

#[cfg(test)]
mod tests;
