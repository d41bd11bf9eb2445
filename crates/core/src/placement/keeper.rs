//! State machine that acquires and renews a lease by conditional updates.

use super::{FencingNumber, HolderToken, Lease, Sabotage};
use crate::switch::MechanismSwitch;

/// Time for which a lease holds after a write, in milliseconds.
const DURATION_MS: u64 = 10_000;

/// Part of the duration that the holder leaves unused, in milliseconds.
const MARGIN_MS: u64 = 2_000;

/// Time between two renewals, and between two looks at another's lease, in milliseconds.
const INTERVAL_MS: u64 = 2_500;

/// Times of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time for which a lease holds after a write, in milliseconds.
    pub duration_ms: u64,
    /// Part of the duration that the holder leaves unused, in milliseconds. It covers different
    /// speeds of the clocks and the way of an order.
    pub margin_ms: u64,
    /// Time between two renewals, and between two looks at another's lease, in milliseconds.
    pub interval_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { duration_ms: DURATION_MS, margin_ms: MARGIN_MS, interval_ms: INTERVAL_MS }
    }
}

/// Answer of the platform to the last call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The read found the record.
    Read {
        /// Revision of the record, on which a write can be made conditional.
        revision: u64,
        /// The record.
        lease: Lease,
    },
    /// The read found that there is no record.
    Missing,
    /// The read got no answer.
    ReadFailed,
    /// The write took effect.
    Written {
        /// Revision that the write made.
        revision: u64,
    },
    /// The write did not take effect because its condition was false.
    Conflict,
    /// The write may or may not have taken effect, or may still do so.
    AnswerLost,
}

/// Call that the keeper asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing is due; call [`LeaseKeeper::tick`] again at `until_ms`.
    Wait {
        /// Time at which something is due, in milliseconds.
        until_ms: u64,
    },
    /// Read the record.
    Read,
    /// Write the record if its revision is `if_revision`, or if there is none when that is none.
    Write {
        /// Revision that the record must have.
        if_revision: Option<u64>,
        /// New record.
        lease: Lease,
    },
}

/// Acquires a lease, renews it and tells whether its holder may act.
///
/// Times are those of a monotonic clock that goes on while the process is paused.
#[derive(Clone, Debug)]
pub struct LeaseKeeper {
    settings: LeaseSettings,
    token: HolderToken,
    /// The record as last seen, with its revision.
    seen: Option<SeenLease>,
    held: Option<HeldLease>,
    /// The last write whose answer did not come, with the time before it was sent.
    unsettled: Option<SentWrite>,
    call: Call,
    /// Time at which the next call is due, in milliseconds.
    due_ms: u64,
    write_number: u64,
    switch: MechanismSwitch<Sabotage>,
}

/// The stored record, or its absence, as last seen.
#[derive(Clone, Copy, Debug)]
struct SeenLease {
    /// Revision and record; none if there is no record.
    stored: Option<(u64, Lease)>,
    /// Time of the answer that showed this record first, in milliseconds.
    first_seen_ms: u64,
}

/// A lease that the process holds.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: FencingNumber,
    /// End of the time in which the holder may act, in milliseconds.
    valid_until_ms: u64,
}

/// A write of the record.
#[derive(Clone, Copy, Debug)]
struct SentWrite {
    /// Time before the write was sent, in milliseconds.
    sent_ms: u64,
    lease: Lease,
}

/// The call that the keeper waits for.
#[derive(Clone, Copy, Debug)]
enum Call {
    None,
    Read,
    Write(SentWrite),
}

impl LeaseKeeper {
    /// Creates the keeper of a process that holds nothing.
    pub fn new(settings: LeaseSettings, token: HolderToken) -> Self {
        Self {
            settings,
            token,
            seen: None,
            held: None,
            unsettled: None,
            call: Call::None,
            due_ms: 0,
            write_number: 0,
            switch: MechanismSwitch::new(),
        }
    }

    /// Turns one mechanism off.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.switch.disable(mechanism);
    }

    /// Returns the fencing number under which the process may act now, if it may.
    ///
    /// Has to be asked straight before each write and order, since the process may have been paused
    /// at any earlier point.
    pub fn may_act(&self, now_ms: u64) -> Option<FencingNumber> {
        let held = self.held?;
        let is_valid =
            now_ms < held.valid_until_ms || self.switch.is_disabled(Sabotage::ExpiryCheck);
        is_valid.then_some(held.fence)
    }

    /// Returns the call that is due.
    ///
    /// While a call is under way, the keeper waits for its event.
    pub fn tick(&mut self, now_ms: u64) -> LeaseAction {
        if !matches!(self.call, Call::None) {
            return LeaseAction::Wait { until_ms: now_ms + self.settings.interval_ms };
        }
        if now_ms < self.due_ms {
            return LeaseAction::Wait { until_ms: self.due_ms };
        }
        let Some(seen) = self.seen else {
            return self.read();
        };
        let Some((revision, lease)) = seen.stored else {
            return self.acquire(now_ms, None, FencingNumber(1));
        };
        if lease.holder == self.token
            && let Some(fence) = self.may_act(now_ms)
        {
            return self.write(now_ms, Some(revision), fence);
        }
        if !self.has_lapsed(now_ms, &seen, &lease) {
            return self.read();
        }
        let fence = match self.switch.is_disabled(Sabotage::RisingFence) {
            true => lease.fence,
            false => FencingNumber(lease.fence.0 + 1),
        };
        self.acquire(now_ms, Some(revision), fence)
    }

    /// Takes the answer to the last call.
    pub fn handle(&mut self, now_ms: u64, event: LeaseEvent) {
        let call = std::mem::replace(&mut self.call, Call::None);
        match event {
            LeaseEvent::Read { revision, lease } => self.on_read(now_ms, Some((revision, lease))),
            LeaseEvent::Missing => self.on_read(now_ms, None),
            LeaseEvent::ReadFailed => self.wait(now_ms),
            LeaseEvent::Written { revision } => self.on_written(now_ms, call, revision),
            // Whether this or an earlier write took effect shows when the record is read back.
            LeaseEvent::Conflict | LeaseEvent::AnswerLost => self.on_unsettled(now_ms, call),
        }
    }

    /// Gives the lease up and returns the write that lets others take it at once.
    ///
    /// Nothing may be done under the lease any more. If the write fails, the lease lapses by time.
    pub fn close(self) -> Option<LeaseAction> {
        self.held?;
        let (revision, lease) = self.seen?.stored?;
        if lease.holder != self.token {
            return None;
        }
        let write_number = self.write_number + 1;
        let lease = Lease { write_number, duration_ms: 0, ..lease };
        Some(LeaseAction::Write { if_revision: Some(revision), lease })
    }

    /// Tells whether a record of another holder, or of an earlier acquisition, has lapsed.
    ///
    /// Its holder counts from before its write, so waiting from when the write was first seen is
    /// always longer.
    fn has_lapsed(&self, now_ms: u64, seen: &SeenLease, lease: &Lease) -> bool {
        if lease.holder == self.token || self.switch.is_disabled(Sabotage::AwaitExpiry) {
            return true;
        }
        now_ms.saturating_sub(seen.first_seen_ms) >= lease.duration_ms
    }

    fn on_read(&mut self, now_ms: u64, stored: Option<(u64, Lease)>) {
        let is_known = self.seen.is_some_and(|it| it.stored == stored);
        if !is_known {
            self.seen = Some(SeenLease { stored, first_seen_ms: now_ms });
        }
        let lease = stored.map(|(_, lease)| lease);
        if lease.is_none_or(|it| it.holder != self.token) {
            self.held = None;
        }
        if let Some(write) = self.unsettled.take()
            && lease == Some(write.lease)
        {
            self.hold(write);
        }
        match self.is_write_due(now_ms) {
            true => self.due_ms = now_ms,
            false => self.wait(now_ms),
        }
    }

    /// Tells whether the record just read calls for a write at once.
    fn is_write_due(&self, now_ms: u64) -> bool {
        let Some(seen) = self.seen else {
            return false;
        };
        match seen.stored {
            Some((_, lease)) => self.has_lapsed(now_ms, &seen, &lease),
            None => true,
        }
    }

    fn on_written(&mut self, now_ms: u64, call: Call, revision: u64) {
        let Call::Write(mut write) = call else {
            return;
        };
        self.seen =
            Some(SeenLease { stored: Some((revision, write.lease)), first_seen_ms: now_ms });
        self.due_ms = write.sent_ms + self.settings.interval_ms;
        if self.switch.is_disabled(Sabotage::ValidFromSent) {
            write.sent_ms = now_ms;
        }
        self.hold(write);
    }

    /// Holds the lease from before the write was sent, so that it ends here before it does
    /// elsewhere.
    fn hold(&mut self, write: SentWrite) {
        let usable_ms = write.lease.duration_ms.saturating_sub(self.settings.margin_ms);
        let valid_until_ms = write.sent_ms + usable_ms;
        self.held = Some(HeldLease { fence: write.lease.fence, valid_until_ms });
    }

    fn on_unsettled(&mut self, now_ms: u64, call: Call) {
        if let Call::Write(write) = call {
            self.unsettled = Some(write);
        }
        self.seen = None;
        self.due_ms = now_ms;
    }

    fn wait(&mut self, now_ms: u64) {
        self.due_ms = now_ms + self.settings.interval_ms;
    }

    fn read(&mut self) -> LeaseAction {
        self.call = Call::Read;
        LeaseAction::Read
    }

    fn acquire(
        &mut self,
        now_ms: u64,
        if_revision: Option<u64>,
        fence: FencingNumber,
    ) -> LeaseAction {
        self.held = None;
        self.write(now_ms, if_revision, fence)
    }

    fn write(
        &mut self,
        now_ms: u64,
        if_revision: Option<u64>,
        fence: FencingNumber,
    ) -> LeaseAction {
        self.write_number += 1;
        let lease = Lease {
            holder: self.token,
            fence,
            write_number: self.write_number,
            duration_ms: self.settings.duration_ms,
        };
        self.call = Call::Write(SentWrite { sent_ms: now_ms, lease });
        LeaseAction::Write { if_revision, lease }
    }
}
