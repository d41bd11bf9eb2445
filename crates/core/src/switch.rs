//! MechanismSwitch by which tests turn off one mechanism of a slice.

/// Remembers which mechanism is off; always none unless the `sabotage` feature is on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MechanismSwitch<T> {
    #[cfg(feature = "sabotage")]
    off: Option<T>,
    #[cfg(not(feature = "sabotage"))]
    kind: std::marker::PhantomData<T>,
}

impl<T: Copy + PartialEq> MechanismSwitch<T> {
    /// Creates a switch with every mechanism on.
    pub(crate) fn new() -> Self {
        Self {
            #[cfg(feature = "sabotage")]
            off: None,
            #[cfg(not(feature = "sabotage"))]
            kind: std::marker::PhantomData,
        }
    }

    /// Turns `mechanism` off.
    #[cfg(feature = "sabotage")]
    pub(crate) fn disable(&mut self, mechanism: T) {
        self.off = Some(mechanism);
    }

    /// Tells whether `mechanism` is off.
    #[cfg(feature = "sabotage")]
    pub(crate) fn is_disabled(&self, mechanism: T) -> bool {
        self.off == Some(mechanism)
    }

    /// Tells whether `mechanism` is off.
    #[cfg(not(feature = "sabotage"))]
    pub(crate) fn is_disabled(&self, _mechanism: T) -> bool {
        false
    }
}
