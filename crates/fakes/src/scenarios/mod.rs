//! Runs of the real processes under load and faults, checked against the records of the stand-ins.

pub mod check;
pub mod drive;
pub mod list;
pub mod observe;
pub mod report;
pub mod run;
pub mod scenario;
