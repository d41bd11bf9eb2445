//! Starts the real binaries with the stand-ins around them, as separate processes on loopback.

pub mod caller;
pub mod expected;
pub mod fault_proxy;
pub mod faults;
pub mod operator;
pub mod plan;
pub mod process;
pub mod run;
pub mod traffic;
