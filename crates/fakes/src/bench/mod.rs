//! Benchmark of the request path over real processes, compared with direct calls of the upstreams.

pub mod closed_loop;
pub mod direct;
pub mod overhead;
pub mod report;
pub mod throughput;
