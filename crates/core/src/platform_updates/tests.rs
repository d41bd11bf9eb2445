use super::*;

fn change(number: u64) -> PlatformUpdate {
    let changes = vec![UpstreamChange::Unlisted(format!("u{number}"))];
    PlatformUpdate::UpstreamChanges { revision: Revision::new(0, number), changes }
}

#[test]
fn a_follower_gets_each_update_once() {
    let mut log = UpdateLog::new(7);
    let begin = log.cursor();
    log.append(change(1));
    log.append(change(2));
    let updates = log.since(begin).unwrap();
    assert_eq!(updates.iter().map(|it| (**it).clone()).collect::<Vec<_>>(), [change(1), change(2)]);
    let cursor = log.cursor();
    assert_eq!(log.since(cursor), Some(Vec::new()));
    log.append(change(3));
    assert_eq!(log.since(cursor).unwrap().len(), 1);
}

#[test]
fn a_follower_that_is_too_far_behind_starts_from_the_complete_lists() {
    let mut log = UpdateLog::new(7);
    let begin = log.cursor();
    for number in 0..MAX_UPDATES as u64 {
        log.append(change(number));
    }
    assert_eq!(log.since(begin).map(|it| it.len()), Some(MAX_UPDATES));
    log.append(change(99));
    assert_eq!(log.since(begin), None);
}

#[test]
fn a_complete_list_and_a_restart_make_followers_start_from_the_complete_lists() {
    let mut log = UpdateLog::new(7);
    log.append(change(1));
    let cursor = log.cursor();
    log.append(PlatformUpdate::Upstreams { revision: Revision::new(0, 2), records: Vec::new() });
    assert_eq!(log.since(cursor), None);
    let restarted = UpdateLog::new(1_000);
    assert_eq!(restarted.since(cursor), None);
}
