//! Checks of a document's values against each other.

use toml::de::DeTable;

use super::{
    Document, Fault, FaultKind, Pipeline, Pool, PoolKind, Service, Stage,
    locate::{Step, line_at, offset_of, path_text},
};
use crate::FastMap;

/// Largest number of stages, which the stage index of an attempt can tell apart.
const MAX_STAGES: usize = 255;

/// Computes the expected time of one stage on a warm upstream, in milliseconds.
///
/// Returns none if the time exceeds the range of the numbers.
pub fn stage_estimate_ms(pool: &Pool, stage: &Stage) -> Option<u64> {
    let tokens = u64::from(stage.max_tokens.unwrap_or(0));
    let tokens_ms = tokens.checked_mul(pool.token_estimate_ms)?;
    pool.estimate_ms.checked_add(tokens_ms)
}

/// Finds everything that is wrong with the values of a document.
pub(super) fn check(text: &str, table: &DeTable<'_>, document: &Document) -> Vec<Fault> {
    let mut checker = Checker { text, table, document, faults: Vec::new() };
    checker.check_limits();
    checker.check_pools();
    checker.check_pipelines();
    checker.check_services();
    checker.check_customers();
    checker.faults.sort_by_key(|it| it.line);
    checker.faults
}

/// Collects the faults of one document.
struct Checker<'a> {
    text: &'a str,
    table: &'a DeTable<'a>,
    document: &'a Document,
    faults: Vec<Fault>,
}

impl<'a> Checker<'a> {
    fn report(&mut self, steps: &[Step<'_>], kind: FaultKind) {
        let line = line_at(self.text, offset_of(self.table, steps));
        self.faults.push(Fault { path: path_text(steps), line, kind });
    }

    fn check_limits(&mut self) {
        let limits = &self.document.limits;
        let at = |key| [Step::Key("limits"), Step::Key(key)];
        self.check_positive(&at("max_body_bytes"), limits.max_body_bytes as u64);
        self.check_positive(&at("request_read_timeout_ms"), limits.request_read_timeout_ms);
        self.check_positive(&at("quarantine_strikes"), limits.quarantine_strikes.into());
    }

    fn check_pools(&mut self) {
        let document = self.document;
        self.check_names("pool", document.pools.iter().map(|it| it.name.as_str()));
        for (index, pool) in document.pools.iter().enumerate() {
            let at = |key| [Step::Key("pool"), Step::Index(index), Step::Key(key)];
            self.check_positive(&at("concurrency"), pool.concurrency.into());
            self.check_positive(&at("cold_concurrency"), pool.cold_concurrency.into());
            // A warm limit of zero is a fault of its own.
            if pool.concurrency > 0 && pool.cold_concurrency > pool.concurrency {
                let concurrency = pool.concurrency;
                self.report(&at("cold_concurrency"), FaultKind::ColdAboveWarm { concurrency });
            }
        }
    }

    fn check_pipelines(&mut self) {
        let document = self.document;
        self.check_names("pipeline", document.pipelines.iter().map(|it| it.name.as_str()));
        for (index, pipeline) in document.pipelines.iter().enumerate() {
            self.check_pipeline(index, pipeline);
        }
    }

    fn check_pipeline(&mut self, index: usize, pipeline: &Pipeline) {
        let at = |key| [Step::Key("pipeline"), Step::Index(index), Step::Key(key)];
        self.check_positive(&at("deadline_ms"), pipeline.deadline_ms);
        let count = pipeline.stages.len();
        if count == 0 {
            self.report(&at("stage"), FaultKind::NoStage);
        }
        if count > MAX_STAGES {
            self.report(&at("stage"), FaultKind::TooManyStages { count, limit: MAX_STAGES });
        }
        let mut estimate_ms = Some(0_u64);
        for (number, stage) in pipeline.stages.iter().enumerate() {
            let Some(pool) = self.check_stage(index, number, stage) else {
                continue;
            };
            let stage_ms = stage_estimate_ms(pool, stage);
            estimate_ms = estimate_ms.zip(stage_ms).and_then(|(sum, it)| sum.checked_add(it));
        }
        self.check_deadline(&at("deadline_ms"), pipeline.deadline_ms, estimate_ms);
    }

    /// Checks one stage and returns its pool, if the stage can run there.
    fn check_stage(&mut self, pipeline: usize, number: usize, stage: &Stage) -> Option<&'a Pool> {
        let document = self.document;
        let at = |key| {
            [
                Step::Key("pipeline"),
                Step::Index(pipeline),
                Step::Key("stage"),
                Step::Index(number),
                Step::Key(key),
            ]
        };
        if let Some(top_k) = stage.top_k {
            self.check_positive(&at("top_k"), top_k.into());
        }
        if let Some(max_tokens) = stage.max_tokens {
            self.check_positive(&at("max_tokens"), max_tokens.into());
        }
        let Some(pool) = document.pool(&stage.pool) else {
            self.report(&at("pool"), FaultKind::UnknownPool(stage.pool.clone()));
            return None;
        };
        if pool.kind == PoolKind::Service {
            self.report(&at("pool"), FaultKind::ServicePool(stage.pool.clone()));
            return None;
        }
        Some(pool)
    }

    fn check_services(&mut self) {
        let document = self.document;
        self.check_names("service", document.services.iter().map(|it| it.name.as_str()));
        for (index, service) in document.services.iter().enumerate() {
            self.check_service(index, service);
            self.check_rules(index, service);
        }
    }

    fn check_service(&mut self, index: usize, service: &Service) {
        let at = |key| [Step::Key("service"), Step::Index(index), Step::Key(key)];
        self.check_positive(&at("deadline_ms"), service.deadline_ms);
        let Some(pool) = self.document.pool(&service.pool) else {
            self.report(&at("pool"), FaultKind::UnknownPool(service.pool.clone()));
            return;
        };
        if pool.kind != PoolKind::Service {
            self.report(&at("pool"), FaultKind::NotServicePool(service.pool.clone()));
            return;
        }
        self.check_deadline(&at("deadline_ms"), service.deadline_ms, Some(pool.estimate_ms));
    }

    fn check_rules(&mut self, service: usize, rules: &Service) {
        for (number, rule) in rules.idempotent.iter().enumerate() {
            let at = |key| {
                [
                    Step::Key("service"),
                    Step::Index(service),
                    Step::Key("idempotent"),
                    Step::Index(number),
                    Step::Key(key),
                ]
            };
            let is_upper_case = rule.method.bytes().all(|it| it.is_ascii_uppercase());
            if rule.method.is_empty() || !is_upper_case {
                self.report(&at("method"), FaultKind::BadMethod(rule.method.clone()));
            }
            if !rule.path.starts_with('/') {
                self.report(&at("path"), FaultKind::BadPath(rule.path.clone()));
            }
        }
    }

    fn check_customers(&mut self) {
        let document = self.document;
        self.check_names("customer", document.customers.iter().map(|it| it.name.as_str()));
        for (index, customer) in document.customers.iter().enumerate() {
            let steps = [Step::Key("customer"), Step::Index(index), Step::Key("share")];
            self.check_positive(&steps, customer.share.into());
        }
    }

    fn check_positive(&mut self, steps: &[Step<'_>], value: u64) {
        if value == 0 {
            self.report(steps, FaultKind::Zero);
        }
    }

    /// Compares a deadline with an estimate, which is none if it exceeds the range of the numbers.
    fn check_deadline(&mut self, steps: &[Step<'_>], deadline_ms: u64, estimate_ms: Option<u64>) {
        let Some(estimate_ms) = estimate_ms else {
            self.report(steps, FaultKind::EstimateOverflow);
            return;
        };
        // A deadline of zero is a fault of its own.
        if deadline_ms > 0 && estimate_ms > deadline_ms {
            self.report(steps, FaultKind::DeadlineTooShort { estimate_ms });
        }
    }

    /// Checks that the names of one kind of element are well formed and differ.
    fn check_names(&mut self, kind: &'static str, names: impl Iterator<Item = &'a str>) {
        let mut first_uses = FastMap::default();
        for (index, name) in names.enumerate() {
            let steps = [Step::Key(kind), Step::Index(index), Step::Key("name")];
            if !is_well_formed(name) {
                self.report(&steps, FaultKind::BadName(name.to_owned()));
                continue;
            }
            let Some(first) = first_uses.insert(name, index) else {
                continue;
            };
            first_uses.insert(name, first);
            let first = path_text(&[Step::Key(kind), Step::Index(first)]);
            self.report(&steps, FaultKind::DuplicateName { name: name.to_owned(), first });
        }
    }
}

/// Tells whether a name fits into a request path and a header.
fn is_well_formed(name: &str) -> bool {
    let is_allowed = |it: u8| it.is_ascii_alphanumeric() || b"-_.".contains(&it);
    !name.is_empty() && name.bytes().all(is_allowed)
}
