//! Guarantees of the simulated fleet that hold in experiments regardless of the measured values.

use yuccatrail_fakes::model::{Fleet, Mode, Outcome, run, scenarios};

const SEED: u64 = 7;

fn outcome(scenario: &str, mode: Mode) -> Outcome {
    let scenarios = scenarios();
    let scenario = scenarios.iter().find(|it| it.name == scenario).unwrap();
    run(&Fleet::cooperative(), scenario, mode, SEED)
}

#[test]
fn a_data_centre_that_is_out_gets_no_requests_and_none_are_lost() {
    let outcome = outcome("data-centre-out", Mode::Managed);
    assert_eq!(outcome.lost, 0);
    assert_eq!(outcome.taken_while_out, 0);
}

#[test]
fn cold_upstreams_are_overloaded_only_in_baseline_mode() {
    assert_eq!(outcome("cold-pool", Mode::Managed).fell_over, 0);
    assert!(outcome("cold-pool", Mode::Baseline).fell_over > 0);
}

#[test]
fn the_same_seed_gives_the_same_outcome() {
    let first = outcome("steady-50", Mode::Managed);
    let second = outcome("steady-50", Mode::Managed);
    let json = |it: &Outcome| serde_json::to_string(it).unwrap();
    assert_eq!(json(&first), json(&second));
}
