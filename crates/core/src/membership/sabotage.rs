//! Mechanisms of this slice that tests may turn off.

/// A mechanism that a test turns off to show that its oracle notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Let an older instance list replace a newer one.
    ListVersionCheck,
    /// Let the instance list clear what an agent said about itself.
    ReportOverList,
    /// Take answers of an agent in the order in which they arrive.
    ReportOrder,
    /// Keep sending work to an upstream that can't be reached.
    ContactFailure,
    /// Keep sending work to an upstream that vanished from the list.
    ListMembership,
    /// Ignore the operational state.
    Operations,
}
