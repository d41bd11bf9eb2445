//! The `demo` subcommand: the main job of the system, end to end.

use std::process::ExitCode;

use yuccatrail_fakes::stack::{
    caller::Caller,
    expected,
    plan::StackPlan,
    run::{Stack, StackError},
};

/// Starts the stack, sends requests, prints the answers and stops everything.
pub(crate) async fn run() -> ExitCode {
    match demonstrate().await {
        Ok(0) => {
            println!("all answers are complete and correct");
            ExitCode::SUCCESS
        }
        Ok(wrong) => {
            eprintln!("{wrong} answers are wrong");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("demo failed: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the number of wrong answers.
async fn demonstrate() -> Result<u32, StackError> {
    println!("starting platform, upstreams, agents and entries");
    let stack = Stack::start(StackPlan::demo()).await?;
    let caller = Caller::new("lone-star");
    let mut wrong = 0;
    for number in 0..stack.entries.len() {
        wrong += plain(&stack, &caller, number).await?;
        wrong += streamed(&stack, &caller, number).await?;
        wrong += services(&stack, &caller, number).await?;
    }
    println!("stopping");
    stack.close().await?;
    Ok(wrong)
}

async fn plain(stack: &Stack, caller: &Caller, number: usize) -> Result<u32, StackError> {
    let input = format!("read back riser {number}");
    let answer = caller.pipeline(stack.entry(number), "read-back", &input).await?;
    println!("\nPOST /v1/pipelines/read-back through entry {number}\n{:#}", answer.body);
    let expected = expected::pipeline(&input);
    Ok(u32::from(answer.body["output"]["text"] != expected.text.as_str()))
}

async fn streamed(stack: &Stack, caller: &Caller, number: usize) -> Result<u32, StackError> {
    let input = format!("explain dispute {number}");
    let answer = caller.pipeline_stream(stack.entry(number), "read-back", &input).await?;
    println!("\nthe same as server-sent events: {}", answer.text);
    let complete = answer.done.is_some() && answer.text == expected::pipeline(&input).text;
    Ok(u32::from(!complete))
}

async fn services(stack: &Stack, caller: &Caller, number: usize) -> Result<u32, StackError> {
    let entry = stack.entry(number);
    let found = caller.send(entry, "GET", "/v1/services/work-orders/order/7", &[], "").await?;
    println!("\nGET /v1/services/work-orders/order/7 -> {} {}", found.status, found.body);
    let key = format!("notice-{number}");
    let path = "/v1/services/work-orders/notices";
    let notice = caller.send(entry, "POST", path, &[("idempotency-key", &key)], "{}").await?;
    println!("POST {path} with key {key} -> {} {}", notice.status, notice.body);
    Ok(u32::from(found.status != 200) + u32::from(notice.status != 200))
}
