//! Typed configuration of routes, services and customers, and the lookup of a request's route.

mod change;
mod configuration;
mod offers;
mod table;
mod transfer;

pub use change::{ConfigurationChange, ConfigurationId, RouteRun};
pub use configuration::{
    CallerLimits, Configuration, CustomerKeys, Route, RouteKind, Service, StageService, StageSpec,
    Target,
};
pub use offers::ConfigurationOffers;
pub use table::{AuthorizedRequest, Denial, RouteTable};
pub use transfer::{
    ConfigurationPart, EncodedChange, IncomingTransfer, PartRequest, Received, TransferId,
};

#[cfg(test)]
mod tests;
