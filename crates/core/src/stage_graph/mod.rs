//! Dependency graph of the stages that run before one request, and their progress.

use crate::route_table::StageSpec;

/// Handle of a result, which identifies the upstream that stores it; only the platform interprets
/// it.
pub type ResultHandle = String;

/// State of one stage of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum StageState {
    /// Waits for the stages that it depends on.
    Blocked,
    /// Its pieces are waiting or running.
    Running,
    /// All of its results exist, in the order of the pieces.
    Done(Vec<ResultHandle>),
}

/// A stage whose pieces can run now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyStage {
    /// Position of the stage in the request's route.
    pub stage: usize,
    /// Number of pieces to run.
    pub pieces: usize,
    /// Results that every piece reads; none for a stage that reads the request's own data instead.
    pub inputs: Option<Vec<ResultHandle>>,
}

/// Stages of one request.
#[derive(Clone, Debug)]
pub struct StageGraph {
    /// For each stage, the stages whose results it reads.
    dependencies: Vec<Vec<usize>>,
    pieces: Vec<usize>,
    states: Vec<StageState>,
    /// For each stage, whether its results have been released.
    released: Vec<bool>,
}

impl StageGraph {
    /// Creates the graph of a request, where `pieces` holds the number of pieces of each stage; missing
    /// numbers are 0, and a stage without pieces is done from the start.
    pub fn new(stages: &[StageSpec], pieces: &[usize]) -> Self {
        let dependencies = stages.iter().map(|it| it.after.clone()).collect();
        let pieces = (0..stages.len()).map(|it| pieces.get(it).copied().unwrap_or(0)).collect();
        let mut graph = Self {
            dependencies,
            pieces,
            states: vec![StageState::Blocked; stages.len()],
            released: vec![false; stages.len()],
        };
        for stage in 0..stages.len() {
            if graph.pieces[stage] == 0 {
                graph.states[stage] = StageState::Done(Vec::new());
            }
        }
        graph
    }

    /// Returns the stages that can start now, and marks them as running.
    pub fn start_ready(&mut self) -> Vec<ReadyStage> {
        let mut ready = Vec::new();
        for stage in 0..self.states.len() {
            if self.states[stage] != StageState::Blocked || !self.is_unblocked(stage) {
                continue;
            }
            self.states[stage] = StageState::Running;
            let inputs = (!self.dependencies[stage].is_empty())
                .then(|| self.results_of(&self.dependencies[stage]));
            ready.push(ReadyStage { stage, pieces: self.pieces[stage], inputs });
        }
        ready
    }

    /// Marks a stage as done, with its results in the order of its pieces.
    pub fn finish(&mut self, stage: usize, handles: Vec<ResultHandle>) {
        if let Some(state) = self.states.get_mut(stage) {
            *state = StageState::Done(handles);
        }
    }

    /// Records that the results that a stage read have been released.
    pub fn mark_inputs_released(&mut self, stage: usize) {
        for dependency in &self.dependencies[stage] {
            self.released[*dependency] = true;
        }
    }

    /// Resets a stage and all stages that read its results, so that they run again, and those of its
    /// dependencies whose results have been released.
    pub fn restart(&mut self, stage: usize) {
        if self.pieces[stage] > 0 {
            self.states[stage] = StageState::Blocked;
        }
        self.released[stage] = false;
        for dependency in self.dependencies[stage].clone() {
            if self.released[dependency] {
                self.restart(dependency);
            }
        }
        for dependent in 0..self.states.len() {
            if self.dependencies[dependent].contains(&stage)
                && self.states[dependent] != StageState::Blocked
            {
                self.restart(dependent);
            }
        }
    }

    /// Resets the stages whose results `stage` reads and all stages that read them, so that they run
    /// again.
    pub fn restart_inputs(&mut self, stage: usize) {
        for dependency in self.dependencies[stage].clone() {
            self.restart(dependency);
        }
        self.restart(stage);
    }

    /// Tells whether all stages are done.
    pub fn is_done(&self) -> bool {
        self.states.iter().all(|it| matches!(it, StageState::Done(_)))
    }

    /// Returns the stages that are not done, each with its number of pieces.
    pub fn unfinished(&self) -> impl Iterator<Item = (usize, usize)> {
        let is_unfinished =
            |(_, state): &(usize, &StageState)| !matches!(state, StageState::Done(_));
        self.states.iter().enumerate().filter(is_unfinished).map(|(it, _)| (it, self.pieces[it]))
    }

    /// Returns the results that the request itself reads: those of stages without dependents.
    pub fn final_results(&self) -> Vec<ResultHandle> {
        let is_last = |stage: &usize| !self.dependencies.iter().any(|it| it.contains(stage));
        let last: Vec<usize> = (0..self.states.len()).filter(is_last).collect();
        self.results_of(&last)
    }

    /// Returns the results of all stages that are done.
    pub fn all_results(&self) -> Vec<ResultHandle> {
        let all: Vec<usize> = (0..self.states.len()).collect();
        self.results_of(&all)
    }

    /// Returns the duration of the critical path through the stages that are not done, in milliseconds,
    /// where `time_ms` is the duration of each stage.
    pub fn remaining_ms(&self, mut time_ms: impl FnMut(usize) -> f64) -> f64 {
        let mut longest_ms = vec![0.0; self.states.len()];
        for stage in 0..self.states.len() {
            let dependencies = self.dependencies[stage].iter().filter(|it| **it < stage);
            let start_ms: f64 = dependencies.map(|it| longest_ms[*it]).fold(0.0, f64::max);
            let own_ms = if matches!(self.states[stage], StageState::Done(_)) {
                0.0
            } else {
                time_ms(stage)
            };
            longest_ms[stage] = start_ms + own_ms;
        }
        longest_ms.into_iter().fold(0.0, f64::max)
    }

    /// Returns the duration of the critical path after `stage`, without `stage` itself, in milliseconds,
    /// where `time_ms` is the duration of each stage.
    pub fn following_ms(&self, stage: usize, time_ms: &impl Fn(usize) -> f64) -> f64 {
        let mut longest_ms: f64 = 0.0;
        for dependent in stage + 1..self.dependencies.len() {
            if self.dependencies[dependent].contains(&stage) && self.pieces[dependent] > 0 {
                longest_ms =
                    longest_ms.max(time_ms(dependent) + self.following_ms(dependent, time_ms));
            }
        }
        longest_ms
    }

    /// Tells whether another stage that is not done reads a result that `stage` reads.
    pub fn has_other_reader(&self, stage: usize) -> bool {
        let shares_input = |other: usize| {
            self.dependencies[other].iter().any(|it| self.dependencies[stage].contains(it))
        };
        let is_pending = |other: usize| !matches!(self.states[other], StageState::Done(_));
        (0..self.states.len()).any(|it| it != stage && shares_input(it) && is_pending(it))
    }

    /// Returns the slack of a stage: how much later it may start without delaying the request, in
    /// milliseconds.
    pub fn slack_ms(&self, stage: usize, time_ms: &impl Fn(usize) -> f64) -> f64 {
        let own_ms = time_ms(stage) + self.following_ms(stage, time_ms);
        (self.remaining_ms(time_ms) - own_ms).max(0.0)
    }

    /// Returns the number of pieces of a stage.
    pub fn pieces(&self, stage: usize) -> usize {
        self.pieces.get(stage).copied().unwrap_or(0)
    }

    fn is_unblocked(&self, stage: usize) -> bool {
        self.dependencies[stage]
            .iter()
            .all(|it| matches!(self.states.get(*it), Some(StageState::Done(_))))
    }

    fn results_of(&self, stages: &[usize]) -> Vec<ResultHandle> {
        let mut handles = Vec::new();
        for stage in stages {
            if let Some(StageState::Done(results)) = self.states.get(*stage) {
                handles.extend(results.iter().cloned());
            }
        }
        handles
    }
}

#[cfg(test)]
mod tests;
