//! State machine that acquires and renews a lease by compare-and-swap writes.

use super::{FencingToken, HolderId, Lease, Sabotage};
use crate::switch::MechanismSwitch;

/// Default time for which a lease is valid after a write, in milliseconds.
const DURATION_MS: u64 = 10_000;

/// Default safety margin before the expiry in which the holder no longer acts, in milliseconds.
const MARGIN_MS: u64 = 2_000;

/// Default interval between renewals, and between reads of another holder's lease, in milliseconds.
const INTERVAL_MS: u64 = 2_500;

/// Timing of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time for which a lease is valid after a write, in milliseconds.
    pub duration_ms: u64,
    /// Safety margin before the expiry in which the holder no longer acts, in milliseconds. It
    /// covers differences in clock speed and the transit time of a command.
    pub margin_ms: u64,
    /// Interval between renewals, and between reads of another holder's lease, in milliseconds.
    pub interval_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { duration_ms: DURATION_MS, margin_ms: MARGIN_MS, interval_ms: INTERVAL_MS }
    }
}

/// Result of the last call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The read returned the record.
    Read {
        /// Revision of the record, which a conditional write can refer to.
        revision: u64,
        /// The record.
        lease: Lease,
    },
    /// The read found no record.
    Missing,
    /// The read got no response.
    ReadFailed,
    /// The write took effect.
    Written {
        /// Revision of the record after the write.
        revision: u64,
    },
    /// The write did not take effect because the revision did not match.
    Conflict,
    /// The write got no response: it may have taken effect, may still do so, or may never do so.
    AnswerLost,
}

/// Call that the caller has to make next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing is due; call [`LeaseManager::tick`] again at `until_ms`.
    Wait {
        /// Time at which something is due, in milliseconds.
        until_ms: u64,
    },
    /// Read the record.
    Read,
    /// Write the record on condition of its current revision.
    Write {
        /// Revision that the record must have; if none, there must be no record.
        if_revision: Option<u64>,
        /// New record.
        lease: Lease,
    },
}

/// Acquires and renews a lease, and tells whether the process may act as its holder.
///
/// All times must be from a monotonic clock that advances also while the process is suspended.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    settings: LeaseSettings,
    own_id: HolderId,
    /// Record as last read or written; none if it has to be read.
    observed: Option<ObservedLease>,
    held: Option<HeldLease>,
    /// Last write that was not confirmed, until a read shows whether it took effect.
    unconfirmed_write: Option<SentWrite>,
    pending_call: PendingCall,
    /// Time at which the next call is due, in milliseconds.
    next_call_ms: u64,
    write_number: u64,
    mechanisms: MechanismSwitch<Sabotage>,
}

/// Stored record, or its absence, as last observed.
#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    /// Revision and record; none if there is no record.
    stored: Option<(u64, Lease)>,
    /// Time of the response that first returned this record, in milliseconds.
    first_observed_ms: u64,
}

/// Lease that the process holds.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: FencingToken,
    /// Time until which the holder may act, in milliseconds.
    valid_until_ms: u64,
}

/// Write of the record that was sent.
#[derive(Clone, Copy, Debug)]
struct SentWrite {
    /// Time just before the write was sent, in milliseconds.
    sent_ms: u64,
    lease: Lease,
}

/// Call whose result is awaited.
#[derive(Clone, Copy, Debug)]
enum PendingCall {
    None,
    Read,
    Write(SentWrite),
}

impl LeaseManager {
    /// Creates the manager of a process that does not hold the lease.
    pub fn new(settings: LeaseSettings, own_id: HolderId) -> Self {
        Self {
            settings,
            own_id,
            observed: None,
            held: None,
            unconfirmed_write: None,
            pending_call: PendingCall::None,
            next_call_ms: 0,
            write_number: 0,
            mechanisms: MechanismSwitch::new(),
        }
    }

    /// Disables one mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.mechanisms.disable(mechanism);
    }

    /// Returns the fencing token under which the process may act now, if it holds a valid lease.
    ///
    /// Must be called immediately before each write and command, since the process may have been
    /// suspended at any earlier point.
    pub fn valid_token(&self, now_ms: u64) -> Option<FencingToken> {
        let held = self.held?;
        let is_valid =
            now_ms < held.valid_until_ms || self.mechanisms.is_disabled(Sabotage::ExpiryCheck);
        is_valid.then_some(held.fence)
    }

    /// Returns the call to make now, or the time at which the next one is due.
    ///
    /// No further call is returned until the result of the last one was passed to
    /// [`LeaseManager::handle`].
    pub fn tick(&mut self, now_ms: u64) -> LeaseAction {
        if !matches!(self.pending_call, PendingCall::None) {
            return LeaseAction::Wait { until_ms: now_ms + self.settings.interval_ms };
        }
        if now_ms < self.next_call_ms {
            return LeaseAction::Wait { until_ms: self.next_call_ms };
        }
        let Some(observed) = self.observed else {
            return self.read();
        };
        let Some((revision, lease)) = observed.stored else {
            return self.acquire(now_ms, None, FencingToken(1));
        };
        if lease.holder == self.own_id
            && let Some(fence) = self.valid_token(now_ms)
        {
            return self.write(now_ms, Some(revision), fence);
        }
        if !self.has_expired(now_ms, &observed, &lease) {
            return self.read();
        }
        let fence = match self.mechanisms.is_disabled(Sabotage::IncreasingToken) {
            true => lease.fence,
            false => FencingToken(lease.fence.0 + 1),
        };
        self.acquire(now_ms, Some(revision), fence)
    }

    /// Processes the result of the last call.
    pub fn handle(&mut self, now_ms: u64, event: LeaseEvent) {
        let call = std::mem::replace(&mut self.pending_call, PendingCall::None);
        match event {
            LeaseEvent::Read { revision, lease } => self.on_read(now_ms, Some((revision, lease))),
            LeaseEvent::Missing => self.on_read(now_ms, None),
            LeaseEvent::ReadFailed => self.wait(now_ms),
            LeaseEvent::Written { revision } => self.on_written(now_ms, call, revision),
            // The record has to be read to learn whether this or an earlier write took effect.
            LeaseEvent::Conflict | LeaseEvent::AnswerLost => self.on_unconfirmed(now_ms, call),
        }
    }

    /// Releases the lease and returns the write that lets others acquire it at once.
    ///
    /// The process must no longer act under the lease. If the write fails, the lease expires by
    /// time.
    pub fn release(self) -> Option<LeaseAction> {
        self.held?;
        let (revision, lease) = self.observed?.stored?;
        if lease.holder != self.own_id {
            return None;
        }
        let write_number = self.write_number + 1;
        let lease = Lease { write_number, duration_ms: 0, ..lease };
        Some(LeaseAction::Write { if_revision: Some(revision), lease })
    }

    /// Returns whether the lease of another holder, or of an own earlier acquisition, has expired.
    ///
    /// The holder counts the duration from before its write, and this process from when it first
    /// observed that write. So the lease always ends earlier for its holder.
    fn has_expired(&self, now_ms: u64, observed: &ObservedLease, lease: &Lease) -> bool {
        if lease.holder == self.own_id || self.mechanisms.is_disabled(Sabotage::AwaitExpiry) {
            return true;
        }
        now_ms.saturating_sub(observed.first_observed_ms) >= lease.duration_ms
    }

    fn on_read(&mut self, now_ms: u64, stored: Option<(u64, Lease)>) {
        let is_unchanged = self.observed.is_some_and(|it| it.stored == stored);
        if !is_unchanged {
            self.observed = Some(ObservedLease { stored, first_observed_ms: now_ms });
        }
        let lease = stored.map(|(_, lease)| lease);
        if lease.is_none_or(|it| it.holder != self.own_id) {
            self.held = None;
        }
        if let Some(write) = self.unconfirmed_write.take()
            && lease == Some(write.lease)
        {
            self.set_held(write);
        }
        match self.is_write_due(now_ms) {
            true => self.next_call_ms = now_ms,
            false => self.wait(now_ms),
        }
    }

    /// Returns whether the record just read requires a write without delay.
    fn is_write_due(&self, now_ms: u64) -> bool {
        let Some(observed) = self.observed else {
            return false;
        };
        match observed.stored {
            Some((_, lease)) => self.has_expired(now_ms, &observed, &lease),
            None => true,
        }
    }

    fn on_written(&mut self, now_ms: u64, call: PendingCall, revision: u64) {
        let PendingCall::Write(mut write) = call else {
            return;
        };
        self.observed = Some(ObservedLease {
            stored: Some((revision, write.lease)),
            first_observed_ms: now_ms,
        });
        self.next_call_ms = write.sent_ms + self.settings.interval_ms;
        if self.mechanisms.is_disabled(Sabotage::ValidFromSent) {
            write.sent_ms = now_ms;
        }
        self.set_held(write);
    }

    /// Marks the lease as held from before the write was sent, so that it expires here before it
    /// does at any other process.
    fn set_held(&mut self, write: SentWrite) {
        let usable_ms = write.lease.duration_ms.saturating_sub(self.settings.margin_ms);
        let valid_until_ms = write.sent_ms + usable_ms;
        self.held = Some(HeldLease { fence: write.lease.fence, valid_until_ms });
    }

    fn on_unconfirmed(&mut self, now_ms: u64, call: PendingCall) {
        if let PendingCall::Write(write) = call {
            self.unconfirmed_write = Some(write);
        }
        self.observed = None;
        self.next_call_ms = now_ms;
    }

    fn wait(&mut self, now_ms: u64) {
        self.next_call_ms = now_ms + self.settings.interval_ms;
    }

    fn read(&mut self) -> LeaseAction {
        self.pending_call = PendingCall::Read;
        LeaseAction::Read
    }

    fn acquire(
        &mut self,
        now_ms: u64,
        if_revision: Option<u64>,
        fence: FencingToken,
    ) -> LeaseAction {
        self.held = None;
        self.write(now_ms, if_revision, fence)
    }

    fn write(&mut self, now_ms: u64, if_revision: Option<u64>, fence: FencingToken) -> LeaseAction {
        self.write_number += 1;
        let lease = Lease {
            holder: self.own_id,
            fence,
            write_number: self.write_number,
            duration_ms: self.settings.duration_ms,
        };
        self.pending_call = PendingCall::Write(SentWrite { sent_ms: now_ms, lease });
        LeaseAction::Write { if_revision, lease }
    }
}
