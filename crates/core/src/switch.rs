//! Switch with which tests disable one safety mechanism of a module.

/// Stores which mechanism of type `T` is disabled; without the feature `sabotage`, none ever is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MechanismSwitch<T> {
    #[cfg(feature = "sabotage")]
    disabled: Option<T>,
    #[cfg(not(feature = "sabotage"))]
    kind: std::marker::PhantomData<T>,
}

impl<T> Default for MechanismSwitch<T> {
    fn default() -> Self {
        Self {
            #[cfg(feature = "sabotage")]
            disabled: None,
            #[cfg(not(feature = "sabotage"))]
            kind: std::marker::PhantomData,
        }
    }
}

impl<T: Copy + PartialEq> MechanismSwitch<T> {
    /// Creates a switch with every mechanism enabled.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Disables `mechanism`; only one can be disabled at a time.
    #[cfg(feature = "sabotage")]
    pub(crate) fn disable(&mut self, mechanism: T) {
        self.disabled = Some(mechanism);
    }

    /// Tells whether `mechanism` is disabled.
    #[cfg(feature = "sabotage")]
    pub(crate) fn is_disabled(&self, mechanism: T) -> bool {
        self.disabled == Some(mechanism)
    }

    /// Tells whether `mechanism` is disabled; always false without the feature.
    #[cfg(not(feature = "sabotage"))]
    pub(crate) fn is_disabled(&self, _mechanism: T) -> bool {
        false
    }
}
