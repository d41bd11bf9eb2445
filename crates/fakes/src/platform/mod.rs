//! Stand-in for the platform's object API, with switches for fault injection.
//!
//! It keeps objects in memory, supports conditional writes and watches, and limits the rate of
//! calls. Tests may run it within their own process and set its switches directly; other harnesses
//! start the binary and set them over HTTP under `/fake/`.

mod admin;
mod api;
mod seed;
mod server;
mod status;
mod store;
mod switches;
mod watch;

pub use seed::{Seed, SeedError};
pub use server::{FakePlatform, FakePlatformSettings};
pub use switches::{Counters, Outage, PlatformSwitches};
