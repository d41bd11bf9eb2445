//! Typed configuration of routes, services and customers, and the lookup of a request's route.

mod configuration;
mod table;

pub use configuration::{
    CallerLimits, Configuration, CustomerKeys, Route, RouteKind, Service, StageService, StageSpec,
    Target,
};
pub use table::{AuthorizedRequest, Denial, RouteTable};

#[cfg(test)]
mod tests;
