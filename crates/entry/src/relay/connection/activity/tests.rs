//! Unit tests of the limits of a connection.

use yuccatrail_runtime::{clock::Clock, open_connections::OpenConnections};

use super::*;

const LIMITS: CallerLimits = CallerLimits {
    header_bytes: 1,
    body_bytes: 1,
    header_timeout_ms: 5_000,
    idle_timeout_ms: 2_000,
};

/// Guards against LOST: the limit on idle connections ended a response that its caller had no room for.
#[tokio::test]
async fn a_response_that_is_being_written_has_its_deadline_as_the_only_limit() {
    let open = OpenConnections::new(1, Clock::new()).open(|| false).unwrap();
    let activity = Activity::new(open);
    let due = Instant::now() + Duration::from_secs(60);
    activity.begin_request();
    activity.begin_response("r".to_owned(), due);
    assert_eq!(activity.unwritten_response().as_deref(), Some("r"));
    activity.record_written();
    activity.end_response();
    let late = due + Duration::from_millis(LATE_RESPONSE_MS);
    assert_eq!(activity.expires(LIMITS), Some((late, Expired::Response)));
    activity.record_flushed();
    assert_eq!(activity.unwritten_response(), None);
    let (at, expired) = activity.expires(LIMITS).unwrap();
    assert_eq!(expired, Expired::Idle);
    assert!(at < due);
}
