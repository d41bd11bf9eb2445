//! Simulated upstreams, instance lists and requests to agents of one test case.

use std::sync::Arc;

use yuccatrail_core::{
    control::{OperationsChange, OperationsRecord},
    ids::Incarnation,
    membership::{
        AgentReport, Directory, InstanceList, InstanceRecord, InstanceRole, InstanceState,
        Sabotage, UpstreamKey,
    },
};

use crate::harness::sabotage;

pub(crate) const UPSTREAMS: usize = 3;
const POOL: &str = "models";

pub(crate) struct FleetSimulation {
    now_ms: u64,
    directory: Directory,
    operations: OperationsRecord,
    pub(crate) upstreams: Vec<Upstream>,
    lists: Vec<InstanceList>,
    newest_list: InstanceList,
    requests: Vec<Request>,
    /// Reports that were not delivered yet; `sent_ms` of the request is the time of the report.
    reports: Vec<(Request, AgentReport)>,
    /// Latest delivered report and contact failure of each upstream.
    deliveries: Vec<Delivery>,
    calls: Vec<UpstreamKey>,
    next_incarnation: u64,
}

/// Actual state of an upstream and its agent process.
pub(crate) struct Upstream {
    incarnation: u64,
    started_ms: u64,
    port: u16,
    pub(crate) is_draining: bool,
    pub(crate) is_up: bool,
    pub(crate) state: InstanceState,
}

/// Request to an agent process.
#[derive(Clone, Copy)]
struct Request {
    upstream: usize,
    key: UpstreamKey,
    incarnation: u64,
    sent_ms: u64,
}

#[derive(Clone, Default)]
struct Delivery {
    /// The latest of the delivered reports, with the time at which it was made.
    report: Option<(u64, UpstreamKey, AgentReport)>,
    /// Time of the last failure.
    failed_ms: Option<u64>,
    /// Time at which the latest answered request was sent.
    answered_sent_ms: Option<u64>,
}

fn name(index: usize) -> String {
    format!("engine-{index}")
}

impl FleetSimulation {
    pub(crate) fn start(disabled: Option<Sabotage>) -> Self {
        let mut directory = Directory::new();
        sabotage!(directory, disabled);
        let newest_list = InstanceList { version: 0, instances: vec![] };
        let mut simulation = Self {
            now_ms: 0,
            directory,
            operations: OperationsRecord::initial(),
            upstreams: vec![],
            lists: vec![],
            newest_list,
            requests: vec![],
            reports: vec![],
            deliveries: vec![Delivery::default(); UPSTREAMS],
            calls: vec![],
            next_incarnation: 0,
        };
        for index in 0..UPSTREAMS {
            let port = 1_000 * index as u16;
            let upstream = simulation.launch(port);
            simulation.upstreams.push(upstream);
        }
        simulation.publish_list(true);
        simulation
    }

    fn launch(&mut self, port: u16) -> Upstream {
        self.next_incarnation += 1;
        Upstream {
            // Incarnations are random, so a later one need not be higher.
            incarnation: self.next_incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            started_ms: self.now_ms,
            port,
            is_draining: false,
            is_up: true,
            state: InstanceState::Live,
        }
    }

    pub(crate) fn restart(&mut self, index: usize, is_moved: bool) {
        let port = self.upstreams[index].port + u16::from(is_moved);
        self.upstreams[index] = self.launch(port);
    }

    pub(crate) fn change_operations(&mut self, kind: u8, index: usize) {
        let change = match kind {
            0 => OperationsChange::DataCentreOut(format!("centre-{index}")),
            1 => OperationsChange::DataCentreIn(format!("centre-{index}")),
            2 => OperationsChange::UpstreamLeave(name(index)),
            _ => OperationsChange::UpstreamReturn(name(index)),
        };
        if let Some(next) = self.operations.with_change(&change) {
            self.operations = next;
            self.directory.set_operations(&Arc::new(self.operations.clone()));
        }
    }

    /// Publishes a new version of the instance list and, if `is_delivered`, delivers it at once.
    pub(crate) fn publish_list(&mut self, is_delivered: bool) {
        self.push_list_version();
        if is_delivered {
            self.deliver_list(0);
        }
    }

    /// Creates a new version of the instance list from the upstreams that are up.
    fn push_list_version(&mut self) {
        let mut instances = vec![];
        for (index, upstream) in self.upstreams.iter().enumerate() {
            if !upstream.is_up {
                continue;
            }
            instances.push(InstanceRecord {
                name: name(index),
                role: InstanceRole::Upstream,
                pool: Some(POOL.to_owned()),
                data_centre: format!("centre-{index}"),
                address: ([127, 0, 0, 1], upstream.port).into(),
                state: upstream.state,
            });
        }
        self.lists.push(InstanceList { version: self.lists.len() as u64 + 1, instances });
    }

    /// Delivers the instance list that is `age` versions older than the latest.
    pub(crate) fn deliver_list(&mut self, age: usize) {
        let index = self.lists.len().saturating_sub(age + 1);
        let list = self.lists[index].clone();
        self.directory.apply_list(list.clone());
        if list.version >= self.newest_list.version {
            self.newest_list = list;
        }
    }

    /// Sends a request to the agent of an upstream; fails if no process listens at its address.
    pub(crate) fn send_request(&mut self, upstream: usize) {
        self.now_ms += 1;
        let Some(key) = self.directory.key(&name(upstream)) else {
            return;
        };
        let target = &self.upstreams[upstream];
        let listed = self.directory.upstream(key).expect("a listed upstream");
        if !target.is_up || listed.address().port() != target.port {
            self.fail(upstream, key);
            return;
        }
        let (incarnation, sent_ms) = (target.incarnation, self.now_ms);
        self.requests.push(Request { upstream, key, incarnation, sent_ms });
    }

    /// Lets the agent process respond to a request; the request fails if the process has ended.
    pub(crate) fn respond(&mut self, index: usize) {
        if self.requests.is_empty() {
            return;
        }
        self.now_ms += 1;
        let request = self.requests.remove(index % self.requests.len());
        let target = &self.upstreams[request.upstream];
        if !target.is_up || target.incarnation != request.incarnation {
            self.fail(request.upstream, request.key);
            return;
        }
        let report = AgentReport {
            sent_ms: request.sent_ms,
            incarnation: Incarnation(target.incarnation),
            agent_now_ms: self.now_ms - target.started_ms,
            is_draining: target.is_draining,
        };
        self.reports.push((Request { sent_ms: self.now_ms, ..request }, report));
    }

    pub(crate) fn deliver_report(&mut self, index: usize) {
        if self.reports.is_empty() {
            return;
        }
        let (made, report) = self.reports.remove(index % self.reports.len());
        let delivery = &mut self.deliveries[made.upstream];
        let is_newest = delivery.report.is_none_or(|it| it.0 <= made.sent_ms);
        // Reports of a process at a former address don't apply to the current one.
        if self.directory.key(&name(made.upstream)) == Some(made.key) && is_newest {
            delivery.report = Some((made.sent_ms, made.key, report));
        }
        delivery.answered_sent_ms = delivery.answered_sent_ms.max(Some(report.sent_ms));
        self.directory.contact_succeeded(made.key, report);
    }

    fn fail(&mut self, upstream: usize, key: UpstreamKey) {
        if self.directory.key(&name(upstream)) == Some(key) {
            self.deliveries[upstream].failed_ms = Some(self.now_ms);
        }
        self.directory.contact_failed(key, self.now_ms);
    }

    pub(crate) fn begin_work(&mut self, index: usize) {
        let candidates = self.directory.candidates(POOL);
        if let Some(key) = candidates.get(index) {
            self.directory.begin_work(*key);
            self.calls.push(*key);
        }
    }

    pub(crate) fn end_work(&mut self, index: usize) {
        if !self.calls.is_empty() {
            let key = self.calls.remove(index % self.calls.len());
            self.directory.end_work(key);
        }
    }

    /// Checks that all delivered information allows new work for each candidate.
    pub(crate) fn check_candidates(&self) {
        for key in &self.calls {
            let upstream = self
                .directory
                .upstream(*key)
                .expect("an upstream with calls stays in the directory");
            let expected = self.calls.iter().filter(|it| *it == key).count();
            assert_eq!(upstream.in_progress() as usize, expected);
        }
        for key in self.directory.candidates(POOL) {
            let upstream = self.directory.upstream(key).expect("a candidate is in the directory");
            let records = &self.newest_list.instances;
            let record = records.iter().find(|it| it.name == upstream.name());
            let record = record.expect("a candidate is in the newest list");
            assert_eq!(record.state, InstanceState::Live, "a leaving upstream is a candidate");
            assert_eq!(record.address, upstream.address(), "a candidate has an outdated address");
            let is_out = self.operations.is_data_centre_out(upstream.data_centre());
            let is_leaving = self.operations.is_upstream_leaving(upstream.name());
            assert!(
                !is_out && !is_leaving,
                "a candidate is taken out of service by the operational state"
            );
            let index = (0..UPSTREAMS).find(|it| name(*it) == upstream.name());
            let delivery = &self.deliveries[index.expect("the name of a simulated upstream")];
            let (_, reporting, report) = delivery.report.expect("a candidate has reported");
            assert_eq!(reporting, key, "the report of a candidate is from a former process");
            assert!(!report.is_draining, "a draining upstream is a candidate");
            assert_eq!(upstream.incarnation(), Some(report.incarnation));
            assert!(
                delivery.answered_sent_ms >= delivery.failed_ms,
                "an unreachable upstream is a candidate"
            );
        }
    }

    /// Ends all faults and checks that exactly the upstreams in service are candidates.
    pub(crate) fn recover(mut self) {
        self.publish_list(true);
        while !self.requests.is_empty() {
            self.respond(0);
        }
        while !self.reports.is_empty() {
            self.deliver_report(0);
        }
        let mut expected = vec![];
        for index in 0..UPSTREAMS {
            self.send_request(index);
            self.respond(0);
            self.deliver_report(0);
            let upstream = &self.upstreams[index];
            let is_live = upstream.is_up && upstream.state == InstanceState::Live;
            let is_out = self.operations.is_data_centre_out(&format!("centre-{index}"));
            let is_leaving = self.operations.is_upstream_leaving(&name(index));
            if is_live && !upstream.is_draining && !is_out && !is_leaving {
                expected.push(name(index));
            }
        }
        let mut found = vec![];
        for key in self.directory.candidates(POOL) {
            found.push(
                self.directory.upstream(key).expect("a candidate is in the directory").name(),
            );
        }
        found.sort_unstable();
        assert_eq!(found, expected, "the candidates are not the upstreams in service");
        self.check_candidates();
        while !self.calls.is_empty() {
            self.end_work(0);
        }
        let listed = self.newest_list.instances.len();
        assert_eq!(
            self.directory.upstreams().count(),
            listed,
            "the directory holds unlisted upstreams without calls"
        );
    }
}
