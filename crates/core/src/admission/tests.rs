use super::*;
use crate::deadline::DeclaredEstimate;

struct Entry {
    admission: Admission,
    estimates: StageEstimates,
    pool: PoolKey,
}

fn entry() -> Entry {
    let mut estimates = StageEstimates::new();
    let seed = DeclaredEstimate { estimate_ms: 100, token_estimate_ms: 0 };
    let pool = estimates.register_pool("rerank", seed);
    Entry { admission: Admission::new(), estimates, pool }
}

impl Entry {
    fn admit(&mut self, customer: CustomerKey, outstanding: u32) -> Result<Admitted, Refusal> {
        let load = PoolLoad { upstreams: 2, outstanding, own: outstanding, limit: 10 };
        let stage = StageWork { pool: self.pool, max_tokens: 0, load };
        self.admission.admit(0, &self.estimates, customer, 1_000, &[stage, stage])
    }
}

#[test]
fn request_to_an_idle_pool_is_admitted_with_a_plan() {
    let mut entry = entry();
    let customer = entry.admission.register_customer("a", 1);
    let admitted = entry.admit(customer, 0).unwrap();
    assert_eq!(admitted.plan.stages.len(), 2);
    assert_eq!(entry.admission.in_progress(), 1);
    entry.admission.finish(admitted.key);
    assert_eq!(entry.admission.in_progress(), 0);
}

#[test]
fn request_behind_too_long_a_backlog_is_refused_with_a_retry_delay_that_grows_with_it() {
    let mut entry = entry();
    let customer = entry.admission.register_customer("a", 1);
    let refusal = entry.admit(customer, 100).unwrap_err();
    assert_eq!(refusal.reason, Reason::DeadlineUnreachable);
    let longer = entry.admit(customer, 200).unwrap_err();
    assert!(longer.retry_after_ms > refusal.retry_after_ms);
}

#[test]
fn deadline_shorter_than_the_run_time_is_refused_even_by_an_idle_pool() {
    let mut entry = entry();
    let customer = entry.admission.register_customer("a", 1);
    let load = PoolLoad { upstreams: 1, outstanding: 0, own: 0, limit: 1 };
    let stage = StageWork { pool: entry.pool, max_tokens: 0, load };
    let refusal = entry.admission.admit(0, &entry.estimates, customer, 99, &[stage]).unwrap_err();
    assert_eq!(refusal.reason, Reason::DeadlineUnreachable);
}

#[test]
fn request_to_a_pool_without_upstreams_is_refused() {
    let mut entry = entry();
    let customer = entry.admission.register_customer("a", 1);
    let stage = StageWork { pool: entry.pool, max_tokens: 0, load: PoolLoad::default() };
    let refusal =
        entry.admission.admit(0, &entry.estimates, customer, 1_000, &[stage]).unwrap_err();
    assert_eq!(refusal.reason, Reason::NoUpstream);
}

#[test]
fn admitted_requests_count_as_backlog_until_their_stages_are_sent() {
    let mut entry = entry();
    let customer = entry.admission.register_customer("a", 1);
    let mut admitted = Vec::new();
    while let Ok(request) = entry.admit(customer, 0) {
        admitted.push(request.key);
    }
    assert!(!admitted.is_empty());
    for key in admitted {
        entry.admission.on_stage_sent(key);
        entry.admission.on_stage_sent(key);
    }
    assert!(entry.admit(customer, 0).is_ok());
}

#[test]
fn customer_above_its_share_is_refused_while_one_below_is_admitted() {
    let mut entry = entry();
    let large = entry.admission.register_customer("large", 1);
    let small = entry.admission.register_customer("small", 1);
    entry.admit(small, 0).unwrap();
    for _ in 0..5 {
        let admitted = entry.admit(large, 0).unwrap();
        entry.admission.finish(admitted.key);
    }
    let outstanding = 30;
    assert_eq!(entry.admit(large, outstanding).unwrap_err().reason, Reason::CustomerShare);
    assert!(entry.admit(small, outstanding).is_ok());
}

#[test]
fn backlog_is_limited_by_the_declared_pipeline_with_the_smallest_slack() {
    let mut entry = entry();
    let customer = entry.admission.register_customer("a", 1);
    let load = PoolLoad { upstreams: 2, outstanding: 40, own: 40, limit: 10 };
    let stage = StageWork { pool: entry.pool, max_tokens: 0, load };
    let long_ms = 60_000;
    assert!(entry.admission.admit(0, &entry.estimates, customer, long_ms, &[stage]).is_ok());

    let declared = DeclaredPipeline { deadline_ms: 300, stages: vec![(entry.pool, 0)] };
    entry.admission.set_pipelines(&entry.estimates, &[declared]);
    let refusal =
        entry.admission.admit(0, &entry.estimates, customer, long_ms, &[stage]).unwrap_err();
    assert_eq!(refusal.reason, Reason::DeadlineUnreachable);
}
