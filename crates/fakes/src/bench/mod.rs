//! Benchmark of the request path over real processes, with the same calls made directly beside it.

pub mod closed_loop;
pub mod direct;
pub mod overhead;
pub mod report;
pub mod throughput;
