//! Evidence about software versions from the answers of upstreams.

use std::sync::Arc;

use yuccatrail_core::rollout::AnswerSample;

use crate::relay::attempt::Attempt;

/// Time that stands for the slowness 1 of plain requests, in milliseconds. Slowness is only compared
/// between two versions on one route; the histogram distinguishes 2.5 ms to seven seconds with it.
const PLAIN_NOMINAL_MS: f64 = 10.0;
/// Time between two events that stands for the slowness 1 of streams, in milliseconds.
const EVENT_NOMINAL_MS: f64 = 10.0;

/// What one answer tells about the version of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Evidence {
    /// The answer is a failure of the upstream.
    Failure,
    /// A plain request was answered, or not within this time, in milliseconds.
    Plain {
        /// Time to the complete response.
        took_ms: u64,
    },
    /// A stream ended, or went on up to its deadline.
    Stream(StreamPace),
    /// A stage call was answered, or not within this time, in milliseconds.
    Stage {
        /// Time to the complete response.
        took_ms: u64,
        /// Configured duration of the call.
        nominal_ms: f64,
    },
}

/// Times at which the events of a stream arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct StreamPace {
    /// Time of the first events, in milliseconds, and their number.
    first: Option<(u64, u64)>,
    /// Time of the last events, in milliseconds.
    last_ms: u64,
    /// Number of all events.
    events: u64,
}

impl StreamPace {
    /// Records events that arrived together.
    pub(crate) fn record(&mut self, events: u64, now_ms: u64) {
        if events == 0 {
            return;
        }
        self.events += events;
        self.last_ms = now_ms;
        self.first.get_or_insert((now_ms, events));
    }

    /// Records that no further event arrived until now, although the stream had not ended.
    pub(crate) fn record_silence(&mut self, now_ms: u64) {
        if self.first.is_some() {
            self.events += 1;
            self.last_ms = now_ms;
        }
    }

    /// Returns the mean time between events, which does not depend on a cold prefix cache; none for a
    /// stream whose events all arrived together.
    fn interval_ms(&self) -> Option<f64> {
        let (first_ms, first_events) = self.first?;
        let further = self.events.checked_sub(first_events).filter(|it| *it > 0)?;
        Some(self.last_ms.saturating_sub(first_ms) as f64 / further as f64)
    }
}

impl Attempt {
    /// Records what the answer to this call tells about the version of the upstream; has to be called
    /// before the call ends.
    pub(crate) fn record_evidence(&self, route: &str, evidence: Evidence) {
        if !self.relay().rollouts.is_enabled() {
            return;
        }
        let now_ms = self.relay().now_ms();
        let (took_ms, nominal_ms) = match evidence {
            Evidence::Failure => (0.0, 1.0),
            Evidence::Plain { took_ms } => (took_ms as f64, PLAIN_NOMINAL_MS),
            Evidence::Stream(pace) => {
                // Such a stream is counted as one of the usual pace.
                (pace.interval_ms().unwrap_or(EVENT_NOMINAL_MS), EVENT_NOMINAL_MS)
            }
            Evidence::Stage { took_ms, nominal_ms } => (took_ms as f64, nominal_ms.max(1.0)),
        };
        let sample = AnswerSample {
            route: Arc::from(route),
            is_failure: evidence == Evidence::Failure,
            took_ms,
            nominal_ms,
            started_ms: self.started_ms(),
            call_ms: now_ms.saturating_sub(self.started_ms()),
        };
        self.relay().upstreams().record_answer(self.key, &sample, now_ms);
    }
}

impl Attempt {
    /// Records how long a stage call with this many pieces has taken, whether it was answered now or has
    /// timed out.
    pub(crate) fn record_stage_answer(&self, pieces: usize) {
        let service = &self.record.service;
        let took_ms = self.relay().now_ms().saturating_sub(self.started_ms());
        let nominal_ms = self.relay().stages.duration_ms(service, pieces);
        self.record_evidence(service, Evidence::Stage { took_ms, nominal_ms });
    }
}

#[cfg(test)]
mod tests;
