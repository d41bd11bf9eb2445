//! The `demo` subcommand: pipeline and service calls through the whole system.

use std::process::ExitCode;

use yuccatrail_fakes::stack::{
    caller::Caller,
    expected,
    plan::StackPlan,
    run::{Stack, StackError},
};

/// Starts all processes, sends requests, prints the responses and stops the processes.
pub(crate) async fn run() -> ExitCode {
    match run_demo().await {
        Ok(0) => {
            println!("all responses are complete and correct");
            ExitCode::SUCCESS
        }
        Ok(failures) => {
            eprintln!("{failures} responses are incomplete or incorrect");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("demo failed: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the number of incomplete or incorrect responses.
async fn run_demo() -> Result<u32, StackError> {
    println!("starting platform, upstreams, agents and entries");
    let stack = Stack::start(StackPlan::demo()).await?;
    let caller = Caller::new("lone-star");
    let mut failures = 0;
    for entry_index in 0..stack.entries.len() {
        failures += run_pipeline(&stack, &caller, entry_index).await?;
        failures += stream_pipeline(&stack, &caller, entry_index).await?;
        failures += call_services(&stack, &caller, entry_index).await?;
    }
    println!("stopping");
    stack.close().await?;
    Ok(failures)
}

async fn run_pipeline(
    stack: &Stack,
    caller: &Caller,
    entry_index: usize,
) -> Result<u32, StackError> {
    let input = format!("read back riser {entry_index}");
    let response = caller.pipeline(stack.entry(entry_index), "read-back", &input).await?;
    println!("\nPOST /v1/pipelines/read-back through entry {entry_index}\n{:#}", response.body);
    let expected = expected::pipeline(&input);
    Ok(u32::from(response.body["output"]["text"] != expected.text.as_str()))
}

async fn stream_pipeline(
    stack: &Stack,
    caller: &Caller,
    entry_index: usize,
) -> Result<u32, StackError> {
    let input = format!("explain dispute {entry_index}");
    let response = caller.pipeline_stream(stack.entry(entry_index), "read-back", &input).await?;
    println!("\nthe same as server-sent events: {}", response.text);
    let is_expected = response.done.is_some() && response.text == expected::pipeline(&input).text;
    Ok(u32::from(!is_expected))
}

async fn call_services(
    stack: &Stack,
    caller: &Caller,
    entry_index: usize,
) -> Result<u32, StackError> {
    let entry = stack.entry(entry_index);
    let order = caller.send(entry, "GET", "/v1/services/work-orders/order/7", &[], "").await?;
    println!("\nGET /v1/services/work-orders/order/7 -> {} {}", order.status, order.body);
    let key = format!("notice-{entry_index}");
    let path = "/v1/services/work-orders/notices";
    let notice = caller.send(entry, "POST", path, &[("idempotency-key", &key)], "{}").await?;
    println!("POST {path} with key {key} -> {} {}", notice.status, notice.body);
    Ok(u32::from(order.status != 200) + u32::from(notice.status != 200))
}
