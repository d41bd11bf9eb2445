//! The real binaries answer every request with its own complete answer.

use futures::future::join_all;
use yuccatrail_fakes::stack::{caller::Caller, expected, plan::StackPlan, run::Stack};

/// Requests sent at once in each form.
const REQUESTS: usize = 100;

#[tokio::test(flavor = "multi_thread")]
async fn each_of_200_requests_at_once_gets_its_own_whole_answer() {
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
            let answer = caller.pipeline(entry, "read-back", &input).await.expect("an answer");
            let expected = expected::pipeline(&input);
            assert_eq!(answer.status, 200, "{}", answer.body);
            assert_eq!(answer.body["output"]["text"], expected.text);
            assert_eq!(answer.body["output"]["documents"], serde_json::json!(expected.documents));
        });
    }
    for number in 0..REQUESTS {
        let (caller, entry) = (caller.clone(), stack.entry(number % 2));
        streamed.push(async move {
            let input = format!("streamed question {number}");
            let answer =
                caller.pipeline_stream(entry, "read-back", &input).await.expect("a stream");
            let expected = expected::pipeline(&input);
            assert_eq!(answer.problem, None);
            assert_eq!(answer.text, expected.text);
            let done = answer.done.expect("a completion event");
            assert_eq!(done["output"]["text"], expected.text);
        });
    }
    tokio::join!(join_all(plain), join_all(streamed));
    stack.close().await.expect("a clean stop");
}
