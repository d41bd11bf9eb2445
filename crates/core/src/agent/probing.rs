//! Health probes of the upstream and the evaluation of their results.

use super::{
    core::{AgentCore, fingerprints},
    crash_detection::{ProbeResult, ProbeTicket},
};
use crate::{capacity::Probe, quarantine::Strike, request_limit::RequestLimit};

impl AgentCore {
    /// Records that the response to a call broke off; called before the result of the call is
    /// reported.
    ///
    /// The caller must send a probe immediately; no attempt starts until it is answered.
    pub fn on_lost(&mut self) {
        let in_progress = self.running_fingerprints();
        self.capacity.on_reset();
        self.crash_detector.on_lost(self.capacity.epoch(), in_progress);
    }

    /// Registers a probe that is sent at `now_ms` and returns its ticket.
    pub fn begin_probe(&mut self, now_ms: u64) -> ProbeTicket {
        self.needs_probe = false;
        self.probes_sent += 1;
        let epoch = self.capacity.epoch();
        ProbeTicket { epoch, sent_ms: now_ms, number: self.probes_sent }
    }

    /// Tells whether a probe must be sent immediately because queued attempts wait for its result.
    pub fn needs_probe(&self) -> bool {
        self.needs_probe
    }

    /// Tells whether a latency jump contradicts probes that report the upstream as warm.
    pub fn distrusts_probes(&self) -> bool {
        self.capacity.distrusts_probes()
    }

    /// Applies the result of a probe and returns new strikes.
    pub fn on_probe(
        &mut self,
        ticket: ProbeTicket,
        result: ProbeResult,
        now_ms: u64,
    ) -> Vec<Strike> {
        let epoch = ticket.epoch;
        let calls = &self.calls;
        let in_progress = || fingerprints(calls);
        let crash = self.crash_detector.on_probe(epoch, result, in_progress);
        match result {
            ProbeResult::Answered { boot_id, warm } => {
                let known = self.limited_boot_id;
                self.limited_boot_id = boot_id.or(known);
                if known.is_some() && known != self.limited_boot_id {
                    self.request_limit = RequestLimit::default();
                }
                self.capacity.on_probe(Probe { epoch, boot_id, warm });
                // Results of concurrent probes may arrive out of order.
                let is_newest = self.confirming_probe.is_none_or(|it| it.number < ticket.number);
                if epoch == self.capacity.epoch() && is_newest {
                    self.confirming_probe = Some(ticket);
                }
            }
            ProbeResult::Refused => self.capacity.on_stop(),
            ProbeResult::NoAnswer => self.capacity.on_connect_failure(now_ms),
        }
        let Some(crash) = crash else { return Vec::new() };
        let agent = self.settings.incarnation;
        self.quarantine.on_crash(agent, crash.number, &crash.in_progress, now_ms)
    }
}
