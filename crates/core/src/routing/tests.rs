use super::*;

const COLD_LIMIT: u32 = 1;
const NO_PROBE: RandomNumbers = RandomNumbers { first: 0, second: 0, probe: 1 };

fn warm_load(running: u32) -> LoadReport {
    LoadReport { running, queued: 0, limit: 8, projected_limit: 8, cold: false, draining: false }
}

/// Creates a pool of warm upstreams with the given numbers of running calls.
fn pool(running: &[u32]) -> (PoolView, Vec<UpstreamKey>) {
    let mut pool = PoolView::new();
    let mut keys = Vec::new();
    for (index, &running) in running.iter().enumerate() {
        let key = pool.add(0, index as u64, false, COLD_LIMIT);
        pool.on_reply(0, key, warm_load(running));
        keys.push(key);
    }
    (pool, keys)
}

fn choose_from(
    pool: &PoolView,
    context: ChoiceContext,
    random: RandomNumbers,
) -> Result<Choice, ChoiceError> {
    choose(&pool.candidates(0, context.prefix, &[]), &context, random)
}

#[test]
fn less_loaded_of_two_is_chosen() {
    let (pool, keys) = pool(&[4, 1]);
    for first in 0..2 {
        let random = RandomNumbers { first, ..NO_PROBE };
        let choice = choose_from(&pool, ChoiceContext::default(), random).unwrap();
        assert_eq!(choice.key, keys[1]);
        assert_eq!(choice.reason, ChoiceReason::LeastLoaded);
        assert_eq!(choice.considered, 2);
    }
}

#[test]
fn attempts_sent_since_the_last_reply_count_as_load() {
    let (mut pool, keys) = pool(&[1, 2]);
    for _ in 0..3 {
        pool.on_sent(0, keys[0]);
    }
    assert_eq!(choose_from(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, keys[1]);
}

#[test]
fn local_upstream_is_preferred_while_it_has_capacity() {
    let (mut pool, _) = pool(&[0, 0]);
    let local = pool.add(0, 9, true, COLD_LIMIT);
    pool.on_reply(0, local, warm_load(7));
    assert_eq!(choose_from(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, local);
    pool.on_reply(0, local, warm_load(8));
    assert_ne!(choose_from(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, local);
}

#[test]
fn prefix_keeps_its_upstream_until_that_upstream_is_overloaded() {
    let (mut pool, _) = pool(&[1, 1, 1, 1]);
    let context = ChoiceContext { prefix: Some(42), ..ChoiceContext::default() };
    let assigned = choose_from(&pool, context, NO_PROBE).unwrap();
    assert_eq!(assigned.reason, ChoiceReason::PrefixAffinity);
    assert_eq!(
        choose_from(&pool, context, RandomNumbers { first: 3, second: 1, probe: 5 }),
        Ok(assigned)
    );

    pool.on_reply(0, assigned.key, warm_load(12));
    assert_ne!(choose_from(&pool, context, NO_PROBE).unwrap().key, assigned.key);
}

#[test]
fn cached_prefix_precedes_affinity_until_an_event_gap_clears_it() {
    let (mut pool, keys) = pool(&[1, 1, 1, 1]);
    let context = ChoiceContext { prefix: Some(42), ..ChoiceContext::default() };
    let assigned = choose_from(&pool, context, NO_PROBE).unwrap().key;
    let other = *keys.iter().find(|it| **it != assigned).unwrap();

    pool.on_cache_event(other, 1, CacheEvent::Stored(42));
    assert_eq!(choose_from(&pool, context, NO_PROBE).unwrap().key, other);
    pool.on_cache_event(other, 3, CacheEvent::Stored(7));
    assert_eq!(choose_from(&pool, context, NO_PROBE).unwrap().key, assigned);
}

#[test]
fn cold_upstream_gets_only_probes_within_its_cold_limit() {
    let (mut pool, _) = pool(&[0, 0]);
    let cold = pool.add(0, 9, true, COLD_LIMIT);
    assert_ne!(choose_from(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, cold);

    let probe = RandomNumbers { probe: 16, ..NO_PROBE };
    let choice = choose_from(&pool, ChoiceContext::default(), probe).unwrap();
    assert_eq!((choice.key, choice.reason), (cold, ChoiceReason::ColdProbe));
    pool.on_sent(0, cold);
    assert_ne!(choose_from(&pool, ChoiceContext::default(), probe).unwrap().key, cold);
}

#[test]
fn cold_pool_at_its_limits_is_refused_as_cold() {
    let mut pool = PoolView::new();
    let cold = pool.add(0, 1, true, COLD_LIMIT);
    let choice = choose_from(&pool, ChoiceContext::default(), NO_PROBE).unwrap();
    assert_eq!(choice.reason, ChoiceReason::OnlyCold);
    pool.on_sent(0, cold);
    assert_eq!(choose_from(&pool, ChoiceContext::default(), NO_PROBE), Err(ChoiceError::Cold));
}

#[test]
fn tried_and_draining_upstreams_are_not_chosen() {
    let (mut pool, keys) = pool(&[0, 0]);
    pool.on_reply(0, keys[0], LoadReport { draining: true, ..warm_load(0) });
    let candidates = pool.candidates(0, None, &[keys[1]]);
    let choice = choose(&candidates, &ChoiceContext::default(), NO_PROBE);
    assert_eq!(choice, Err(ChoiceError::NoUpstream));
}

#[test]
fn withdrawn_upstream_is_not_chosen_after_a_report_without_draining() {
    let (mut pool, keys) = pool(&[0, 3]);
    pool.set_withdrawn(keys[0], true);
    pool.on_reply(0, keys[0], warm_load(0));
    assert_eq!(choose_from(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, keys[1]);
    assert_eq!(pool.load(0).upstreams, 1);
    pool.set_withdrawn(keys[0], false);
    assert_eq!(pool.load(0).upstreams, 2);
}

#[test]
fn failing_upstream_is_ejected_and_returns_after_one_successful_probe() {
    let (mut pool, keys) = pool(&[0, 0]);
    for _ in 0..3 {
        pool.on_end(0, keys[0], AttemptEnd::Failed);
    }
    let health_status =
        |pool: &PoolView, now_ms| pool.candidates(now_ms, None, &[])[0].health_status;
    assert_eq!(health_status(&pool, 999), HealthStatus::Ejected);
    assert_eq!(health_status(&pool, 1_000), HealthStatus::ProbeDue);

    let choice = choose(&pool.candidates(1_000, None, &[]), &ChoiceContext::default(), NO_PROBE);
    assert_eq!(choice.unwrap().reason, ChoiceReason::ReturnProbe);
    pool.on_sent(1_000, keys[0]);
    assert_eq!(health_status(&pool, 1_001), HealthStatus::Ejected);
    pool.on_end(1_100, keys[0], AttemptEnd::Completed { ratio: 1.0 });
    assert_eq!(health_status(&pool, 1_101), HealthStatus::InService);
}

#[test]
fn at_most_half_of_a_pool_is_ejected() {
    let (mut pool, keys) = pool(&[0, 0, 0, 0, 0]);
    for &key in &keys {
        for _ in 0..5 {
            pool.on_end(0, key, AttemptEnd::Failed);
        }
    }
    let candidates = pool.candidates(0, None, &[]);
    let ejected = candidates.iter().filter(|it| it.health_status == HealthStatus::Ejected).count();
    assert_eq!(ejected, 2);
}

#[test]
fn ejected_upstream_is_chosen_when_all_others_are_withdrawn() {
    let (mut pool, keys) = pool(&[0, 0]);
    for _ in 0..3 {
        pool.on_end(0, keys[0], AttemptEnd::Failed);
    }
    assert_eq!(choose_from(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, keys[1]);
    pool.set_withdrawn(keys[1], true);
    assert_eq!(pool.load(0).upstreams, 1);
    assert_eq!(choose_from(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, keys[0]);
}

#[test]
fn latency_outlier_is_ejected() {
    let (mut pool, keys) = pool(&[0, 0, 0]);
    for _ in 0..10 {
        pool.on_end(0, keys[0], AttemptEnd::Completed { ratio: 10.0 });
        pool.on_end(0, keys[1], AttemptEnd::Completed { ratio: 1.0 });
        pool.on_end(0, keys[2], AttemptEnd::Completed { ratio: 1.0 });
    }
    assert_eq!(pool.candidates(0, None, &[])[0].health_status, HealthStatus::Ejected);
    assert_eq!(pool.candidates(0, None, &[])[1].health_status, HealthStatus::InService);
}

#[test]
fn slow_upstream_is_not_ejected_while_the_pool_has_no_other_latency() {
    let (mut pool, keys) = pool(&[0, 0]);
    for _ in 0..20 {
        pool.on_sent(0, keys[0]);
        pool.on_end(0, keys[0], AttemptEnd::Completed { ratio: 10.0 });
    }
    assert_eq!(pool.candidates(0, None, &[])[0].health_status, HealthStatus::InService);
}

#[test]
fn slow_abandoned_attempts_eject_an_upstream() {
    let (mut pool, keys) = pool(&[0, 0, 0]);
    for _ in 0..10 {
        pool.on_end(0, keys[0], AttemptEnd::Abandoned { ratio: 6.0 });
        pool.on_end(0, keys[1], AttemptEnd::Completed { ratio: 1.0 });
        pool.on_end(0, keys[2], AttemptEnd::Abandoned { ratio: 0.5 });
    }
    assert_eq!(pool.candidates(0, None, &[])[0].health_status, HealthStatus::Ejected);
    assert_eq!(pool.candidates(0, None, &[])[2].health_status, HealthStatus::InService);
}

#[test]
fn slow_return_probe_doubles_the_backoff() {
    let (mut pool, keys) = pool(&[0, 0]);
    for _ in 0..3 {
        pool.on_end(0, keys[0], AttemptEnd::Failed);
    }
    pool.on_sent(1_000, keys[0]);
    pool.on_end(2_000, keys[0], AttemptEnd::Completed { ratio: 10.0 });
    assert_eq!(pool.candidates(3_000, None, &[])[0].health_status, HealthStatus::Ejected);
    assert_eq!(pool.candidates(4_000, None, &[])[0].health_status, HealthStatus::ProbeDue);
}

#[test]
fn reported_load_is_discounted_with_age() {
    let (pool, _) = pool(&[8]);
    assert!(!pool.candidates(0, None, &[])[0].has_capacity());
    assert!(pool.candidates(2_000, None, &[])[0].has_capacity());
}

#[test]
fn baseline_policies_choose_at_random_and_round_robin() {
    let (pool, keys) = pool(&[9, 9, 0]);
    let random = ChoiceContext { policy: Policy::Random, ..ChoiceContext::default() };
    let choice = choose_from(&pool, random, RandomNumbers { first: 1, ..NO_PROBE }).unwrap();
    assert_eq!((choice.key, choice.reason), (keys[1], ChoiceReason::Random));
    let round_robin = ChoiceContext {
        policy: Policy::RoundRobin,
        round_robin_index: 5,
        ..ChoiceContext::default()
    };
    assert_eq!(choose_from(&pool, round_robin, NO_PROBE).unwrap().key, keys[2]);
}
