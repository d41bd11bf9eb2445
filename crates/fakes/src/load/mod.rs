//! Open-loop load: calls start at planned times, whether or not earlier ones were answered.

pub mod call;
pub mod plan;
pub mod report;
pub mod run;
pub mod tally;
