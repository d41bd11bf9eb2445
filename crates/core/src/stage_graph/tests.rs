use crate::{
    route_table::StageSpec,
    stage_graph::{ReadyStage, StageGraph},
};

fn stage(dependencies: &[usize]) -> StageSpec {
    StageSpec { service: "s".into(), after: dependencies.to_vec(), result_bytes: 1 }
}

fn handles(names: &[&str]) -> Vec<String> {
    names.iter().map(|it| (*it).to_owned()).collect()
}

#[test]
fn a_stage_reads_all_results_of_its_dependencies() {
    let stages = [stage(&[]), stage(&[0]), stage(&[1])];
    let mut graph = StageGraph::new(&stages, &[1, 2, 1]);
    assert_eq!(graph.start_ready(), [ReadyStage { stage: 0, pieces: 1, inputs: None }]);
    assert_eq!(graph.start_ready(), []);
    graph.finish(0, handles(&["a"]));
    let inputs = Some(handles(&["a"]));
    assert_eq!(graph.start_ready(), [ReadyStage { stage: 1, pieces: 2, inputs }]);
    graph.finish(1, handles(&["b", "c"]));
    let inputs = Some(handles(&["b", "c"]));
    assert_eq!(graph.start_ready(), [ReadyStage { stage: 2, pieces: 1, inputs }]);
    assert!(!graph.is_done());
    graph.finish(2, handles(&["d"]));
    assert!(graph.is_done());
    assert_eq!(graph.final_results(), handles(&["d"]));
    assert_eq!(graph.all_results(), handles(&["a", "b", "c", "d"]));
}

#[test]
fn a_stage_without_pieces_is_skipped() {
    let stages = [stage(&[]), stage(&[]), stage(&[1])];
    let mut graph = StageGraph::new(&stages, &[0, 1, 1]);
    assert_eq!(graph.start_ready(), [ReadyStage { stage: 1, pieces: 1, inputs: None }]);
    graph.finish(1, handles(&["a"]));
    graph.start_ready();
    graph.finish(2, handles(&["b"]));
    assert_eq!(graph.final_results(), handles(&["b"]));
    assert!(StageGraph::new(&stages, &[]).is_done());
}

#[test]
fn restarting_a_stage_restarts_all_stages_that_depend_on_it() {
    let stages = [stage(&[]), stage(&[0]), stage(&[])];
    let mut graph = StageGraph::new(&stages, &[1, 1, 1]);
    for index in 0..3 {
        graph.start_ready();
        graph.finish(index, handles(&["r"]));
    }
    graph.restart(0);
    assert!(!graph.is_done());
    assert_eq!(graph.start_ready(), [ReadyStage { stage: 0, pieces: 1, inputs: None }]);
    let unfinished: Vec<(usize, usize)> = graph.unfinished().collect();
    assert_eq!(unfinished, [(0, 1), (1, 1)]);
}

#[test]
fn restarting_the_inputs_of_a_stage_restarts_only_its_direct_dependencies() {
    let stages = [stage(&[]), stage(&[0]), stage(&[1])];
    let mut graph = StageGraph::new(&stages, &[1, 1, 1]);
    graph.start_ready();
    graph.finish(0, handles(&["a"]));
    graph.start_ready();
    graph.finish(1, handles(&["b"]));
    graph.start_ready();
    graph.restart_inputs(2);
    let inputs = Some(handles(&["a"]));
    assert_eq!(graph.start_ready(), [ReadyStage { stage: 1, pieces: 1, inputs }]);
}

#[test]
fn the_remaining_time_is_that_of_the_critical_path() {
    let stages = [stage(&[]), stage(&[]), stage(&[1])];
    let mut graph = StageGraph::new(&stages, &[1, 1, 1]);
    let time_ms = |it: usize| [50.0, 20.0, 10.0][it];
    assert_eq!(graph.remaining_ms(time_ms), 50.0);
    graph.finish(0, handles(&["a"]));
    assert_eq!(graph.remaining_ms(time_ms), 30.0);
}

#[test]
fn the_time_after_a_stage_is_that_of_its_longest_chain_of_dependents() {
    let stages = [stage(&[]), stage(&[0]), stage(&[1]), stage(&[])];
    let graph = StageGraph::new(&stages, &[1, 2, 3, 4]);
    let time_ms = |it: usize| [50.0, 20.0, 10.0, 70.0][it];
    assert_eq!(graph.following_ms(0, &time_ms), 30.0);
    assert_eq!(graph.following_ms(2, &time_ms), 0.0);
    assert_eq!(graph.following_ms(3, &time_ms), 0.0);
}

#[test]
fn a_stage_parallel_to_a_longer_chain_has_slack() {
    let stages = [stage(&[]), stage(&[]), stage(&[1])];
    let graph = StageGraph::new(&stages, &[1, 1, 1]);
    let time_ms = |it: usize| [50.0, 60.0, 70.0][it];
    assert_eq!(graph.slack_ms(0, &time_ms), 80.0);
    assert_eq!(graph.slack_ms(1, &time_ms), 0.0);
}

#[test]
fn a_restarted_stage_restarts_its_dependencies_whose_results_were_released() {
    let stages = [stage(&[]), stage(&[0]), stage(&[1]), stage(&[])];
    let mut graph = StageGraph::new(&stages, &[1, 1, 1, 1]);
    graph.start_ready();
    graph.finish(0, handles(&["a"]));
    graph.finish(3, handles(&["d"]));
    graph.start_ready();
    graph.finish(1, handles(&["b"]));
    graph.mark_inputs_released(1);
    graph.start_ready();
    graph.restart_inputs(2);
    let ready = graph.start_ready();
    assert_eq!(
        ready,
        [ReadyStage { stage: 0, pieces: 1, inputs: None }],
        "stage 3 is not restarted"
    );
    graph.finish(0, handles(&["e"]));
    let inputs = Some(handles(&["e"]));
    assert_eq!(graph.start_ready(), [ReadyStage { stage: 1, pieces: 1, inputs }]);
    graph.finish(1, handles(&["f"]));
    let inputs = Some(handles(&["f"]));
    assert_eq!(graph.start_ready(), [ReadyStage { stage: 2, pieces: 1, inputs }]);
}
