//! Planned stop of a process.

use super::Sabotage;
use crate::switch::MechanismSwitch;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// Shortest time for which the process stays up and refuses new work, in milliseconds, so that
    /// load balancers and peers notice before the address stops answering.
    pub notice_ms: u64,
    /// Time after which work in progress is cut, in milliseconds; none means never.
    pub time_limit_ms: Option<u64>,
}

/// Phase of a process with respect to its planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// The process is in service.
    Running,
    /// The process is not ready, refuses new work and finishes the work in progress.
    Draining,
    /// The process may exit.
    Finished {
        /// Number of calls in progress that the time limit cuts.
        cut: u32,
    },
}

/// Carries a process through a planned stop.
#[derive(Clone, Debug)]
pub struct GracefulShutdown {
    settings: ShutdownSettings,
    phase: ShutdownPhase,
    began_ms: u64,
    switch: MechanismSwitch<Sabotage>,
}

impl GracefulShutdown {
    /// Creates the state of a running process.
    pub fn new(settings: ShutdownSettings) -> Self {
        Self {
            settings,
            phase: ShutdownPhase::Running,
            began_ms: 0,
            switch: MechanismSwitch::new(),
        }
    }

    /// Turns one mechanism off.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.switch.disable(mechanism);
    }

    /// Begins the stop; a repeated signal changes nothing.
    pub fn begin(&mut self, now_ms: u64) {
        if self.phase != ShutdownPhase::Running {
            return;
        }
        self.phase = ShutdownPhase::Draining;
        self.began_ms = now_ms;
    }

    /// Moves on with the number of calls in progress and returns the phase.
    pub fn advance(&mut self, now_ms: u64, in_progress: u32) -> ShutdownPhase {
        if self.phase != ShutdownPhase::Draining {
            return self.phase;
        }
        let elapsed_ms = now_ms.saturating_sub(self.began_ms);
        let is_idle = in_progress == 0 || self.switch.is_disabled(Sabotage::AwaitWork);
        let is_noticed = elapsed_ms >= self.settings.notice_ms;
        let is_over = self.settings.time_limit_ms.is_some_and(|it| elapsed_ms >= it);
        if is_idle && is_noticed || is_over {
            self.phase = ShutdownPhase::Finished { cut: in_progress };
        }
        self.phase
    }

    /// The phase after the last event.
    pub fn phase(&self) -> ShutdownPhase {
        self.phase
    }

    /// Tells whether the process reports itself ready and takes new work.
    pub fn is_ready(&self) -> bool {
        self.phase == ShutdownPhase::Running
    }
}
