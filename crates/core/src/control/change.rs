//! Change of the control state by an operator, accepted by one conditional update on the platform.

use std::{num::ParseIntError, sync::Arc};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::{ConfigRecord, HistoryEntry, OperationsChange, OperationsRecord, Sabotage, Stored};
use crate::{
    document::{self, Fault},
    ids::Digest,
    switch::MechanismSwitch,
};

/// Maximum number of platform calls in one flow.
const MAX_CALLS: u32 = 16;

/// Identifies one change by an operator; each flow uses a new random value.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, From, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
#[serde(into = "String", try_from = "String")]
pub struct ChangeId(pub u128);

impl From<ChangeId> for String {
    fn from(change_id: ChangeId) -> Self {
        change_id.to_string()
    }
}

impl TryFrom<String> for ChangeId {
    type Error = ParseIntError;

    /// Parses the hexadecimal form, which is used because a JSON number would lose digits.
    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

/// Result of the platform call that the last action of a flow asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeEvent<T> {
    /// The read found the object.
    Read {
        /// Revision of the object, usable as the condition of a write.
        revision: u64,
        /// Content of the object.
        stored: Stored<T>,
    },
    /// The read found that the object does not exist.
    Missing,
    /// The read failed or got no response.
    ReadFailed,
    /// The write took effect.
    Written,
    /// The write did not take effect because its condition was not met.
    Conflict,
    /// The response to the write was lost, so it may or may not take effect, now or later.
    AnswerLost,
    /// The write did not and will not take effect because the platform rejected it or was
    /// unreachable.
    Unavailable,
}

/// What the caller of a flow must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeAction<T> {
    /// Read the object, after a delay if the last call failed.
    Read,
    /// Write the object on the condition that its revision is `if_revision`, or that it does not
    /// exist if that is `None`.
    Write {
        /// Expected revision of the object.
        if_revision: Option<u64>,
        /// New content.
        stored: Stored<T>,
    },
    /// Report the result.
    Finished(ChangeResult),
}

/// Result of a change.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ChangeResult {
    /// The change was accepted and will take effect in every process.
    #[display("accepted as version {version}")]
    Accepted {
        /// Version created by the change.
        version: u64,
    },
    /// The current state already includes the change.
    #[display("already in force as version {version}")]
    AlreadyInForce {
        /// Version in force.
        version: u64,
    },
    /// A concurrent change was accepted instead; this one was not and will not be.
    #[display("conflict with version {current_version} ({digest})")]
    Conflict {
        /// Version in force.
        current_version: u64,
        /// Digest of the record in force.
        digest: Digest,
    },
    /// The change was not and will not be accepted, because the platform was unavailable.
    #[display("not accepted")]
    NotAccepted,
    /// A write was sent, but it could not be determined whether it took effect.
    #[display("undecided")]
    Undecided,
}

/// State machine that carries one operator's change through to its result.
pub struct ChangeFlow<T> {
    change_id: ChangeId,
    propose: ProposeFn<T>,
    record_id: fn(&T) -> RecordId,
    /// Whether the change is applied again to the newer record after it lost a race.
    retries_after_conflict: bool,
    calls_left: u32,
    write: Option<PendingWrite<T>>,
    mechanisms: MechanismSwitch<Sabotage>,
}

/// Applies a change to the record in force, or to `None` if there is none.
type ProposeFn<T> = Box<dyn Fn(Option<&T>) -> Proposal<T> + Send>;

/// Result of applying a change to the record in force.
enum Proposal<T> {
    /// A new record with the next version.
    Record(T),
    /// No new record, because the record in force already includes the change.
    InForce,
    /// No new record, because the one in force does not have the version that the operator expects.
    Unexpected,
}

/// Version and digest of a record.
#[derive(Clone, Copy)]
struct RecordId {
    version: u64,
    digest: Digest,
}

/// A write that was sent and whose effect is not known yet.
struct PendingWrite<T> {
    if_revision: Option<u64>,
    stored: Stored<T>,
    version: u64,
    /// Whether a response was lost, so that the write may still take effect at any time.
    is_ambiguous: bool,
}

impl ChangeFlow<ConfigRecord> {
    /// Creates the flow that promotes a document.
    ///
    /// If `expected_version` is given, the flow reports a conflict unless that version is in force;
    /// zero means that no document may be in force.
    pub fn promote(
        text: Arc<str>,
        expected_version: Option<u64>,
        change_id: ChangeId,
    ) -> Result<Self, Vec<Fault>> {
        document::parse(&text)?;
        let digest = Digest::of(text.as_bytes());
        let propose = move |current: Option<&ConfigRecord>| {
            if current.is_some_and(|it| it.digest == digest) {
                return Proposal::InForce;
            }
            let current_version = current.map_or(0, |it| it.version);
            if expected_version.is_some_and(|it| it != current_version) {
                return Proposal::Unexpected;
            }
            Proposal::Record(ConfigRecord {
                version: current_version + 1,
                digest,
                text: Arc::clone(&text),
            })
        };
        let record_id = |it: &ConfigRecord| RecordId { version: it.version, digest: it.digest };
        Ok(Self::new(change_id, Box::new(propose), record_id, false))
    }
}

impl ChangeFlow<OperationsRecord> {
    /// Creates the flow of a change to the operational state, which is applied again to the newer
    /// state if it loses a race with another change.
    pub fn change_operations(change: OperationsChange, change_id: ChangeId) -> Self {
        let propose = move |current: Option<&OperationsRecord>| {
            let initial = OperationsRecord::initial();
            match current.unwrap_or(&initial).with_change(&change) {
                Some(record) => Proposal::Record(record),
                None => Proposal::InForce,
            }
        };
        let record_id =
            |it: &OperationsRecord| RecordId { version: it.version, digest: it.digest() };
        Self::new(change_id, Box::new(propose), record_id, true)
    }
}

impl<T: Clone> ChangeFlow<T> {
    fn new(
        change_id: ChangeId,
        propose: ProposeFn<T>,
        record_id: fn(&T) -> RecordId,
        retries_after_conflict: bool,
    ) -> Self {
        Self {
            change_id,
            propose,
            record_id,
            retries_after_conflict,
            calls_left: MAX_CALLS,
            write: None,
            mechanisms: MechanismSwitch::new(),
        }
    }

    /// Disables one safety mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.mechanisms.disable(mechanism);
    }

    /// Returns the identifier of the change in the stored history.
    pub fn change_id(&self) -> ChangeId {
        self.change_id
    }

    /// Returns the first action.
    pub fn start(&mut self) -> ChangeAction<T> {
        self.read()
    }

    /// Handles the result of the last action and returns the next action.
    pub fn handle(&mut self, event: ChangeEvent<T>) -> ChangeAction<T> {
        match event {
            ChangeEvent::Read { revision, stored } => self.on_read(revision, stored),
            ChangeEvent::Missing => self.on_missing(),
            ChangeEvent::ReadFailed | ChangeEvent::Unavailable => self.read(),
            ChangeEvent::Written => self.on_written(),
            ChangeEvent::Conflict => self.on_conflict(),
            ChangeEvent::AnswerLost => self.on_answer_lost(),
        }
    }

    fn on_read(&mut self, revision: u64, stored: Stored<T>) -> ChangeAction<T> {
        let Some(write) = self.write.take() else {
            return self.propose(Some(revision), Some(&stored));
        };
        let current = (self.record_id)(&stored.record);
        // The object is unchanged, so the write may still take effect later. Sending it again under
        // the same condition is safe: at most one of the two can take effect.
        if current.version < write.version {
            return self.send(write);
        }
        let searches_history = !self.mechanisms.is_disabled(Sabotage::History);
        let change = match searches_history {
            true => stored.change(write.version),
            false => stored.history.last(),
        };
        match change {
            Some(change) if change.change_id == self.change_id => {
                finish(ChangeResult::Accepted { version: write.version })
            }
            Some(_) => self.on_lost_race(revision, &stored),
            None if write.is_ambiguous => finish(ChangeResult::Undecided),
            None => self.on_lost_race(revision, &stored),
        }
    }

    /// Continues after another change was accepted first, so that the condition of this flow's
    /// write can no longer be met.
    fn on_lost_race(&mut self, revision: u64, stored: &Stored<T>) -> ChangeAction<T> {
        let overwrites_winner = self.mechanisms.is_disabled(Sabotage::ConflictReport);
        if self.retries_after_conflict || overwrites_winner {
            return self.propose(Some(revision), Some(stored));
        }
        let current = (self.record_id)(&stored.record);
        if matches!((self.propose)(Some(&stored.record)), Proposal::InForce) {
            return finish(ChangeResult::AlreadyInForce { version: current.version });
        }
        finish(conflict_result(current))
    }

    fn on_missing(&mut self) -> ChangeAction<T> {
        let Some(write) = self.write.take() else {
            return self.propose(None, None);
        };
        if write.if_revision.is_none() {
            return self.send(write);
        }
        // The object existed and has been deleted together with its history.
        match write.is_ambiguous {
            true => finish(ChangeResult::Undecided),
            false => finish(ChangeResult::NotAccepted),
        }
    }

    fn on_written(&mut self) -> ChangeAction<T> {
        match &self.write {
            Some(write) => finish(ChangeResult::Accepted { version: write.version }),
            None => self.read(),
        }
    }

    fn on_conflict(&mut self) -> ChangeAction<T> {
        if self.mechanisms.is_disabled(Sabotage::ReadBackAfterConflict) {
            return finish(ChangeResult::NotAccepted);
        }
        self.read()
    }

    fn on_answer_lost(&mut self) -> ChangeAction<T> {
        if self.mechanisms.is_disabled(Sabotage::ReadBack) {
            return finish(ChangeResult::NotAccepted);
        }
        if let Some(write) = &mut self.write {
            write.is_ambiguous = true;
        }
        self.read()
    }

    /// Applies the change to `current` and sends the write.
    fn propose(
        &mut self,
        if_revision: Option<u64>,
        current: Option<&Stored<T>>,
    ) -> ChangeAction<T> {
        let current_id = current.map(|it| (self.record_id)(&it.record));
        let record = match (self.propose)(current.map(|it| &it.record)) {
            Proposal::Record(record) => record,
            Proposal::InForce => {
                let initial = OperationsRecord::initial();
                let version = current_id.map_or(initial.version, |it| it.version);
                return finish(ChangeResult::AlreadyInForce { version });
            }
            Proposal::Unexpected => {
                let none = RecordId { version: 0, digest: Digest([0; 32]) };
                return finish(conflict_result(current_id.unwrap_or(none)));
            }
        };
        let RecordId { version, digest } = (self.record_id)(&record);
        let entry = HistoryEntry { version, digest, change_id: self.change_id };
        let stored = Stored::successor(current, record, entry);
        self.send(PendingWrite { if_revision, stored, version, is_ambiguous: false })
    }

    fn send(&mut self, write: PendingWrite<T>) -> ChangeAction<T> {
        let action =
            ChangeAction::Write { if_revision: write.if_revision, stored: write.stored.clone() };
        self.write = Some(write);
        self.call(action)
    }

    fn read(&mut self) -> ChangeAction<T> {
        self.call(ChangeAction::Read)
    }

    /// Returns `action` while the call limit permits, otherwise the final result.
    fn call(&mut self, action: ChangeAction<T>) -> ChangeAction<T> {
        if self.calls_left > 0 {
            self.calls_left -= 1;
            return action;
        }
        match self.write.as_ref().is_some_and(|it| it.is_ambiguous) {
            true => finish(ChangeResult::Undecided),
            false => finish(ChangeResult::NotAccepted),
        }
    }
}

fn finish<T>(result: ChangeResult) -> ChangeAction<T> {
    ChangeAction::Finished(result)
}

fn conflict_result(current: RecordId) -> ChangeResult {
    ChangeResult::Conflict { current_version: current.version, digest: current.digest }
}
