use super::*;

const COLD_LIMIT: u32 = 1;
const NO_PROBE: RandomNumbers = RandomNumbers { first: 0, second: 0, probe: 1 };

fn warm(running: u32) -> LoadReport {
    LoadReport { running, queued: 0, limit: 8, projected_limit: 8, cold: false, draining: false }
}

/// Builds a pool of warm upstreams with the given numbers of running calls.
fn pool(running: &[u32]) -> (PoolView, Vec<UpstreamKey>) {
    let mut pool = PoolView::new();
    let mut keys = Vec::new();
    for (index, &running) in running.iter().enumerate() {
        let key = pool.add(0, index as u64, false, COLD_LIMIT);
        pool.on_reply(0, key, warm(running));
        keys.push(key);
    }
    (pool, keys)
}

fn route(
    pool: &PoolView,
    context: ChoiceContext,
    random: RandomNumbers,
) -> Result<Choice, ChoiceError> {
    choose(&pool.candidates(0, context.prefix, &[]), &context, random)
}

#[test]
fn less_loaded_of_two_wins() {
    let (pool, keys) = pool(&[4, 1]);
    for first in 0..2 {
        let random = RandomNumbers { first, ..NO_PROBE };
        let choice = route(&pool, ChoiceContext::default(), random).unwrap();
        assert_eq!(choice.key, keys[1]);
        assert_eq!(choice.reason, ChoiceReason::LeastLoaded);
        assert_eq!(choice.considered, 2);
    }
}

#[test]
fn own_attempts_since_the_last_reply_count() {
    let (mut pool, keys) = pool(&[1, 2]);
    for _ in 0..3 {
        pool.on_sent(0, keys[0]);
    }
    assert_eq!(route(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, keys[1]);
}

#[test]
fn own_data_centre_is_preferred_while_it_has_room() {
    let (mut pool, _) = pool(&[0, 0]);
    let local = pool.add(0, 9, true, COLD_LIMIT);
    pool.on_reply(0, local, warm(7));
    assert_eq!(route(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, local);
    pool.on_reply(0, local, warm(8));
    assert_ne!(route(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, local);
}

#[test]
fn prefix_stays_with_its_upstream_until_that_is_overloaded() {
    let (mut pool, _) = pool(&[1, 1, 1, 1]);
    let context = ChoiceContext { prefix: Some(42), ..ChoiceContext::default() };
    let assigned = route(&pool, context, NO_PROBE).unwrap();
    assert_eq!(assigned.reason, ChoiceReason::PrefixAffinity);
    assert_eq!(
        route(&pool, context, RandomNumbers { first: 3, second: 1, probe: 5 }),
        Ok(assigned)
    );

    pool.on_reply(0, assigned.key, warm(12));
    assert_ne!(route(&pool, context, NO_PROBE).unwrap().key, assigned.key);
}

#[test]
fn cached_prefix_goes_first_and_a_gap_voids_it() {
    let (mut pool, keys) = pool(&[1, 1, 1, 1]);
    let context = ChoiceContext { prefix: Some(42), ..ChoiceContext::default() };
    let assigned = route(&pool, context, NO_PROBE).unwrap().key;
    let other = *keys.iter().find(|it| **it != assigned).unwrap();

    pool.on_cache_event(other, 1, CacheEvent::Stored(42));
    assert_eq!(route(&pool, context, NO_PROBE).unwrap().key, other);
    pool.on_cache_event(other, 3, CacheEvent::Stored(7));
    assert_eq!(route(&pool, context, NO_PROBE).unwrap().key, assigned);
}

#[test]
fn cold_upstream_gets_probes_only_and_never_more_than_its_limit() {
    let (mut pool, _) = pool(&[0, 0]);
    let cold = pool.add(0, 9, true, COLD_LIMIT);
    assert_ne!(route(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, cold);

    let probe = RandomNumbers { probe: 16, ..NO_PROBE };
    let choice = route(&pool, ChoiceContext::default(), probe).unwrap();
    assert_eq!((choice.key, choice.reason), (cold, ChoiceReason::ColdProbe));
    pool.on_sent(0, cold);
    assert_ne!(route(&pool, ChoiceContext::default(), probe).unwrap().key, cold);
}

#[test]
fn pool_that_is_wholly_cold_refuses_beyond_its_limits() {
    let mut pool = PoolView::new();
    let cold = pool.add(0, 1, true, COLD_LIMIT);
    let choice = route(&pool, ChoiceContext::default(), NO_PROBE).unwrap();
    assert_eq!(choice.reason, ChoiceReason::OnlyCold);
    pool.on_sent(0, cold);
    assert_eq!(route(&pool, ChoiceContext::default(), NO_PROBE), Err(ChoiceError::Cold));
}

#[test]
fn tried_and_draining_upstreams_are_excluded() {
    let (mut pool, keys) = pool(&[0, 0]);
    pool.on_reply(0, keys[0], LoadReport { draining: true, ..warm(0) });
    let candidates = pool.candidates(0, None, &[keys[1]]);
    let choice = choose(&candidates, &ChoiceContext::default(), NO_PROBE);
    assert_eq!(choice, Err(ChoiceError::NoUpstream));
}

#[test]
fn withdrawn_upstream_is_excluded_whatever_its_agent_reports() {
    let (mut pool, keys) = pool(&[0, 3]);
    pool.set_withdrawn(keys[0], true);
    pool.on_reply(0, keys[0], warm(0));
    assert_eq!(route(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, keys[1]);
    assert_eq!(pool.load(0).upstreams, 1);
    pool.set_withdrawn(keys[0], false);
    assert_eq!(pool.load(0).upstreams, 2);
}

#[test]
fn failing_upstream_is_ejected_and_returns_through_a_single_probe() {
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
fn last_upstream_serves_although_it_was_ejected_before_the_other_was_withdrawn() {
    let (mut pool, keys) = pool(&[0, 0]);
    for _ in 0..3 {
        pool.on_end(0, keys[0], AttemptEnd::Failed);
    }
    assert_eq!(route(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, keys[1]);
    pool.set_withdrawn(keys[1], true);
    assert_eq!(pool.load(0).upstreams, 1);
    assert_eq!(route(&pool, ChoiceContext::default(), NO_PROBE).unwrap().key, keys[0]);
}

#[test]
fn slow_upstream_is_ejected() {
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
fn upstream_is_not_ejected_before_the_pool_has_a_latency() {
    let (mut pool, keys) = pool(&[0, 0]);
    for _ in 0..20 {
        pool.on_sent(0, keys[0]);
        pool.on_end(0, keys[0], AttemptEnd::Completed { ratio: 10.0 });
    }
    assert_eq!(pool.candidates(0, None, &[])[0].health_status, HealthStatus::InService);
}

#[test]
fn upstream_is_ejected_for_calls_that_were_given_up() {
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
fn slow_return_probe_ejects_again() {
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
fn old_load_reports_fade() {
    let (pool, _) = pool(&[8]);
    assert!(!pool.candidates(0, None, &[])[0].has_capacity());
    assert!(pool.candidates(2_000, None, &[])[0].has_capacity());
}

#[test]
fn baselines_pick_at_random_and_in_turn() {
    let (pool, keys) = pool(&[9, 9, 0]);
    let random = ChoiceContext { policy: Policy::Random, ..ChoiceContext::default() };
    let choice = route(&pool, random, RandomNumbers { first: 1, ..NO_PROBE }).unwrap();
    assert_eq!((choice.key, choice.reason), (keys[1], ChoiceReason::Random));
    let in_turn = ChoiceContext {
        policy: Policy::RoundRobin,
        round_robin_index: 5,
        ..ChoiceContext::default()
    };
    assert_eq!(route(&pool, in_turn, NO_PROBE).unwrap().key, keys[2]);
}
