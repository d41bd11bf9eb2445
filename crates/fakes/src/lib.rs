//! Small stand-ins for the systems around yuccatrail, for tests, demonstrations and measurements.

pub mod bench;
pub mod capacity;
pub mod load;
pub mod measure;
pub mod model;
pub mod platform;
pub mod scenarios;
pub mod stack;
pub mod upstream;
