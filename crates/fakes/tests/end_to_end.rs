//! The real binaries return to every request its own complete response.

use futures::future::join_all;
use yuccatrail_fakes::stack::{caller::Caller, expected, plan::StackPlan, run::Stack};

/// Number of requests of each form that are sent at the same time.
const REQUESTS: usize = 100;

#[tokio::test(flavor = "multi_thread")]
async fn each_of_200_concurrent_requests_gets_its_own_complete_response() {
    let mut plan = StackPlan::demo();
    plan.change_pool_switches("engines", |it| it.token_delay_ms = 1);
    let stack = Stack::start(plan).await.expect("the stack starts");
    let caller = Caller::new("hill-country");
    let mut plain = Vec::new();
    let mut streamed = Vec::new();
    for number in 0..REQUESTS {
        let (caller, entry) = (caller.clone(), stack.entry(number % 2));
        plain.push(async move {
            let input = format!("plain question {number}");
            let response = caller.pipeline(entry, "read-back", &input).await.expect("a response");
            let expected = expected::pipeline(&input);
            assert_eq!(response.status, 200, "{}", response.body);
            assert_eq!(response.body["output"]["text"], expected.text);
            assert_eq!(response.body["output"]["documents"], serde_json::json!(expected.documents));
        });
    }
    for number in 0..REQUESTS {
        let (caller, entry) = (caller.clone(), stack.entry(number % 2));
        streamed.push(async move {
            let input = format!("streamed question {number}");
            let response =
                caller.pipeline_stream(entry, "read-back", &input).await.expect("a stream");
            let expected = expected::pipeline(&input);
            assert_eq!(response.problem, None);
            assert_eq!(response.text, expected.text);
            let done = response.done.expect("a `done` event");
            assert_eq!(done["output"]["text"], expected.text);
        });
    }
    tokio::join!(join_all(plain), join_all(streamed));
    stack.close().await.expect("all processes exit with success");
}
