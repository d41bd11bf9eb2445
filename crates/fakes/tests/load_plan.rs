//! Load plans: seeds, arrival rates and shares; and the linear fit of measurements.

use yuccatrail_fakes::{
    load::plan::{CallKind, Mix, Phase, plan},
    measure::fit::{Fit, Point},
};

fn phase(seconds: f64, rate_per_second: f64) -> Phase {
    Phase { seconds, rate_per_second, mix: Mix::demo() }
}

#[test]
fn the_same_seed_gives_the_same_plan() {
    let phases = [phase(2.0, 100.0)];
    assert_eq!(plan(&phases, 7), plan(&phases, 7));
    assert_ne!(plan(&phases, 7), plan(&phases, 8));
}

#[test]
fn calls_arrive_in_order_at_the_rate_of_their_phase() {
    let calls = plan(&[phase(10.0, 100.0), phase(5.0, 0.0), phase(10.0, 400.0)], 1);
    assert!(calls.is_sorted_by_key(|it| it.at_us));
    let early = calls.iter().filter(|it| it.at_us < 10_000_000).count();
    let late = calls.iter().filter(|it| it.at_us >= 15_000_000).count();
    assert_eq!(early + late, calls.len());
    assert!((850..1150).contains(&early), "{early} calls in 10 s at a rate of 100 per second");
    assert!((3700..4300).contains(&late), "{late} calls in 10 s at a rate of 400 per second");
}

#[test]
fn shares_of_call_kinds_and_customers_match_the_mix() {
    let calls = plan(&[phase(100.0, 100.0)], 3);
    let writes = calls.iter().filter(|it| it.kind == CallKind::ServiceWrite).count();
    let small_customer = calls.iter().filter(|it| it.customer == "hill-country").count();
    let part = |count: usize| count as f64 / calls.len() as f64;
    assert!((part(writes) - 0.1).abs() < 0.02);
    assert!((part(small_customer) - 0.2).abs() < 0.02);
}

#[test]
fn fit_finds_base_and_slope_of_a_line() {
    let mut points = Vec::new();
    for size in [1.0, 10.0, 30.0, 60.0] {
        points.push(Point { size, value: 5.0 + 0.25 * size });
    }
    let fit = Fit::of(&points);
    assert!((fit.base - 5.0).abs() < 1e-9);
    assert!((fit.slope - 0.25).abs() < 1e-9);
    assert!((fit.r_squared - 1.0).abs() < 1e-9);
    assert!((fit.at(100.0) - 30.0).abs() < 1e-9);
}
