//! During a long outage of the platform, calls that need it are refused at once and all others are
//! served.

use std::time::Duration;

use tokio::{sync::Mutex, time::timeout};
use yuccatrail_fakes::{
    platform::Outage,
    stack::{
        caller::{Caller, ReceivedResponse},
        plan::StackPlan,
        run::Stack,
        traffic::{ResponseCheck, is_complete_draft, read_order},
    },
};

/// Number of requests of each kind during each form of outage.
const REQUESTS: usize = 10;
/// Deadline of the service in the environment document.
const DECLARED_DEADLINE: Duration = Duration::from_secs(10);
/// Highest number of resends of a refused call after the outage.
const RESENDS: usize = 100;

/// Lets the tests run one stack at a time.
static ONE_STACK: Mutex<()> = Mutex::const_new(());

/// Sends a non-idempotent call, which needs a claim on the platform.
async fn send_notice(stack: &Stack, key: &str) -> ReceivedResponse {
    let caller = Caller::new("lone-star");
    let headers = [("idempotency-key", key)];
    let path = "/v1/services/work-orders/notices";
    let call = caller.send(stack.entry(0), "POST", path, &headers, r#"{"riser":7}"#);
    timeout(DECLARED_DEADLINE, call)
        .await
        .expect("a response within the deadline")
        .expect("a response")
}

async fn run_count(stack: &Stack, key: &str) -> u32 {
    let mut runs = 0;
    for pair in &stack.upstreams {
        let record = stack.record(pair).await.expect("the record of the upstream");
        runs += record.runs_by_key.get(key).copied().unwrap_or_default();
    }
    runs
}

/// Sends a call repeatedly until it completes.
async fn send_notice_until_completed(stack: &Stack, key: &str) {
    let mut last = None;
    for _ in 0..RESENDS {
        let response = send_notice(stack, key).await;
        if response.status == 200 {
            return;
        }
        last = Some(response.body);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the call did not complete, last response: {last:?}");
}

/// Checks what an entry serves and refuses during an outage, and that a refused call runs once
/// after it.
async fn check_serving_during_outage(outage: Outage) {
    let _one = ONE_STACK.lock().await;
    let plan = StackPlan::small(&["north"], &["north"]);
    let stack = Stack::start(plan).await.expect("the stack starts");
    stack.set_outage(Some(outage)).await.expect("the outage starts");
    let caller = Caller::new("lone-star");
    for number in 0..REQUESTS {
        let input = format!("question {number}");
        let draft = caller.pipeline_stream(stack.entry(0), "draft", &input).await;
        assert!(is_complete_draft(&draft.expect("a stream"), &input));
        assert_eq!(read_order(&caller, stack.entry(0), number).await, ResponseCheck::Complete);
    }
    for number in 0..2 {
        let key = format!("notice-{number}");
        let refused = send_notice(&stack, &key).await;
        assert_eq!(refused.status, 503, "{}", refused.body);
        assert!(refused.headers.contains_key("retry-after"));
        // The entry cannot read the claims now, so another copy of the call may hold a claim.
        let outcome = refused.body["outcome"].as_str().expect("an outcome");
        assert!(["not_run", "unknown"].contains(&outcome), "{}", refused.body);
        assert_eq!(run_count(&stack, &key).await, 0);
    }
    stack.set_outage(None).await.expect("the outage ends");
    send_notice_until_completed(&stack, "notice-0").await;
    // A copy that arrives before the outcome is recorded gets the outcome `unknown`.
    send_notice_until_completed(&stack, "notice-0").await;
    assert_eq!(run_count(&stack, "notice-0").await, 1);
    stack.close().await.expect("all processes exit with success");
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_without_claims_are_served_while_the_platform_refuses() {
    check_serving_during_outage(Outage::Unavailable).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_without_claims_are_served_while_the_platform_returns_errors() {
    check_serving_during_outage(Outage::Error).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_without_claims_are_served_while_the_platform_closes_connections() {
    check_serving_during_outage(Outage::Reset).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_without_claims_are_served_while_the_platform_does_not_respond() {
    check_serving_during_outage(Outage::Hang).await;
}
