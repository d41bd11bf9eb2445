//! Slopes of state, messages, processor time and memory, and their product at a planned size.

pub mod calls;
pub mod changes;
pub mod decisions;
pub mod links;
pub mod product;
pub mod report;
pub mod rig;
pub mod slope;
pub mod proxy;
