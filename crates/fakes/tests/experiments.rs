//! Promises that hold in every experiment, whatever the figures.

use yuccatrail_fakes::model::{Fleet, Mode, Outcome, run, scenarios};

const SEED: u64 = 7;

fn outcome(scenario: &str, mode: Mode) -> Outcome {
    let scenarios = scenarios();
    let scenario = scenarios.iter().find(|it| it.name == scenario).unwrap();
    run(&Fleet::cooperative(), scenario, mode, SEED)
}

#[test]
fn data_centre_out_takes_nothing_and_loses_nothing() {
    let outcome = outcome("data-centre-out", Mode::Managed);
    assert_eq!(outcome.lost, 0);
    assert_eq!(outcome.taken_while_out, 0);
}

#[test]
fn cold_pool_falls_over_only_without_the_policy() {
    assert_eq!(outcome("cold-pool", Mode::Managed).fell_over, 0);
    assert!(outcome("cold-pool", Mode::Baseline).fell_over > 0);
}

#[test]
fn same_seed_gives_the_same_figures() {
    let first = outcome("steady-50", Mode::Managed);
    let second = outcome("steady-50", Mode::Managed);
    let json = |it: &Outcome| serde_json::to_string(it).unwrap();
    assert_eq!(json(&first), json(&second));
}
