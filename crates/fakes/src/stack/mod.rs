//! Runs the real binaries together with the stand-ins, as separate processes on the loopback
//! interface.

pub mod caller;
pub mod expected;
pub mod fault_proxy;
pub mod faults;
pub mod operator;
pub mod plan;
pub mod process;
pub mod run;
pub mod traffic;
