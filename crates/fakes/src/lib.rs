//! Small stand-ins for the systems around yuccatrail, for tests, demonstrations and measurements.

pub mod model;
pub mod platform;
pub mod stack;
pub mod upstream;
