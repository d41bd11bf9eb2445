//! A platform object and the flows that change it.

use yuccatrail_core::control::{
    ChangeAction, ChangeEvent, ChangeFlow, ChangeId, ChangeResult, HistoryEntry, Stored,
};

/// A flow has to make more than this number of calls before it may end undecided.
const MIN_CALLS_BEFORE_UNDECIDED: u32 = 8;

/// Outcome of a call to the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallOutcome {
    Answered,
    Unavailable,
    AnswerLostAfterEffect,
    EffectDelayed,
}

/// A platform object and the flows that change it.
pub(crate) struct Object<T> {
    pub(crate) stored: Option<(u64, Stored<T>)>,
    /// Writes whose response was lost and that may take effect later, with their conditions.
    delayed: Vec<(Option<u64>, Stored<T>)>,
    /// Every change that took effect, oldest first.
    pub(crate) log: Vec<HistoryEntry>,
    operators: Vec<Operator<T>>,
    /// Changes that were reported as not accepted.
    refused: Vec<ChangeId>,
    /// Whether a change may be accepted only on the version that its operator read first.
    checks_base_version: bool,
}

struct Operator<T> {
    flow: ChangeFlow<T>,
    action: ChangeAction<T>,
    /// Version that the operator read first.
    base_version: Option<u64>,
    calls: u32,
}

impl<T: Clone> Object<T> {
    pub(crate) fn new(checks_base_version: bool) -> Self {
        let (delayed, log, operators, refused) = (vec![], vec![], vec![], vec![]);
        Self { stored: None, delayed, log, operators, refused, checks_base_version }
    }

    pub(crate) fn begin(&mut self, mut flow: ChangeFlow<T>) {
        let action = flow.start();
        self.operators.push(Operator { flow, action, base_version: None, calls: 0 });
    }

    pub(crate) fn version(&self) -> u64 {
        self.log.last().map_or(0, |it| it.version)
    }

    fn write(&mut self, if_revision: Option<u64>, stored: Stored<T>) -> bool {
        if self.stored.as_ref().map(|it| it.0) != if_revision {
            return false;
        }
        let entry =
            *stored.history.last().expect("a write has to include its change in the history");
        assert!(
            self.log.is_empty() || entry.version == self.version() + 1,
            "a write skips a version"
        );
        self.log.push(entry);
        self.stored = Some((if_revision.unwrap_or(0) + 1, stored));
        true
    }

    /// Applies a delayed write whose response was lost.
    pub(crate) fn apply_delayed(&mut self, index: usize) {
        if index < self.delayed.len() {
            let (if_revision, stored) = self.delayed.remove(index);
            self.write(if_revision, stored);
        }
    }

    /// Performs the next call of one of the unfinished flows.
    pub(crate) fn call(&mut self, operator: usize, outcome: CallOutcome, is_platform_up: bool) {
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
        let event = match (action, outcome) {
            (ChangeAction::Finished(_), _) => unreachable!("only unfinished flows are called"),
            (ChangeAction::Read, CallOutcome::Answered) if is_platform_up => {
                match self.stored.clone() {
                    Some((revision, stored)) => ChangeEvent::Read { revision, stored },
                    None => ChangeEvent::Missing,
                }
            }
            (ChangeAction::Read, _) => ChangeEvent::ReadFailed,
            (ChangeAction::Write { if_revision, stored }, CallOutcome::EffectDelayed) => {
                self.delayed.push((if_revision, stored));
                ChangeEvent::AnswerLost
            }
            (_, CallOutcome::Unavailable) => ChangeEvent::Unavailable,
            _ if !is_platform_up => ChangeEvent::Unavailable,
            (ChangeAction::Write { if_revision, stored }, outcome) => {
                let is_written = self.write(if_revision, stored);
                match (outcome, is_written) {
                    (CallOutcome::AnswerLostAfterEffect, _) => ChangeEvent::AnswerLost,
                    (_, true) => ChangeEvent::Written,
                    (_, false) => ChangeEvent::Conflict,
                }
            }
        };
        let version = self.version();
        let is_read = matches!(event, ChangeEvent::Read { .. } | ChangeEvent::Missing);
        let operator = &mut self.operators[index];
        if is_read {
            operator.base_version.get_or_insert(version);
        }
        operator.calls += 1;
        operator.action = operator.flow.handle(event);
        self.check_result(index);
    }

    /// Runs all flows to their results without further failures.
    pub(crate) fn finish(&mut self) {
        let is_finished = |it: &Operator<T>| matches!(it.action, ChangeAction::Finished(_));
        while !self.operators.iter().all(is_finished) {
            self.call(0, CallOutcome::Answered, true);
        }
    }

    /// Compares a reported result with the changes that took effect.
    fn check_result(&mut self, index: usize) {
        let operator = &self.operators[index];
        let ChangeAction::Finished(result) = operator.action else {
            return;
        };
        let change_id = operator.flow.change_id();
        let own = self.log.iter().find(|it| it.change_id == change_id);
        match result {
            ChangeResult::Accepted { version } => {
                let own = own.expect("an accepted change has to be in the log");
                assert_eq!(own.version, version);
                if self.checks_base_version {
                    assert_eq!(
                        operator.base_version,
                        Some(version - 1),
                        "a promotion overwrote a version that its operator had not read"
                    );
                }
            }
            ChangeResult::Undecided => assert!(operator.calls > MIN_CALLS_BEFORE_UNDECIDED),
            ChangeResult::Conflict { current_version, digest } => {
                let known = (self.version(), self.log.last().map(|it| it.digest));
                assert_eq!(
                    known,
                    (current_version, Some(digest)),
                    "the reported conflict is not the version in force"
                );
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
