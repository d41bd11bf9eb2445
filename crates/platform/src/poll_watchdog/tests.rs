use crate::poll_watchdog::PollWatchdog;

/// Plays checks one after the other, by whether they are answered; returns what follows from each.
fn play(answers: &[bool]) -> Vec<bool> {
    let mut suspicion = PollWatchdog::default();
    let mut now_ms = 0;
    let mut breaks = Vec::new();
    for &is_answered in answers {
        let outcome = suspicion.on_check(is_answered, now_ms);
        now_ms += outcome.next_check_ms;
        breaks.push(outcome.cancels_polls);
    }
    breaks
}

#[test]
fn polls_of_a_platform_that_answers_are_left_alone() {
    assert!(!play(&[true; 60]).contains(&true));
}

#[test]
fn the_first_failure_breaks_polls_and_the_others_do_not() {
    assert_eq!(play(&[true, false, false, false]), [false, true, false, false]);
}

#[test]
fn polls_are_broken_on_the_return_from_an_outage() {
    let answers = [false, false, true, true, true, true, true];
    assert_eq!(play(&answers), [true, false, true, false, false, false, false]);
}

#[test]
fn answers_lost_now_and_then_break_polls_after_each_and_after_the_last() {
    let answers = [false, true, true, false, true, true, true, true, true];
    assert_eq!(play(&answers), [true, true, false, false, true, false, false, true, false]);
}
