//! Graceful shutdown of a process.

use super::Sabotage;
use crate::switch::MechanismSwitch;

/// Timing of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// Minimum time for which the process stays up and refuses new work, in milliseconds, so that
    /// load balancers and peers notice before its address stops responding.
    pub notice_ms: u64,
    /// Time after which work in progress is aborted, in milliseconds; `None` means never.
    pub time_limit_ms: Option<u64>,
}

/// Phase of a process with respect to its shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// The process is in service.
    Running,
    /// The process reports itself not ready, refuses new work and finishes the work in progress.
    Draining,
    /// The process may exit.
    Finished {
        /// Number of calls that are aborted because the time limit is reached.
        cut: u32,
    },
}

/// State machine of a process's graceful shutdown.
#[derive(Clone, Debug)]
pub struct GracefulShutdown {
    settings: ShutdownSettings,
    phase: ShutdownPhase,
    started_ms: u64,
    mechanisms: MechanismSwitch<Sabotage>,
}

impl GracefulShutdown {
    /// Creates the state of a running process.
    pub fn new(settings: ShutdownSettings) -> Self {
        Self {
            settings,
            phase: ShutdownPhase::Running,
            started_ms: 0,
            mechanisms: MechanismSwitch::new(),
        }
    }

    /// Disables one safety mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.mechanisms.disable(mechanism);
    }

    /// Begins the shutdown; repeated calls have no effect.
    pub fn begin(&mut self, now_ms: u64) {
        if self.phase != ShutdownPhase::Running {
            return;
        }
        self.phase = ShutdownPhase::Draining;
        self.started_ms = now_ms;
    }

    /// Updates the phase, given the number of calls in progress, and returns it.
    pub fn advance(&mut self, now_ms: u64, in_progress: u32) -> ShutdownPhase {
        if self.phase != ShutdownPhase::Draining {
            return self.phase;
        }
        let elapsed_ms = now_ms.saturating_sub(self.started_ms);
        let is_idle = in_progress == 0 || self.mechanisms.is_disabled(Sabotage::AwaitWork);
        let has_notice_passed = elapsed_ms >= self.settings.notice_ms;
        let is_time_limit_reached = self.settings.time_limit_ms.is_some_and(|it| elapsed_ms >= it);
        if is_idle && has_notice_passed || is_time_limit_reached {
            self.phase = ShutdownPhase::Finished { cut: in_progress };
        }
        self.phase
    }

    /// Returns the current phase.
    pub fn phase(&self) -> ShutdownPhase {
        self.phase
    }

    /// Tells whether the process reports itself ready and accepts new work.
    pub fn is_ready(&self) -> bool {
        self.phase == ShutdownPhase::Running
    }
}
