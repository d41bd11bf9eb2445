use super::{LimitChange, LimitShare, RequestLimit};

#[test]
fn a_limit_ends_only_with_a_response_to_a_later_request() {
    let mut limit = RequestLimit::default();
    assert_eq!(limit.observe(Some(2.0), 100, 200), Some(LimitChange::Stated(2.0)));
    assert_eq!(limit.observe(Some(2.0), 100, 210), None);
    assert_eq!(limit.observe(None, 205, 220), None, "sent before the last statement arrived");
    assert_eq!(limit.in_force(), Some(2.0));
    assert_eq!(limit.observe(None, 211, 230), Some(LimitChange::Lifted));
    assert_eq!(limit.in_force(), None);
    assert_eq!(limit.observe(Some(3.0), 211, 240), Some(LimitChange::Stated(3.0)));
    assert_eq!(limit.in_force(), Some(3.0));
}

#[test]
fn an_unreadable_or_negative_limit_is_replaced() {
    for value in [f64::NAN, -1.0] {
        let mut limit = RequestLimit::default();
        assert_eq!(limit.observe(Some(value), 0, 1), Some(LimitChange::Unreadable(1.0)));
    }
}

#[test]
fn the_first_entries_still_send_a_little_where_the_limit_is_zero() {
    let share = LimitShare::Ranked { entries: 100, rank: 3 };
    let mut limit = RequestLimit::default();
    limit.observe(Some(0.0), 0, 1);
    assert_eq!(limit.wait_ms(share, 20_000), Some(0));
    limit.take(share, 20_000);
    assert_eq!(limit.wait_ms(share, 20_000), Some(16_000));
    assert_eq!(limit.wait_ms(LimitShare::Ranked { entries: 100, rank: 4 }, 20_000), None);
}
