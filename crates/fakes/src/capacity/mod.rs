//! Capacity planning: measures how messages, traffic, processor time and memory grow with the size
//! of the system, and extrapolates them linearly to the planned size.

pub mod calls;
pub mod changes;
pub mod decisions;
pub mod idle;
pub mod projection;
pub mod report;
pub mod test_cluster;
pub mod slope;
pub mod proxy;
