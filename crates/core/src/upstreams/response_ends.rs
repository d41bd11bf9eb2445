//! How long a caller waits for the confirmation of a response without a length.
//!
//! Such a response ends with its connection, and a connection that is reset afterwards shows that the
//! response is only a part. Nothing but time tells the two apart, and each wait delays a caller. The load
//! is that of upstreams which never state a length: they are waited for briefly once some of their
//! responses have ended well.

use crate::upstreams::{UpstreamKey, Upstreams};

/// Longest time in which a reset is awaited, in milliseconds; processes with a quota of processor time may
/// stop for 100 ms between the end of a response and the reset.
pub const LONG_CONFIRMATION_MS: u64 = 200;
/// Time in which a reset is awaited from an upstream whose responses have ended well, in milliseconds; a
/// server that closes its side and its socket at once is interrupted for a few time slices at most.
const SHORT_CONFIRMATION_MS: u64 = 25;
/// Consecutive responses that have ended well before an upstream is waited for briefly.
const PROVEN_RESPONSES: u8 = 3;

/// How the responses of one upstream without a length have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseEnds {
    /// Responses since the last failure, as far as they count.
    whole: u8,
}

impl ResponseEnds {
    /// Returns how long a reset is awaited after a response, in milliseconds.
    pub fn confirmation_ms(self) -> u64 {
        match self.whole < PROVEN_RESPONSES {
            true => LONG_CONFIRMATION_MS,
            false => SHORT_CONFIRMATION_MS,
        }
    }

    /// Records that no reset came in that time.
    pub fn record_whole(&mut self) {
        self.whole = (self.whole + 1).min(PROVEN_RESPONSES);
    }

    /// Records that a call failed, whatever the reason.
    pub fn record_failure(&mut self) {
        self.whole = 0;
    }
}

impl Upstreams {
    /// Returns how long a reset is awaited after a response of an upstream, in milliseconds.
    pub fn confirmation_ms(&self, key: UpstreamKey) -> u64 {
        self.all.get(key).map_or(LONG_CONFIRMATION_MS, |it| it.response_ends.confirmation_ms())
    }

    /// Records that no reset came in that time. Failed calls are recorded as they end.
    pub fn record_whole_response(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.all.get_mut(key) {
            upstream.response_ends.record_whole();
        }
    }
}

#[cfg(test)]
mod tests;
