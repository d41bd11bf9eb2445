//! Stand-ins and models for the development of yuccatrail.

pub mod model;
