use super::*;

#[test]
fn lines_above_the_rate_limits_are_dropped_and_counted() {
    let start = Instant::now();
    let mut lines = LineBuffer::new(start);
    for _ in 0..500 {
        lines.push(Level::Info, || b"info".to_vec(), start);
    }
    for _ in 0..500 {
        lines.push(Level::Warn, || b"warn".to_vec(), start);
    }
    let text = String::from_utf8(lines.buffer.clone()).unwrap();
    assert_eq!(text.lines().filter(|it| *it == "info").count(), INFO_LINES_PER_S as usize);
    assert_eq!(text.lines().count(), LINES_PER_S as usize);
    lines.push(Level::Info, || b"info".to_vec(), start + Duration::from_secs(1));
    let text = String::from_utf8(lines.buffer).unwrap();
    assert!(text.contains("\"lines\":600"), "{text}");
}

#[test]
fn buffer_stays_bounded_while_the_output_is_blocked() {
    let mut now = Instant::now();
    let mut lines = LineBuffer::new(now);
    for _ in 0..10_000 {
        now += Duration::from_millis(10);
        lines.push(Level::Warn, || vec![b'x'; 1_000], now);
    }
    assert!(lines.buffer.len() < MAX_BUFFER_BYTES + 2_000);
    assert!(lines.dropped > 0);
}
