//! Validation of a document's values and of the references between them.

use toml::de::DeTable;

use super::{
    Document, Fault, FaultKind, Pipeline, Pool, PoolKind, Service, Stage,
    locate::{PathSegment, format_path, line_at, offset_of},
};
use crate::FastMap;

/// Maximum number of stages in a pipeline; a stage index has to fit into a byte.
const MAX_STAGES: usize = 255;

/// Returns the expected run time of one stage on a warm upstream, in milliseconds, or `None` if it
/// overflows.
pub fn stage_estimate_ms(pool: &Pool, stage: &Stage) -> Option<u64> {
    let tokens = u64::from(stage.max_tokens.unwrap_or(0));
    let tokens_ms = tokens.checked_mul(pool.token_estimate_ms)?;
    pool.estimate_ms.checked_add(tokens_ms)
}

/// Returns all invalid values of a document, sorted by line.
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

/// Validates one document and collects its faults.
struct Checker<'a> {
    text: &'a str,
    table: &'a DeTable<'a>,
    document: &'a Document,
    faults: Vec<Fault>,
}

impl<'a> Checker<'a> {
    fn report(&mut self, path: &[PathSegment<'_>], kind: FaultKind) {
        let line = line_at(self.text, offset_of(self.table, path));
        self.faults.push(Fault { path: format_path(path), line, kind });
    }

    fn check_limits(&mut self) {
        let limits = &self.document.limits;
        let at = |key| [PathSegment::Key("limits"), PathSegment::Key(key)];
        self.check_positive(&at("max_body_bytes"), limits.max_body_bytes as u64);
        self.check_positive(&at("request_read_timeout_ms"), limits.request_read_timeout_ms);
        self.check_positive(&at("quarantine_strikes"), limits.quarantine_strikes.into());
    }

    fn check_pools(&mut self) {
        let document = self.document;
        self.check_names("pool", document.pools.iter().map(|it| it.name.as_str()));
        for (index, pool) in document.pools.iter().enumerate() {
            let at =
                |key| [PathSegment::Key("pool"), PathSegment::Index(index), PathSegment::Key(key)];
            self.check_positive(&at("concurrency"), pool.concurrency.into());
            self.check_positive(&at("cold_concurrency"), pool.cold_concurrency.into());
            // A warm limit of zero is reported separately.
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
        let at =
            |key| [PathSegment::Key("pipeline"), PathSegment::Index(index), PathSegment::Key(key)];
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

    /// Validates one stage and returns its pool, if the stage can run in it.
    fn check_stage(&mut self, pipeline: usize, number: usize, stage: &Stage) -> Option<&'a Pool> {
        let document = self.document;
        let at = |key| {
            [
                PathSegment::Key("pipeline"),
                PathSegment::Index(pipeline),
                PathSegment::Key("stage"),
                PathSegment::Index(number),
                PathSegment::Key(key),
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
        let at =
            |key| [PathSegment::Key("service"), PathSegment::Index(index), PathSegment::Key(key)];
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

    fn check_rules(&mut self, index: usize, service: &Service) {
        for (number, rule) in service.idempotent.iter().enumerate() {
            let at = |key| {
                [
                    PathSegment::Key("service"),
                    PathSegment::Index(index),
                    PathSegment::Key("idempotent"),
                    PathSegment::Index(number),
                    PathSegment::Key(key),
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
            let path = [
                PathSegment::Key("customer"),
                PathSegment::Index(index),
                PathSegment::Key("share"),
            ];
            self.check_positive(&path, customer.share.into());
        }
    }

    fn check_positive(&mut self, path: &[PathSegment<'_>], value: u64) {
        if value == 0 {
            self.report(path, FaultKind::Zero);
        }
    }

    /// Checks that a deadline covers the estimated time, which is `None` if it overflowed.
    fn check_deadline(
        &mut self,
        path: &[PathSegment<'_>],
        deadline_ms: u64,
        estimate_ms: Option<u64>,
    ) {
        let Some(estimate_ms) = estimate_ms else {
            self.report(path, FaultKind::EstimateOverflow);
            return;
        };
        // A deadline of zero is reported separately.
        if deadline_ms > 0 && estimate_ms > deadline_ms {
            self.report(path, FaultKind::DeadlineTooShort { estimate_ms });
        }
    }

    /// Checks that the names of all elements of one kind are well formed and unique.
    fn check_names(&mut self, kind: &'static str, names: impl Iterator<Item = &'a str>) {
        let mut first_uses = FastMap::default();
        for (index, name) in names.enumerate() {
            let path =
                [PathSegment::Key(kind), PathSegment::Index(index), PathSegment::Key("name")];
            if !is_well_formed(name) {
                self.report(&path, FaultKind::BadName(name.to_owned()));
                continue;
            }
            let Some(first) = first_uses.insert(name, index) else {
                continue;
            };
            first_uses.insert(name, first);
            let first = format_path(&[PathSegment::Key(kind), PathSegment::Index(first)]);
            self.report(&path, FaultKind::DuplicateName { name: name.to_owned(), first });
        }
    }
}

/// Tells whether a name can be used in a request path and in a header.
fn is_well_formed(name: &str) -> bool {
    let is_allowed = |it: u8| it.is_ascii_alphanumeric() || b"-_.".contains(&it);
    !name.is_empty() && name.bytes().all(is_allowed)
}
