//! A request that cannot meet its deadline is refused at once, not when the deadline has passed.

use std::time::Duration;

use futures::future::{Either, select};
use yuccatrail_fakes::stack::{
    caller::ReceivedResponse, faults::ReportedOutcome, plan::StackPlan, run::Stack,
};

/// Declared estimate of a call, which exceeds the deadline that the callers ask for.
const ESTIMATE: &str = "estimate_ms = 15000";
/// Deadline that the callers ask for.
const DEADLINE: (&str, &str) = ("x-deadline-ms", "12000");
/// Half of that deadline: a refusal that comes later was held back.
const HALF_DEADLINE: Duration = Duration::from_millis(6_000);
/// Requests of each form.
const REQUESTS: usize = 5;
/// Duration of a call that keeps a small upstream busy, in milliseconds.
const LONG_CALL_MS: u64 = 8_000;

/// Returns the answer if it comes before half of the deadline.
async fn early<E: std::fmt::Debug>(
    call: impl Future<Output = Result<ReceivedResponse, E>>,
) -> ReceivedResponse {
    let limit = tokio::time::sleep(HALF_DEADLINE);
    match select(Box::pin(call), Box::pin(limit)).await {
        Either::Left((answer, _)) => answer.expect("an answer"),
        Either::Right(_) => panic!("the refusal was held back"),
    }
}

async fn check(stack: &Stack, answer: &ReceivedResponse) {
    assert_eq!(
        ReportedOutcome::of_problem(&answer.body),
        ReportedOutcome::NotRun,
        "{}",
        answer.body
    );
    assert_eq!(answer.body["reason"], "deadline_unreachable", "{}", answer.body);
    assert!(answer.headers.contains_key("retry-after"));
    let request = answer.body["request_id"].as_str().expect("a request id");
    let calls = stack.calls().await.expect("the records of the upstreams");
    assert_eq!(calls.count_for_request(request), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_below_the_estimate_is_refused_at_once() {
    let mut plan = StackPlan::short(&[("encoders", 1), ("engines", 1), ("work-orders", 1)]);
    plan.document = plan.document.replace("estimate_ms = 20\n", &format!("{ESTIMATE}\n"));
    plan.document = plan.document.replace("deadline_ms = 20000", "deadline_ms = 60000");
    let stack = Stack::start(plan).await.expect("the stack starts");
    for number in 0..REQUESTS {
        let entry = stack.entry(number % 2);
        let body = r#"{"input":"too late"}"#;
        let path = "/v1/pipelines/explain";
        let pipeline = early(stack.caller.send(entry, "POST", path, &[DEADLINE], body)).await;
        check(&stack, &pipeline).await;
        let search = early(stack.caller.search(entry, "too late", &[DEADLINE])).await;
        check(&stack, &search).await;
        let key = format!("late-{number}");
        let only_copy = [DEADLINE, ("x-only-copy", "true")];
        let notice = early(stack.caller.notice(entry, &key, &only_copy)).await;
        check(&stack, &notice).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_queue_that_is_too_long_for_the_deadline_is_refused_at_once() {
    let mut plan = StackPlan::short(&[("work-orders", 1)]);
    plan.document = plan.document.replace("concurrency = 32", "concurrency = 1");
    plan.document = plan.document.replace("cold_concurrency = 2", "cold_concurrency = 1");
    plan.document = plan.document.replace("estimate_ms = 20\n", "estimate_ms = 8000\n");
    plan.document = plan.document.replace("deadline_ms = 20000", "deadline_ms = 60000");
    plan.change_pool_switches("work-orders", |it| it.delay_ms = LONG_CALL_MS);
    let stack = Stack::start(plan).await.expect("the stack starts");
    let (caller, entry) = (stack.caller.clone(), stack.entry(0));
    let busy = tokio::spawn(async move { caller.search(entry, "busy", &[]).await });
    stack
        .wait_status(entry, "a running call", |it| it["upstreams"][0]["load"]["running"] == 1)
        .await
        .expect("a running call");
    for number in 0..REQUESTS {
        let body = format!("waits {number}");
        let call = stack.caller.search(entry, &body, &[DEADLINE]);
        check(&stack, &early(call).await).await;
    }
    // Every refusal came before the call that it would have had to wait for ended.
    assert!(!busy.is_finished());
    busy.abort();
}
