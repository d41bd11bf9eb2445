//! A request that cannot meet its deadline is refused at once instead of when the deadline expires.

use std::time::Duration;

use futures::future::{Either, select};
use yuccatrail_fakes::stack::{
    caller::ReceivedResponse, faults::ReportedOutcome, plan::StackPlan, run::Stack,
};

/// Declared estimate of a call in the environment document; it exceeds the requested deadline.
const LONG_ESTIMATE: &str = "estimate_ms = 15000";
/// Header with the requested deadline.
const DEADLINE: (&str, &str) = ("x-deadline-ms", "12000");
/// Half of that deadline; a refusal that takes longer counts as delayed.
const HALF_DEADLINE: Duration = Duration::from_millis(6_000);
/// Number of requests of each form.
const REQUESTS: usize = 5;
/// Duration of the call that occupies the only slot of the upstream, in milliseconds.
const LONG_CALL_MS: u64 = 8_000;

/// Returns the response; fails if it takes more than half of the deadline.
async fn early_response<E: std::fmt::Debug>(
    call: impl Future<Output = Result<ReceivedResponse, E>>,
) -> ReceivedResponse {
    let limit = tokio::time::sleep(HALF_DEADLINE);
    match select(Box::pin(call), Box::pin(limit)).await {
        Either::Left((response, _)) => response.expect("a response"),
        Either::Right(_) => panic!("the refusal took more than half of the deadline"),
    }
}

async fn check_refusal(stack: &Stack, response: &ReceivedResponse) {
    assert_eq!(
        ReportedOutcome::of_problem(&response.body),
        ReportedOutcome::NotRun,
        "{}",
        response.body
    );
    assert_eq!(response.body["reason"], "deadline_unreachable", "{}", response.body);
    assert!(response.headers.contains_key("retry-after"));
    let request = response.body["request_id"].as_str().expect("a request ID");
    let calls = stack.calls().await.expect("logged calls of the upstreams");
    assert_eq!(calls.count_for_request(request), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_below_the_estimate_is_refused_at_once() {
    let mut plan = StackPlan::short(&[("encoders", 1), ("engines", 1), ("work-orders", 1)]);
    plan.document = plan.document.replace("estimate_ms = 20\n", &format!("{LONG_ESTIMATE}\n"));
    plan.document = plan.document.replace("deadline_ms = 20000", "deadline_ms = 60000");
    let stack = Stack::start(plan).await.expect("the stack starts");
    for number in 0..REQUESTS {
        let entry = stack.entry(number % 2);
        let body = r#"{"input":"too late"}"#;
        let path = "/v1/pipelines/explain";
        let pipeline =
            early_response(stack.caller.send(entry, "POST", path, &[DEADLINE], body)).await;
        check_refusal(&stack, &pipeline).await;
        let search = early_response(stack.caller.search(entry, "too late", &[DEADLINE])).await;
        check_refusal(&stack, &search).await;
        let key = format!("late-{number}");
        let only_copy = [DEADLINE, ("x-only-copy", "true")];
        let notice = early_response(stack.caller.notice(entry, &key, &only_copy)).await;
        check_refusal(&stack, &notice).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_below_the_queueing_time_is_refused_at_once() {
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
        .wait_status(entry, "a call in progress", |it| it["upstreams"][0]["load"]["running"] == 1)
        .await
        .expect("a call in progress");
    for number in 0..REQUESTS {
        let body = format!("waits {number}");
        let call = stack.caller.search(entry, &body, &[DEADLINE]);
        check_refusal(&stack, &early_response(call).await).await;
    }
    // Every refusal came before the end of the call that the request would have had to wait for.
    assert!(!busy.is_finished());
    busy.abort();
}
