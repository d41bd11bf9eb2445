//! Shared parts of measurements: resource usage of processes, description of the machine, and line
//! fits.

pub mod fit;
pub mod machine;
pub mod usage;
