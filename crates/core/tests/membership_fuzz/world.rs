//! Upstreams, lists and questions of one case.

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

pub(crate) struct FleetWorld {
    now_ms: u64,
    directory: Directory,
    operations: OperationsRecord,
    pub(crate) upstreams: Vec<Upstream>,
    lists: Vec<InstanceList>,
    newest_list: InstanceList,
    questions: Vec<Question>,
    answers: Vec<(Question, AgentReport)>,
    /// What was delivered about each upstream and each process of it.
    known: Vec<Known>,
    working: Vec<UpstreamKey>,
    next_incarnation: u64,
}

/// The process beside an upstream as it really is.
pub(crate) struct Upstream {
    incarnation: u64,
    started_ms: u64,
    port: u16,
    pub(crate) is_draining: bool,
    pub(crate) is_up: bool,
    pub(crate) state: InstanceState,
}

#[derive(Clone, Copy)]
struct Question {
    upstream: usize,
    key: UpstreamKey,
    incarnation: u64,
    sent_ms: u64,
}

#[derive(Clone, Default)]
struct Known {
    /// The answer that was given last, among those delivered, with the time at which it was given.
    answer: Option<(u64, UpstreamKey, AgentReport)>,
    /// Time of the last failure, and of the last question that was answered.
    failed_ms: Option<u64>,
    answered_sent_ms: Option<u64>,
}

fn name(index: usize) -> String {
    format!("engine-{index}")
}

impl FleetWorld {
    pub(crate) fn start(off: Option<Sabotage>) -> Self {
        let mut directory = Directory::new();
        sabotage!(directory, off);
        let newest_list = InstanceList { version: 0, instances: vec![] };
        let mut world = Self {
            now_ms: 0,
            directory,
            operations: OperationsRecord::initial(),
            upstreams: vec![],
            lists: vec![],
            newest_list,
            questions: vec![],
            answers: vec![],
            known: vec![Known::default(); UPSTREAMS],
            working: vec![],
            next_incarnation: 0,
        };
        for index in 0..UPSTREAMS {
            let port = 1_000 * index as u16;
            let upstream = world.launch(port);
            world.upstreams.push(upstream);
        }
        world.publish_and(true);
        world
    }

    fn launch(&mut self, port: u16) -> Upstream {
        self.next_incarnation += 1;
        Upstream {
            // Incarnations are random, so they do not rise.
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

    pub(crate) fn operate(&mut self, kind: u8, index: usize) {
        let change = match kind {
            0 => OperationsChange::DataCentreOut(format!("centre-{index}")),
            1 => OperationsChange::DataCentreIn(format!("centre-{index}")),
            2 => OperationsChange::UpstreamLeave(name(index)),
            _ => OperationsChange::UpstreamReturn(name(index)),
        };
        if let Some(next) = self.operations.with(&change) {
            self.operations = next;
            self.directory.set_operations(&Arc::new(self.operations.clone()));
        }
    }

    /// Publishes a new version of the list and may deliver it at once.
    pub(crate) fn publish_and(&mut self, is_delivered: bool) {
        self.publish();
        if is_delivered {
            self.deliver_list(0);
        }
    }

    /// Makes a new version of the list from the upstreams that are up.
    fn publish(&mut self) {
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

    /// Delivers one of the last versions of the list.
    pub(crate) fn deliver_list(&mut self, back: usize) {
        let index = self.lists.len().saturating_sub(back + 1);
        let list = self.lists[index].clone();
        self.directory.apply_list(list.clone());
        if list.version >= self.newest_list.version {
            self.newest_list = list;
        }
    }

    pub(crate) fn ask(&mut self, upstream: usize) {
        self.now_ms += 1;
        let Some(key) = self.directory.key(&name(upstream)) else {
            return;
        };
        let asked = &self.upstreams[upstream];
        let listed = self.directory.upstream(key).expect("a listed upstream");
        if !asked.is_up || listed.address().port() != asked.port {
            self.fail(upstream, key);
            return;
        }
        let (incarnation, sent_ms) = (asked.incarnation, self.now_ms);
        self.questions.push(Question { upstream, key, incarnation, sent_ms });
    }

    /// Lets the process that was asked answer or, if it is gone, lets the question fail.
    pub(crate) fn answer(&mut self, index: usize) {
        if self.questions.is_empty() {
            return;
        }
        self.now_ms += 1;
        let question = self.questions.remove(index % self.questions.len());
        let asked = &self.upstreams[question.upstream];
        if !asked.is_up || asked.incarnation != question.incarnation {
            self.fail(question.upstream, question.key);
            return;
        }
        let report = AgentReport {
            sent_ms: question.sent_ms,
            incarnation: Incarnation(asked.incarnation),
            agent_now_ms: self.now_ms - asked.started_ms,
            is_draining: asked.is_draining,
        };
        self.answers.push((Question { sent_ms: self.now_ms, ..question }, report));
    }

    pub(crate) fn deliver_answer(&mut self, index: usize) {
        if self.answers.is_empty() {
            return;
        }
        let (given, report) = self.answers.remove(index % self.answers.len());
        let known = &mut self.known[given.upstream];
        let is_newest = known.answer.is_none_or(|it| it.0 <= given.sent_ms);
        // Answers of a process at a former address tell nothing about the present one.
        if self.directory.key(&name(given.upstream)) == Some(given.key) && is_newest {
            known.answer = Some((given.sent_ms, given.key, report));
        }
        known.answered_sent_ms = known.answered_sent_ms.max(Some(report.sent_ms));
        self.directory.contact_succeeded(given.key, report);
    }

    fn fail(&mut self, upstream: usize, key: UpstreamKey) {
        if self.directory.key(&name(upstream)) == Some(key) {
            self.known[upstream].failed_ms = Some(self.now_ms);
        }
        self.directory.contact_failed(key, self.now_ms);
    }

    pub(crate) fn begin_work(&mut self, index: usize) {
        let candidates = self.directory.candidates(POOL);
        if let Some(key) = candidates.get(index) {
            self.directory.begin_work(*key);
            self.working.push(*key);
        }
    }

    pub(crate) fn end_work(&mut self, index: usize) {
        if !self.working.is_empty() {
            let key = self.working.remove(index % self.working.len());
            self.directory.end_work(key);
        }
    }

    /// Checks that everything known speaks for each candidate.
    pub(crate) fn check_candidates(&self) {
        for key in &self.working {
            let upstream = self.directory.upstream(*key).expect("work keeps its upstream");
            let expected = self.working.iter().filter(|it| *it == key).count();
            assert_eq!(upstream.in_progress() as usize, expected);
        }
        for key in self.directory.candidates(POOL) {
            let upstream = self.directory.upstream(key).expect("a candidate is known");
            let records = &self.newest_list.instances;
            let record = records.iter().find(|it| it.name == upstream.name());
            let record = record.expect("a candidate is in the newest list");
            assert_eq!(record.state, InstanceState::Live, "a leaving upstream gets work");
            assert_eq!(record.address, upstream.address(), "a former process gets work");
            let is_out = self.operations.is_data_centre_out(upstream.data_centre());
            let is_leaving = self.operations.is_upstream_leaving(upstream.name());
            assert!(!is_out && !is_leaving, "an upstream gets work against the operators");
            let index = (0..UPSTREAMS).find(|it| name(*it) == upstream.name());
            let known = &self.known[index.expect("a known name")];
            let (_, answering, report) = known.answer.expect("a candidate has answered");
            assert_eq!(answering, key, "a process gets work on the word of a former one");
            assert!(!report.is_draining, "a draining upstream gets work");
            assert_eq!(upstream.incarnation(), Some(report.incarnation));
            assert!(known.answered_sent_ms >= known.failed_ms, "an unreachable upstream gets work");
        }
    }

    /// Heals everything and checks that exactly the upstreams in service are candidates.
    pub(crate) fn heal(mut self) {
        self.publish_and(true);
        while !self.questions.is_empty() {
            self.answer(0);
        }
        while !self.answers.is_empty() {
            self.deliver_answer(0);
        }
        let mut expected = vec![];
        for index in 0..UPSTREAMS {
            self.ask(index);
            self.answer(0);
            self.deliver_answer(0);
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
            found.push(self.directory.upstream(key).expect("a candidate is known").name());
        }
        found.sort_unstable();
        assert_eq!(found, expected, "the candidates are those in service");
        self.check_candidates();
        while !self.working.is_empty() {
            self.end_work(0);
        }
        let listed = self.newest_list.instances.len();
        assert_eq!(self.directory.upstreams().count(), listed, "only listed upstreams remain");
    }
}
