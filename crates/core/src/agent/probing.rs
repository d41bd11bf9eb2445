//! Probes of the upstream and what they show.

use super::{
    core::{AgentCore, fingerprints},
    stops::{ProbeResult, ProbeTicket},
};
use crate::{capacity::Probe, quarantine::Strike};

impl AgentCore {
    /// Notes that the answer to a call broke off, before its result is reported.
    ///
    /// A probe has to be sent at once; no attempt starts until it is answered.
    pub fn on_lost(&mut self) {
        let in_progress = self.in_progress();
        self.capacity.on_reset();
        self.stops.on_lost(self.capacity.epoch(), in_progress);
    }

    /// Returns the ticket of a probe that is sent at `now_ms`.
    pub fn begin_probe(&mut self, now_ms: u64) -> ProbeTicket {
        self.needs_probe = false;
        self.probes_sent += 1;
        let epoch = self.capacity.epoch();
        ProbeTicket { epoch, sent_ms: now_ms, number: self.probes_sent }
    }

    /// Tells whether a probe has to be sent at once, because attempts wait for its answer.
    pub fn needs_probe(&self) -> bool {
        self.needs_probe
    }

    /// Tells whether a jump of the latency contradicts probes that report warmth.
    pub fn doubts_probes(&self) -> bool {
        self.capacity.distrusts_probes()
    }

    /// Takes the result of a probe; returns new strikes.
    pub fn on_probe(
        &mut self,
        ticket: ProbeTicket,
        result: ProbeResult,
        now_ms: u64,
    ) -> Vec<Strike> {
        let epoch = ticket.epoch;
        let calls = &self.calls;
        let in_progress = || fingerprints(calls);
        let stop = self.stops.on_probe(epoch, result, in_progress);
        match result {
            ProbeResult::Answered { boot_id, warm } => {
                self.capacity.on_probe(Probe { epoch, boot_id, warm });
                // Probes may overtake each other.
                let is_newest = self.evidence.is_none_or(|it| it.number < ticket.number);
                if epoch == self.capacity.epoch() && is_newest {
                    self.evidence = Some(ticket);
                }
            }
            ProbeResult::Refused => self.capacity.on_stop(),
            ProbeResult::NoAnswer => self.capacity.on_connect_failure(now_ms),
        }
        let Some(stop) = stop else { return Vec::new() };
        let agent = self.settings.incarnation;
        self.quarantine.on_crash(agent, stop.number, &stop.in_progress, now_ms)
    }
}
