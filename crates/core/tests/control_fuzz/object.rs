//! One object of the platform with the flows that change it.

use yuccatrail_core::control::{
    ChangeAction, ChangeEvent, ChangeFlow, ChangeId, ChangeResult, HistoryEntry, Stored,
};

/// Calls of a flow below which it has not used up its limit.
const UNLIMITED_CALLS: u32 = 8;

/// What becomes of a call to the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    Answered,
    Unavailable,
    AnswerLostAfterEffect,
    EffectDelayed,
}

/// One object of the platform with the flows that change it.
pub(crate) struct Object<T> {
    pub(crate) stored: Option<(u64, Stored<T>)>,
    late: Vec<(Option<u64>, Stored<T>)>,
    pub(crate) log: Vec<HistoryEntry>,
    operators: Vec<Operator<T>>,
    refused: Vec<ChangeId>,
    is_base_checked: bool,
}

struct Operator<T> {
    flow: ChangeFlow<T>,
    action: ChangeAction<T>,
    /// Version that the operator saw first.
    base: Option<u64>,
    calls: u32,
}

impl<T: Clone> Object<T> {
    pub(crate) fn new(is_base_checked: bool) -> Self {
        let (late, log, operators, refused) = (vec![], vec![], vec![], vec![]);
        Self { stored: None, late, log, operators, refused, is_base_checked }
    }

    pub(crate) fn begin(&mut self, mut flow: ChangeFlow<T>) {
        let action = flow.start();
        self.operators.push(Operator { flow, action, base: None, calls: 0 });
    }

    pub(crate) fn version(&self) -> u64 {
        self.log.last().map_or(0, |it| it.version)
    }

    fn write(&mut self, if_revision: Option<u64>, stored: Stored<T>) -> bool {
        if self.stored.as_ref().map(|it| it.0) != if_revision {
            return false;
        }
        let entry = *stored.history.last().expect("a write lists its change");
        assert!(self.log.is_empty() || entry.version == self.version() + 1, "a version is skipped");
        self.log.push(entry);
        self.stored = Some((if_revision.unwrap_or(0) + 1, stored));
        true
    }

    /// Lets a write whose answer was lost take effect late.
    pub(crate) fn land(&mut self, index: usize) {
        if index < self.late.len() {
            let (if_revision, stored) = self.late.remove(index);
            self.write(if_revision, stored);
        }
    }

    /// Carries out the call of one of the unfinished flows.
    pub(crate) fn call(&mut self, operator: usize, fate: Fate, is_up: bool) {
        let mut unfinished = vec![];
        for (index, operator) in self.operators.iter().enumerate() {
            if !matches!(operator.action, ChangeAction::Finished(_)) {
                unfinished.push(index);
            }
        }
        if unfinished.is_empty() {
            return;
        }
        let index = unfinished[operator % unfinished.len()];
        let action = self.operators[index].action.clone();
        let event = match (action, fate) {
            (ChangeAction::Finished(_), _) => unreachable!("only unfinished flows are called"),
            (ChangeAction::Read, Fate::Answered) if is_up => match self.stored.clone() {
                Some((revision, stored)) => ChangeEvent::Read { revision, stored },
                None => ChangeEvent::Missing,
            },
            (ChangeAction::Read, _) => ChangeEvent::ReadFailed,
            (ChangeAction::Write { if_revision, stored }, Fate::EffectDelayed) => {
                self.late.push((if_revision, stored));
                ChangeEvent::AnswerLost
            }
            (_, Fate::Unavailable) => ChangeEvent::Unavailable,
            _ if !is_up => ChangeEvent::Unavailable,
            (ChangeAction::Write { if_revision, stored }, fate) => {
                let is_written = self.write(if_revision, stored);
                match (fate, is_written) {
                    (Fate::AnswerLostAfterEffect, _) => ChangeEvent::AnswerLost,
                    (_, true) => ChangeEvent::Written,
                    (_, false) => ChangeEvent::Conflict,
                }
            }
        };
        let version = self.version();
        let is_read = matches!(event, ChangeEvent::Read { .. } | ChangeEvent::Missing);
        let operator = &mut self.operators[index];
        if is_read {
            operator.base.get_or_insert(version);
        }
        operator.calls += 1;
        operator.action = operator.flow.handle(event);
        self.judge(index);
    }

    /// Carries all flows to their results without further faults.
    pub(crate) fn finish(&mut self) {
        let is_finished = |it: &Operator<T>| matches!(it.action, ChangeAction::Finished(_));
        while !self.operators.iter().all(is_finished) {
            self.call(0, Fate::Answered, true);
        }
    }

    /// Compares a reported result with what took effect.
    fn judge(&mut self, index: usize) {
        let operator = &self.operators[index];
        let ChangeAction::Finished(result) = operator.action else {
            return;
        };
        let change_id = operator.flow.change_id();
        let own = self.log.iter().find(|it| it.change_id == change_id);
        match result {
            ChangeResult::Accepted { version } => {
                let own = own.expect("an accepted change took effect");
                assert_eq!(own.version, version);
                if self.is_base_checked {
                    assert_eq!(operator.base, Some(version - 1), "a change was overwritten unseen");
                }
            }
            ChangeResult::Undecided => assert!(operator.calls > UNLIMITED_CALLS),
            ChangeResult::Conflict { current_version, digest } => {
                let known = (self.version(), self.log.last().map(|it| it.digest));
                assert_eq!(known, (current_version, Some(digest)), "the winner is in force");
                self.refused.push(change_id);
            }
            _ => self.refused.push(change_id),
        }
    }

    pub(crate) fn check(&self) {
        for entry in &self.log {
            assert!(!self.refused.contains(&entry.change_id), "a refused change took effect");
        }
    }
}
