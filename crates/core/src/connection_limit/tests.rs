use super::*;

const MAX_CONNECTIONS: usize = 100;

fn open(limit: &mut ConnectionLimit, now_ms: u64) -> (ConnectionKey, Option<ConnectionKey>) {
    match limit.open(now_ms, || false) {
        Admission::Admitted { key, replaced } => (key, replaced),
        Admission::Full => panic!("the limit is reached"),
    }
}

#[test]
fn a_new_connection_replaces_the_one_that_has_waited_longest() {
    let mut limit = ConnectionLimit::new(2);
    let (first, _) = open(&mut limit, 0);
    let (second, _) = open(&mut limit, 10);
    limit.begin_request(first);
    limit.end_request(first, 20);
    assert_eq!(open(&mut limit, 30).1, Some(second));
}

#[test]
fn connections_with_a_request_are_not_replaced() {
    let mut limit = ConnectionLimit::new(MAX_CONNECTIONS);
    let keys: Vec<_> = (0..MAX_CONNECTIONS).map(|_| open(&mut limit, 0).0).collect();
    for key in &keys {
        limit.begin_request(*key);
    }
    assert_eq!(limit.open(10, || false), Admission::Full);
    limit.end_request(keys[7], 20);
    assert_eq!(open(&mut limit, 30).1, Some(keys[7]));
}

#[test]
fn requests_that_are_ended_early_make_room_up_to_a_bound() {
    let mut limit = ConnectionLimit::new(MAX_CONNECTIONS);
    for _ in 0..MAX_CONNECTIONS {
        let (key, _) = open(&mut limit, 0);
        limit.begin_request(key);
    }
    let mut ended = 0;
    while let Admission::Admitted { key, replaced: None } = limit.open(10, || true) {
        limit.begin_request(key);
        ended += 1;
    }
    assert_eq!(ended, MAX_CONNECTIONS / 4);
}

#[test]
fn a_request_on_a_replaced_connection_counts_until_it_ends() {
    let mut limit = ConnectionLimit::new(4);
    let keys: Vec<_> = (0..4).map(|it| open(&mut limit, it).0).collect();
    let (fifth, replaced) = open(&mut limit, 10);
    assert_eq!(replaced, Some(keys[0]));
    assert_eq!(limit.make_room(|| false), Room::Pending { replaced: None });
    for key in keys.iter().chain([&fifth]) {
        limit.begin_request(*key);
    }
    assert_eq!(limit.open(20, || true), Admission::Full);
    assert_eq!(limit.make_room(|| false), Room::None);
    assert_eq!(limit.make_room(|| true), Room::Pending { replaced: None });
    // The request that was ended early leaves its connection without one.
    limit.end_request(keys[2], 30);
    assert_eq!(limit.make_room(|| false), Room::Pending { replaced: Some(keys[2]) });
    limit.close(keys[2]);
    assert_eq!(limit.make_room(|| false), Room::Free);
}

/// A crowd that only opens connections, beside callers that send a request each: all of these are served and
/// the number of connections is bounded, although closing takes a while.
#[test]
fn callers_with_requests_are_served_beside_a_crowd_of_idle_connections() {
    let mut limit = ConnectionLimit::new(MAX_CONNECTIONS);
    let mut closing = Vec::new();
    let mut serving = Vec::new();
    let mut served = 0;
    for now_ms in 0..5_000 {
        for _ in 0..3 {
            closing.extend(open(&mut limit, now_ms).1);
        }
        if now_ms % 10 == 0 {
            let (key, replaced) = open(&mut limit, now_ms);
            closing.extend(replaced);
            limit.begin_request(key);
            serving.push((key, now_ms));
        }
        assert!(!serving.iter().any(|(key, _)| closing.contains(key)));
        serving.retain(|(key, since_ms)| {
            let is_done = now_ms - since_ms >= 100;
            if is_done {
                limit.end_request(*key, now_ms);
                served += 1;
            }
            !is_done
        });
        assert!(limit.connections() <= MAX_CONNECTIONS * 5 / 4);
        if now_ms % 4 == 0 {
            for key in closing.drain(..) {
                limit.close(key);
            }
        }
    }
    assert_eq!(served + serving.len(), 500);
}
