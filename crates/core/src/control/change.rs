//! Acceptance of an operator's change by one conditional update on the platform.

use std::{num::ParseIntError, sync::Arc};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::{ConfigRecord, HistoryEntry, OperationsChange, OperationsRecord, Sabotage, Stored};
use crate::{
    document::{self, Fault},
    ids::Digest,
    switch::Switch,
};

/// Platform calls that a flow makes at most.
const CALL_LIMIT: u32 = 16;

/// Names one change of one operator; every flow draws a new value at random.
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

    /// Reads the hexadecimal form; as a number the token would lose digits in JSON.
    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

/// Answer of the platform to the last action of a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeEvent<T> {
    /// The read found the object.
    Read {
        /// Revision of the object, on which a write can be made conditional.
        revision: u64,
        /// Content of the object.
        stored: Stored<T>,
    },
    /// The read found that the object does not exist.
    Missing,
    /// The read got no answer.
    ReadFailed,
    /// The write took effect.
    Written,
    /// The write did not take effect because its condition was false.
    Conflict,
    /// The write may or may not take effect, now or later.
    AnswerLost,
    /// The write did not and will not take effect because the platform refused or was not reached.
    Unavailable,
}

/// What the caller of a flow does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeAction<T> {
    /// Read the object; after a failed call, with a delay.
    Read,
    /// Write the object if its revision is `if_revision`, or if it does not exist when that is
    /// none.
    Write {
        /// Revision that the object must have.
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
    /// The change was accepted and will be in force everywhere.
    #[display("accepted as version {version}")]
    Accepted {
        /// Version that the change made.
        version: u64,
    },
    /// The state already is as the change asks.
    #[display("already in force as version {version}")]
    AlreadyInForce {
        /// Version in force.
        version: u64,
    },
    /// Another change won and this one was not and will not be accepted.
    #[display("conflict with version {current_version} ({digest})")]
    Conflict {
        /// Version in force.
        current_version: u64,
        /// Digest of the record in force.
        digest: Digest,
    },
    /// The change was not and will not be accepted, because the platform could not be used.
    #[display("not accepted")]
    NotAccepted,
    /// A write was sent and it could not be found out whether it took effect.
    #[display("undecided")]
    Undecided,
}

/// Carries one change of an operator through to a result.
pub struct ChangeFlow<T> {
    change_id: ChangeId,
    propose: Propose<T>,
    identify: fn(&T) -> Identity,
    is_reapplied: bool,
    calls_left: u32,
    write: Option<SentWrite<T>>,
    switch: Switch<Sabotage>,
}

/// Makes a change on the record in force, if there is one.
type Propose<T> = Box<dyn Fn(Option<&T>) -> Proposal<T> + Send>;

/// What a change makes of the record in force.
enum Proposal<T> {
    /// A new record with the next version.
    Record(T),
    /// Nothing, because the record is as the change asks.
    InForce,
    /// Nothing, because the record is not the one that the operator expects.
    Unexpected,
}

/// Version and digest of a record.
#[derive(Clone, Copy)]
struct Identity {
    version: u64,
    digest: Digest,
}

/// A write that was sent and is not settled.
struct SentWrite<T> {
    if_revision: Option<u64>,
    stored: Stored<T>,
    version: u64,
    /// Whether an answer was lost, so that the write may take effect at any time.
    is_ambiguous: bool,
}

impl ChangeFlow<ConfigRecord> {
    /// Prepares the promotion of a document.
    ///
    /// With `expected_version` the flow reports a conflict unless that version is in force; zero
    /// stands for "none".
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
        let identify = |it: &ConfigRecord| Identity { version: it.version, digest: it.digest };
        Ok(Self::new(change_id, Box::new(propose), identify, false))
    }
}

impl ChangeFlow<OperationsRecord> {
    /// Prepares a change to the operational state, which is made again on a newer state if another
    /// change wins the race.
    pub fn change_operations(change: OperationsChange, change_id: ChangeId) -> Self {
        let propose = move |current: Option<&OperationsRecord>| {
            let initial = OperationsRecord::initial();
            match current.unwrap_or(&initial).with(&change) {
                Some(record) => Proposal::Record(record),
                None => Proposal::InForce,
            }
        };
        let identify =
            |it: &OperationsRecord| Identity { version: it.version, digest: it.digest() };
        Self::new(change_id, Box::new(propose), identify, true)
    }
}

impl<T: Clone> ChangeFlow<T> {
    fn new(
        change_id: ChangeId,
        propose: Propose<T>,
        identify: fn(&T) -> Identity,
        is_reapplied: bool,
    ) -> Self {
        Self {
            change_id,
            propose,
            identify,
            is_reapplied,
            calls_left: CALL_LIMIT,
            write: None,
            switch: Switch::new(),
        }
    }

    /// Turns one mechanism off.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.switch.turn_off(mechanism);
    }

    /// Token that marks the change in the stored history.
    pub fn change_id(&self) -> ChangeId {
        self.change_id
    }

    /// Returns the first action.
    pub fn start(&mut self) -> ChangeAction<T> {
        self.read()
    }

    /// Takes the answer to the last action and returns the next one.
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
        let current = (self.identify)(&stored.record);
        // The object has not moved, so the write may still take effect later. Sending it again
        // under the same condition settles it: at most one of the two can take effect.
        if current.version < write.version {
            return self.send(write);
        }
        let is_history_used = !self.switch.is_off(Sabotage::History);
        let change = match is_history_used {
            true => stored.change(write.version),
            false => stored.history.last(),
        };
        match change {
            Some(change) if change.change_id == self.change_id => {
                finish(ChangeResult::Accepted { version: write.version })
            }
            Some(_) => self.lost_race(revision, &stored),
            None if write.is_ambiguous => finish(ChangeResult::Undecided),
            None => self.lost_race(revision, &stored),
        }
    }

    /// Goes on after another change took the place of ours, whose condition can't hold any more.
    fn lost_race(&mut self, revision: u64, stored: &Stored<T>) -> ChangeAction<T> {
        let is_overwriting = self.switch.is_off(Sabotage::ConflictReport);
        if self.is_reapplied || is_overwriting {
            return self.propose(Some(revision), Some(stored));
        }
        let current = (self.identify)(&stored.record);
        if matches!((self.propose)(Some(&stored.record)), Proposal::InForce) {
            return finish(ChangeResult::AlreadyInForce { version: current.version });
        }
        finish(conflict_with(current))
    }

    fn on_missing(&mut self) -> ChangeAction<T> {
        let Some(write) = self.write.take() else {
            return self.propose(None, None);
        };
        if write.if_revision.is_none() {
            return self.send(write);
        }
        // The object existed and is gone, and the history with it.
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
        if self.switch.is_off(Sabotage::ReadBackAfterConflict) {
            return finish(ChangeResult::NotAccepted);
        }
        self.read()
    }

    fn on_answer_lost(&mut self) -> ChangeAction<T> {
        if self.switch.is_off(Sabotage::ReadBack) {
            return finish(ChangeResult::NotAccepted);
        }
        if let Some(write) = &mut self.write {
            write.is_ambiguous = true;
        }
        self.read()
    }

    /// Makes the change on `current` and sends it.
    fn propose(
        &mut self,
        if_revision: Option<u64>,
        current: Option<&Stored<T>>,
    ) -> ChangeAction<T> {
        let identity = current.map(|it| (self.identify)(&it.record));
        let record = match (self.propose)(current.map(|it| &it.record)) {
            Proposal::Record(record) => record,
            Proposal::InForce => {
                let initial = OperationsRecord::initial();
                let version = identity.map_or(initial.version, |it| it.version);
                return finish(ChangeResult::AlreadyInForce { version });
            }
            Proposal::Unexpected => {
                let none = Identity { version: 0, digest: Digest([0; 32]) };
                return finish(conflict_with(identity.unwrap_or(none)));
            }
        };
        let Identity { version, digest } = (self.identify)(&record);
        let entry = HistoryEntry { version, digest, change_id: self.change_id };
        let stored = Stored::following(current, record, entry);
        self.send(SentWrite { if_revision, stored, version, is_ambiguous: false })
    }

    fn send(&mut self, write: SentWrite<T>) -> ChangeAction<T> {
        let action =
            ChangeAction::Write { if_revision: write.if_revision, stored: write.stored.clone() };
        self.write = Some(write);
        self.call(action)
    }

    fn read(&mut self) -> ChangeAction<T> {
        self.call(ChangeAction::Read)
    }

    /// Lets a call pass while the limit allows it.
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

fn conflict_with(current: Identity) -> ChangeResult {
    ChangeResult::Conflict { current_version: current.version, digest: current.digest }
}
