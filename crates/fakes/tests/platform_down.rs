//! The platform is down for long: what needs it is refused at once, the rest goes on.

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

/// Requests of each kind in each form of outage.
const REQUESTS: usize = 10;
/// Deadline that the document declares for the service.
const DECLARED_DEADLINE: Duration = Duration::from_secs(10);
/// Resends of a refused call once the platform is back.
const RESENDS: usize = 100;

/// Keeps one stack at a time on the machine.
static ONE_STACK: Mutex<()> = Mutex::const_new(());

async fn book(stack: &Stack, key: &str) -> ReceivedResponse {
    let caller = Caller::new("lone-star");
    let headers = [("idempotency-key", key)];
    let path = "/v1/services/work-orders/notices";
    let call = caller.send(stack.entry(0), "POST", path, &headers, r#"{"riser":7}"#);
    timeout(DECLARED_DEADLINE, call).await.expect("an answer in time").expect("an answer")
}

async fn runs(stack: &Stack, key: &str) -> u32 {
    let mut runs = 0;
    for pair in &stack.upstreams {
        let record = stack.record(pair).await.expect("a record");
        runs += record.runs_by_key.get(key).copied().unwrap_or_default();
    }
    runs
}

/// Resends a call until its answer comes.
async fn book_until_answered(stack: &Stack, key: &str) {
    let mut last = None;
    for _ in 0..RESENDS {
        let answer = book(stack, key).await;
        if answer.status == 200 {
            return;
        }
        last = Some(answer.body);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no answer, last {last:?}");
}

async fn serve_without_platform(outage: Outage) {
    let _one = ONE_STACK.lock().await;
    let plan = StackPlan::small(&["north"], &["north"]);
    let stack = Stack::start(plan).await.expect("the stack starts");
    stack.set_outage(Some(outage)).await.expect("an outage");
    let caller = Caller::new("lone-star");
    for number in 0..REQUESTS {
        let input = format!("question {number}");
        let draft = caller.pipeline_stream(stack.entry(0), "draft", &input).await;
        assert!(is_complete_draft(&draft.expect("a stream"), &input));
        assert_eq!(read_order(&caller, stack.entry(0), number).await, ResponseCheck::Complete);
    }
    for number in 0..2 {
        let key = format!("notice-{number}");
        let refused = book(&stack, &key).await;
        assert_eq!(refused.status, 503, "{}", refused.body);
        assert!(refused.headers.contains_key("retry-after"));
        // Another copy of the call may be claimed where nobody can look now.
        let outcome = refused.body["outcome"].as_str().expect("an outcome");
        assert!(["not_run", "unknown"].contains(&outcome), "{}", refused.body);
        assert_eq!(runs(&stack, &key).await, 0);
    }
    stack.set_outage(None).await.expect("the platform is back");
    book_until_answered(&stack, "notice-0").await;
    // A copy that comes before the outcome is recorded is told that it is not known.
    book_until_answered(&stack, "notice-0").await;
    assert_eq!(runs(&stack, "notice-0").await, 1);
    stack.close().await.expect("a clean stop");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platform_refuses() {
    serve_without_platform(Outage::Unavailable).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platform_answers_with_errors() {
    serve_without_platform(Outage::Error).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platform_closes_connections() {
    serve_without_platform(Outage::Reset).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platform_does_not_answer() {
    serve_without_platform(Outage::Hang).await;
}
