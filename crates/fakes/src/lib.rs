//! Stand-ins for the platform and the upstreams, and the harnesses that use them for tests,
//! demonstrations and measurements.

pub mod bench;
pub mod capacity;
pub mod crowd;
pub mod load;
pub mod measure;
pub mod model;
pub mod platform;
pub mod scenarios;
pub mod stack;
pub mod upstream;
