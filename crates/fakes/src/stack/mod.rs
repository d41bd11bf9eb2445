//! Starts the real binaries with the stand-ins around them, as separate processes on loopback.

pub mod caller;
pub mod expected;
pub mod faults;
pub mod fault_proxy;
pub mod operate;
pub mod plan;
pub mod process;
pub mod run;
pub mod traffic;
