//! Mechanisms of this module that tests can disable.

/// Mechanism that a test disables to show that its oracle detects the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// If disabled, an older instance list replaces a newer one.
    ListVersionCheck,
    /// If disabled, the instance list overrides what an agent reported about itself.
    ReportOverList,
    /// If disabled, reports of an agent are applied in the order of their arrival.
    ReportOrder,
    /// If disabled, an unreachable upstream stays eligible for new work.
    ContactFailure,
    /// If disabled, an upstream that is no longer listed stays eligible for new work.
    ListMembership,
    /// If disabled, the operational state is ignored.
    Operations,
}
