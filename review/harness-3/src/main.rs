//! Runs one case: `review-harness-3 CASE OUTPUT-FOLDER`, in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod broken_rejection;
mod early_reset;
mod http;
mod repeated_rejection;
mod stack;
mod stage;
mod store;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use stack::Record;

const LIMIT: Duration = Duration::from_secs(110);

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let output = PathBuf::from(arguments.next().unwrap_or_default());
    // Logs are kept only where REVIEW_LOGS names a folder.
    let kept_logs = std::env::var_os("REVIEW_LOGS").map(PathBuf::from);
    let temporary = std::env::temp_dir().join(format!("review-3-{}-logs", std::process::id()));
    let logs = kept_logs.clone().unwrap_or_else(|| temporary.clone());
    if let Err(error) = std::fs::create_dir_all(&logs) {
        eprintln!("{error}");
        return ExitCode::from(2);
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::new();
    record.add(format!("case {case}, trouble: {has_trouble}"));
    let running = async {
        match case.as_str() {
            "early-reset" => early_reset::run(&record, &logs, has_trouble).await,
            "repeated-rejection" => repeated_rejection::run(&record, &logs, has_trouble).await,
            "broken-rejection" => broken_rejection::run(&record, &logs, has_trouble).await,
            _ => Err(std::io::Error::other("unknown case")),
        }
    };
    // Dropping the case ends the processes that it has started.
    let result = tokio::select! {
        result = tokio::time::timeout(LIMIT, running) => result,
        () = until_stopped() => Ok(Err(std::io::Error::other("stopped by a signal"))),
    };
    if kept_logs.is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let code = match result {
        Ok(Ok(false)) => 0,
        Ok(Ok(true)) => 1,
        Ok(Err(error)) => {
            record.add(format!("could not run: {error}"));
            2
        }
        Err(_) => {
            record.add("could not run: it took too long");
            2
        }
    };
    record.add(format!("exit {code}"));
    if let Err(error) = record.write(&output.join("record.txt")) {
        eprintln!("{error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}

async fn until_stopped() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
