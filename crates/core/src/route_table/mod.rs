//! Routes, services and customers that a relay serves by, and the choice of a route for a request.

mod configuration;
mod table;

pub use configuration::{
    CallerLimits, Configuration, CustomerKeys, Route, RouteKind, Service, StageService, StageSpec,
    Target,
};
pub use table::{AuthorizedRequest, Denial, RouteTable};

#[cfg(test)]
mod tests;
