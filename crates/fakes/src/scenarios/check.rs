//! Checks of the promises against what callers saw and stand-ins recorded.

use super::{drive::DriverReport, observe::Totals};
use crate::load::tally::Tally;

/// Most violations of one kind that are listed one by one.
const MAX_LISTED: usize = 5;

/// Lists every violation that callers and records show.
pub fn violations(tally: &Tally, totals: &Totals, driver_report: &DriverReport) -> Vec<String> {
    let mut found = Vec::new();
    doubled_runs(totals, &mut found);
    untrue_not_run(tally, totals, &mut found);
    if tally.wrong > 0 {
        found.push(format!("{} wrong answers", tally.wrong));
    }
    if tally.broken > 0 {
        found.push(format!("{} answers neither complete nor a problem document", tally.broken));
    }
    if totals.overloads > 0 {
        let detail = format!(
            "{} times more work than a cold upstream bears, {} of them within {} ms of its turn",
            totals.overloads,
            driver_report.early_overloads,
            super::drive::COLD_DETECTION_MS
        );
        found.push(detail);
    }
    if driver_report.calls_while_out > 0 {
        let detail = format!(
            "{} calls begun in a data centre later than {} ms after it was taken out",
            driver_report.calls_while_out,
            super::drive::OUT_GRACE_MS
        );
        found.push(detail);
    }
    found.extend(tally.examples.iter().cloned());
    found.extend(driver_report.errors.iter().cloned());
    found
}

/// Finds calls that may run at most once and ran more often.
fn doubled_runs(totals: &Totals, found: &mut Vec<String>) {
    let mut doubled = Vec::new();
    for (key, runs) in &totals.runs_by_key {
        if *runs > 1 {
            doubled.push(format!("call with key {key} ran {runs} times"));
        }
    }
    list(doubled, "calls that may not be repeated ran more than once", found);
}

/// Finds requests that ran although their callers were told that they did not.
fn untrue_not_run(tally: &Tally, totals: &Totals, found: &mut Vec<String>) {
    let mut untrue = Vec::new();
    for request in &tally.not_run {
        if let Some(runs) = totals.runs_by_request.get(request) {
            untrue.push(format!("request {request} was answered not_run and ran {runs} times"));
        }
    }
    list(untrue, "requests answered not_run did run", found);
}

fn list(mut details: Vec<String>, what: &str, found: &mut Vec<String>) {
    if details.is_empty() {
        return;
    }
    details.sort();
    found.push(format!("{} {what}", details.len()));
    details.truncate(MAX_LISTED);
    found.extend(details);
}
