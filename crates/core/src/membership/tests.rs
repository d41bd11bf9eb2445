//! Tests of the directory, the subsetting of upstreams and the selection of gossip peers.

use std::sync::Arc;

use super::*;
use crate::{
    control::{OperationsChange, OperationsRecord},
    ids::Incarnation,
    outcome::Reason,
};

fn record(name: &str, state: InstanceState) -> InstanceRecord {
    InstanceRecord {
        name: name.to_owned(),
        role: InstanceRole::Upstream,
        pool: Some("models".to_owned()),
        data_centre: "east".to_owned(),
        address: "127.0.0.1:7000".parse().unwrap(),
        state,
    }
}

fn list(version: u64, instances: Vec<InstanceRecord>) -> InstanceList {
    InstanceList { version, instances }
}

fn report(sent_ms: u64, incarnation: u64, agent_now_ms: u64, is_draining: bool) -> AgentReport {
    AgentReport { sent_ms, incarnation: Incarnation(incarnation), agent_now_ms, is_draining }
}

/// Creates a directory with one upstream that reported at 10 ms.
fn directory() -> (Directory, UpstreamKey) {
    let mut directory = Directory::new();
    directory.apply_list(list(1, vec![record("engine-1", InstanceState::Live)]));
    let key = directory.key("engine-1").unwrap();
    assert_eq!(directory.check(key), Err(Reason::NoUpstream));
    directory.contact_succeeded(key, report(10, 1, 10, false));
    assert_eq!(directory.candidates("models"), [key]);
    (directory, key)
}

#[test]
fn later_list_does_not_override_a_draining_report() {
    let (mut directory, key) = directory();
    directory.contact_succeeded(key, report(20, 1, 20, true));
    directory.apply_list(list(2, vec![record("engine-1", InstanceState::Live)]));
    assert_eq!(directory.check(key), Err(Reason::Leaving));
    directory.contact_succeeded(key, report(30, 1, 30, false));
    assert_eq!(directory.check(key), Ok(()));
}

#[test]
fn older_list_is_ignored() {
    let (mut directory, key) = directory();
    directory.apply_list(list(3, vec![record("engine-1", InstanceState::Leaving)]));
    assert!(!directory.apply_list(list(2, vec![record("engine-1", InstanceState::Live)])));
    assert_eq!(directory.check(key), Err(Reason::Leaving));
}

#[test]
fn unlisted_upstream_keeps_its_calls_and_gets_no_new_ones() {
    let (mut directory, key) = directory();
    directory.begin_work(key);
    directory.apply_list(list(2, vec![]));
    assert!(directory.candidates("models").is_empty());
    assert_eq!(directory.upstream(key).map(Upstream::in_progress), Some(1));
    directory.end_work(key);
    assert!(directory.upstream(key).is_none());
}

#[test]
fn unreachable_upstream_gets_no_work_until_it_answers_a_later_request() {
    let (mut directory, key) = directory();
    directory.contact_failed(key, 50);
    directory.contact_succeeded(key, report(49, 1, 60, false));
    assert_eq!(directory.check(key), Err(Reason::AgentLost));
    directory.contact_succeeded(key, report(51, 1, 61, false));
    assert_eq!(directory.check(key), Ok(()));
}

#[test]
fn reports_of_an_agent_are_ordered_by_its_clock_within_an_incarnation() {
    let (mut directory, key) = directory();
    directory.contact_succeeded(key, report(30, 1, 90, true));
    directory.contact_succeeded(key, report(40, 1, 45, false));
    assert_eq!(directory.check(key), Err(Reason::Leaving));
    assert_eq!(directory.contact_succeeded(key, report(50, 2, 1, false)), Some(Incarnation(1)),);
    assert_eq!(directory.contact_succeeded(key, report(45, 1, 99, true)), None);
    assert_eq!(directory.check(key), Ok(()));
}

#[test]
fn upstreams_of_a_data_centre_that_is_out_get_no_work() {
    let (mut directory, key) = directory();
    let out = OperationsChange::DataCentreOut("east".to_owned());
    let operations = OperationsRecord::initial().with_change(&out).unwrap();
    directory.set_operations(&Arc::new(operations));
    assert_eq!(directory.check(key), Err(Reason::DataCentreOut));
    directory.apply_list(list(2, vec![record("engine-2", InstanceState::Live)]));
    let new_key = directory.key("engine-2").unwrap();
    assert_eq!(directory.check(new_key), Err(Reason::DataCentreOut));
}

#[test]
fn small_pool_is_assigned_completely() {
    let sizes = SubsetSizes { upstreams_per_entry: 8, entries_per_upstream: 2 };
    assert_eq!(subset(&["a", "b"], &["x", "y", "z"], "a", sizes), [0, 1, 2]);
}

#[test]
fn gossip_selects_local_and_remote_peers() {
    let data_centres = ["east", "east", "west", "west"];
    let peers = gossip_peers(&data_centres, "east", 2, &[7, 8]);
    assert_eq!(peers, [1, 2]);
    assert_eq!(gossip_peers(&data_centres, "north", 9, &[0; 9]).len(), 4);
    assert!(gossip_peers(&[], "east", 2, &[1, 2]).is_empty());
}
