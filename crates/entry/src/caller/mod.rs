//! HTTP interface for callers.

pub(crate) mod response;
pub(crate) mod headers;
pub(crate) mod problem;
pub(crate) mod routes;
pub(crate) mod service;
pub(crate) mod status;
