//! Checks of the system's guarantees against client observations and the records of stand-ins.

use super::{drive::DriverReport, observe::Totals};
use crate::load::tally::Tally;

/// Most violations of one kind that are described individually.
const MAX_LISTED: usize = 5;

/// Returns a description of each violation of the guarantees in a run.
pub fn violations(tally: &Tally, totals: &Totals, driver_report: &DriverReport) -> Vec<String> {
    let mut found = Vec::new();
    find_duplicate_runs(totals, &mut found);
    find_false_not_run(tally, totals, &mut found);
    if tally.wrong > 0 {
        found.push(format!("{} incorrect responses", tally.wrong));
    }
    if tally.broken > 0 {
        found.push(format!("{} responses neither complete nor a problem document", tally.broken));
    }
    if totals.overloads > 0 {
        let detail = format!(
            "{} overloads of cold upstreams, {} of them up to {} ms after they turned cold",
            totals.overloads,
            driver_report.early_overloads,
            super::drive::COLD_DETECTION_MS
        );
        found.push(detail);
    }
    if driver_report.calls_while_out > 0 {
        let detail = format!(
            "{} calls started in a data centre more than {} ms after it was taken out",
            driver_report.calls_while_out,
            super::drive::OUT_GRACE_MS
        );
        found.push(detail);
    }
    found.extend(tally.examples.iter().cloned());
    found.extend(driver_report.errors.iter().cloned());
    found
}

/// Finds non-idempotent calls that ran more than once.
fn find_duplicate_runs(totals: &Totals, found: &mut Vec<String>) {
    let mut duplicates = Vec::new();
    for (key, runs) in &totals.runs_by_key {
        if *runs > 1 {
            duplicates.push(format!("call with key {key} ran {runs} times"));
        }
    }
    push_listed(duplicates, "calls that may run at most once ran more often", found);
}

/// Finds requests that ran although their responses said `not_run`.
fn find_false_not_run(tally: &Tally, totals: &Totals, found: &mut Vec<String>) {
    let mut false_reports = Vec::new();
    for request in &tally.not_run {
        if let Some(runs) = totals.runs_by_request.get(request) {
            false_reports
                .push(format!("request {request} was reported as not_run but ran {runs} times"));
        }
    }
    push_listed(false_reports, "requests reported as not_run did run", found);
}

/// Adds the number of violations of one kind, and the first of their descriptions.
fn push_listed(mut details: Vec<String>, what: &str, found: &mut Vec<String>) {
    if details.is_empty() {
        return;
    }
    details.sort();
    found.push(format!("{} {what}", details.len()));
    details.truncate(MAX_LISTED);
    found.extend(details);
}
