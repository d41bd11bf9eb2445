//! Tests of the control state and of operators' changes.

use std::sync::Arc;

use super::*;
use crate::{ids::Digest, outcome::Reason};

const TEXT: &str = "[[customer]]\nname = \"acme\"\n";

fn config(version: u64, text: &str) -> ConfigRecord {
    ConfigRecord { version, digest: Digest::of(text.as_bytes()), text: Arc::from(text) }
}

fn update(record: ConfigRecord) -> ControlUpdate {
    ControlUpdate { config: Some(record), operations: None }
}

fn change_id(number: u128) -> ChangeId {
    ChangeId(number)
}

#[test]
fn serves_only_with_configuration_and_operational_state() {
    let mut state = ControlState::new();
    assert_eq!(state.serving_document().unwrap_err(), Reason::NoConfiguration);
    state.adopt(update(config(1, TEXT)));
    assert_eq!(state.serving_document().unwrap_err(), Reason::NoConfiguration);
    let operations = Some(OperationsRecord::initial());
    state.adopt(ControlUpdate { config: None, operations });
    assert!(state.serving_document().is_ok());
}

#[test]
fn older_or_conflicting_records_are_not_adopted() {
    let mut state = ControlState::new();
    assert!(state.adopt(update(config(2, TEXT))).is_changed());
    let older = state.adopt(update(config(1, "")));
    assert_eq!(older.config, Adoption::Older { held_version: 2 });
    assert_eq!(state.adopt(update(config(2, TEXT))).config, Adoption::AlreadyHeld);
    let other = state.adopt(update(config(2, "")));
    assert!(matches!(other.config, Adoption::Conflict { version: 2, .. }));
    assert_eq!(state.config().map(|it| &*it.text), Some(TEXT));
}

#[test]
fn invalid_newer_document_leaves_the_one_in_force() {
    let mut state = ControlState::new();
    state.adopt(update(config(1, TEXT)));
    let mut broken = config(2, "");
    broken.text = Arc::from("changed in transit");
    assert_eq!(state.adopt(update(broken)).config, Adoption::DigestMismatch { version: 2 });
    let invalid = state.adopt(update(config(3, "colour = 1")));
    assert!(matches!(invalid.config, Adoption::Invalid { version: 3, .. }));
    assert_eq!(state.versions().config, 1);
}

#[test]
fn update_contains_only_parts_newer_than_the_peers() {
    let mut state = ControlState::new();
    state.adopt(update(config(3, TEXT)));
    assert!(state.update_for(Versions { config: 3, operations: 0 }).is_empty());
    assert_eq!(state.update_for(Versions::default()).config, Some(config(3, TEXT)));
}

#[test]
fn first_promotion_creates_the_object_as_version_one() {
    let mut flow = ChangeFlow::promote(Arc::from(TEXT), None, change_id(1)).unwrap();
    assert_eq!(flow.start(), ChangeAction::Read);
    let ChangeAction::Write { if_revision: None, stored } = flow.handle(ChangeEvent::Missing)
    else {
        panic!("a missing object has to be created");
    };
    assert_eq!(stored.record, config(1, TEXT));
    let result = flow.handle(ChangeEvent::Written);
    assert_eq!(result, ChangeAction::Finished(ChangeResult::Accepted { version: 1 }));
}

#[test]
fn write_with_a_lost_response_is_resolved_from_the_history() {
    let mut flow = ChangeFlow::promote(Arc::from(TEXT), None, change_id(1)).unwrap();
    flow.start();
    let ChangeAction::Write { stored, .. } = flow.handle(ChangeEvent::Missing) else {
        panic!("a missing object has to be created");
    };
    assert_eq!(flow.handle(ChangeEvent::AnswerLost), ChangeAction::Read);
    let record = config(2, "");
    let entry = HistoryEntry { version: 2, digest: record.digest, change_id: change_id(2) };
    let newer = Stored::successor(Some(&stored), record, entry);
    let result = flow.handle(ChangeEvent::Read { revision: 2, stored: newer });
    assert_eq!(result, ChangeAction::Finished(ChangeResult::Accepted { version: 1 }));
}

#[test]
fn ambiguous_write_is_sent_again_with_the_same_condition() {
    let mut flow = ChangeFlow::promote(Arc::from(TEXT), None, change_id(1)).unwrap();
    flow.start();
    let write = flow.handle(ChangeEvent::Missing);
    assert_eq!(flow.handle(ChangeEvent::AnswerLost), ChangeAction::Read);
    assert_eq!(flow.handle(ChangeEvent::Missing), write);
}

#[test]
fn promotion_that_loses_a_race_reports_the_version_in_force() {
    let mut flow = ChangeFlow::promote(Arc::from(TEXT), None, change_id(1)).unwrap();
    flow.start();
    flow.handle(ChangeEvent::Missing);
    assert_eq!(flow.handle(ChangeEvent::Conflict), ChangeAction::Read);
    let record = config(1, "");
    let digest = record.digest;
    let entry = HistoryEntry { version: 1, digest, change_id: change_id(2) };
    let stored = Stored::successor(None, record, entry);
    let result = flow.handle(ChangeEvent::Read { revision: 1, stored });
    let conflict = ChangeResult::Conflict { current_version: 1, digest };
    assert_eq!(result, ChangeAction::Finished(conflict));
}

#[test]
fn operations_change_that_loses_a_race_is_applied_to_the_newer_state() {
    let out = |name: &str| OperationsChange::DataCentreOut(name.to_owned());
    let mut flow = ChangeFlow::change_operations(out("east"), change_id(1));
    flow.start();
    flow.handle(ChangeEvent::Missing);
    flow.handle(ChangeEvent::Conflict);
    let record = OperationsRecord::initial().with_change(&out("west")).unwrap();
    let entry = HistoryEntry { version: 2, digest: record.digest(), change_id: change_id(2) };
    let stored = Stored::successor(None, record, entry);
    let action = flow.handle(ChangeEvent::Read { revision: 1, stored });
    let ChangeAction::Write { if_revision: Some(1), stored } = action else {
        panic!("the change has to be applied again");
    };
    assert_eq!(stored.record.data_centres_out, ["east", "west"]);
    assert_eq!(stored.record.version, 3);
}
