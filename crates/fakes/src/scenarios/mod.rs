//! Runs of the real processes under load and faults, with the stand-ins' records checked afterwards.

pub mod check;
pub mod drive;
pub mod list;
pub mod observe;
pub mod report;
pub mod run;
pub mod scenario;
