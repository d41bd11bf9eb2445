//! Open-loop load generator: calls start at planned times, whether or not earlier ones have
//! completed.

pub mod call;
pub mod plan;
pub mod report;
pub mod run;
pub mod tally;
