//! HTTP interface towards callers.

pub(crate) mod answer;
pub(crate) mod head;
pub(crate) mod problem;
pub(crate) mod routes;
pub(crate) mod service;
pub(crate) mod status;
