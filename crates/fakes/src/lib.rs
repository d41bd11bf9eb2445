//! Small stand-ins for the services around yuccatrail, for tests and demonstrations.

pub mod platform;
