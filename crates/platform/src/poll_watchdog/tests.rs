use crate::poll_watchdog::PollWatchdog;

/// Records checks by whether they succeed; returns for each whether it cancels polls.
fn run_checks(results: &[bool]) -> Vec<bool> {
    let mut watchdog = PollWatchdog::default();
    let mut now_ms = 0;
    let mut cancellations = Vec::new();
    for &is_successful in results {
        let outcome = watchdog.on_check(is_successful, now_ms);
        now_ms += outcome.next_check_ms;
        cancellations.push(outcome.cancels_polls);
    }
    cancellations
}

#[test]
fn polls_are_not_cancelled_while_all_checks_succeed() {
    assert!(!run_checks(&[true; 60]).contains(&true));
}

#[test]
fn only_the_first_of_consecutive_failures_cancels_polls() {
    assert_eq!(run_checks(&[true, false, false, false]), [false, true, false, false]);
}

#[test]
fn first_success_after_an_outage_cancels_polls() {
    let results = [false, false, true, true, true, true, true];
    assert_eq!(run_checks(&results), [true, false, true, false, false, false, false]);
}

#[test]
fn single_failures_cancel_polls_at_each_recovery_and_after_the_loss_period() {
    let results = [false, true, true, false, true, true, true, true, true];
    assert_eq!(run_checks(&results), [true, true, false, false, true, false, false, true, false]);
}
