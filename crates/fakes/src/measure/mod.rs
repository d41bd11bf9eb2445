//! What measurements share: process accounting, the machine, and straight-line fits.

pub mod fit;
pub mod machine;
pub mod usage;
