//! Progress of one request through the stages that run before it.

use crate::route_table::StageSpec;

/// Handle of a result, which names its maker; only the platform can interpret it.
pub type ResultHandle = String;

/// State of one stage of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum StageState {
    /// Waits for the stages before it.
    Blocked,
    /// Its pieces are being made.
    Running,
    /// All of its results exist, in the order of the pieces.
    Done(Vec<ResultHandle>),
}

/// A stage whose pieces can be made now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyStage {
    /// Position of the stage.
    pub stage: usize,
    /// Number of pieces to make.
    pub pieces: usize,
    /// Results that every piece reads; none for a stage that reads the request's own data.
    pub inputs: Option<Vec<ResultHandle>>,
}

/// Stages of one request.
#[derive(Clone, Debug)]
pub struct StageGraph {
    after: Vec<Vec<usize>>,
    pieces: Vec<usize>,
    states: Vec<StageState>,
    /// Stages whose results no longer exist.
    released: Vec<bool>,
}

impl StageGraph {
    /// Creates the graph of a request with `pieces` pieces for each stage; missing numbers are 0.
    pub fn new(stages: &[StageSpec], pieces: &[usize]) -> Self {
        let after = stages.iter().map(|it| it.after.clone()).collect();
        let pieces = (0..stages.len()).map(|it| pieces.get(it).copied().unwrap_or(0)).collect();
        let mut graph = Self {
            after,
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

    /// Returns the stages that can start now and marks them as running.
    pub fn start_ready(&mut self) -> Vec<ReadyStage> {
        let mut ready = Vec::new();
        for stage in 0..self.states.len() {
            if self.states[stage] != StageState::Blocked || !self.is_unblocked(stage) {
                continue;
            }
            self.states[stage] = StageState::Running;
            let inputs =
                (!self.after[stage].is_empty()).then(|| self.results_of(&self.after[stage]));
            ready.push(ReadyStage { stage, pieces: self.pieces[stage], inputs });
        }
        ready
    }

    /// Notes the results of a stage, in the order of its pieces.
    pub fn finish(&mut self, stage: usize, handles: Vec<ResultHandle>) {
        if let Some(state) = self.states.get_mut(stage) {
            *state = StageState::Done(handles);
        }
    }

    /// Notes that the results that a stage read have been released.
    pub fn note_inputs_released(&mut self, stage: usize) {
        for before in &self.after[stage] {
            self.released[*before] = true;
        }
    }

    /// Makes a stage and everything that read its results run again, with the stages before it whose
    /// results are gone.
    pub fn restart(&mut self, stage: usize) {
        if self.pieces[stage] > 0 {
            self.states[stage] = StageState::Blocked;
        }
        self.released[stage] = false;
        for before in self.after[stage].clone() {
            if self.released[before] {
                self.restart(before);
            }
        }
        for later in 0..self.states.len() {
            if self.after[later].contains(&stage) && self.states[later] != StageState::Blocked {
                self.restart(later);
            }
        }
    }

    /// Makes the stages whose results `stage` reads run again, and everything that read them.
    pub fn restart_inputs(&mut self, stage: usize) {
        for before in self.after[stage].clone() {
            self.restart(before);
        }
        self.restart(stage);
    }

    /// Tells whether every stage has its results.
    pub fn is_done(&self) -> bool {
        self.states.iter().all(|it| matches!(it, StageState::Done(_)))
    }

    /// Returns the stages that have not finished, with the number of their pieces.
    pub fn unfinished(&self) -> impl Iterator<Item = (usize, usize)> {
        let open = |(_, state): &(usize, &StageState)| !matches!(state, StageState::Done(_));
        self.states.iter().enumerate().filter(open).map(|(it, _)| (it, self.pieces[it]))
    }

    /// Returns the results that the request itself reads: those of stages that no other follows.
    pub fn final_results(&self) -> Vec<ResultHandle> {
        let is_last = |stage: &usize| !self.after.iter().any(|it| it.contains(stage));
        let last: Vec<usize> = (0..self.states.len()).filter(is_last).collect();
        self.results_of(&last)
    }

    /// Returns every result that exists.
    pub fn all_results(&self) -> Vec<ResultHandle> {
        let all: Vec<usize> = (0..self.states.len()).collect();
        self.results_of(&all)
    }

    /// Returns the longest chain of unfinished stages, weighing each stage by `time_ms`.
    pub fn remaining_ms(&self, mut time_ms: impl FnMut(usize) -> f64) -> f64 {
        let mut longest = vec![0.0; self.states.len()];
        for stage in 0..self.states.len() {
            let before = self.after[stage].iter().filter(|it| **it < stage);
            let start: f64 = before.map(|it| longest[*it]).fold(0.0, f64::max);
            let own = if matches!(self.states[stage], StageState::Done(_)) {
                0.0
            } else {
                time_ms(stage)
            };
            longest[stage] = start + own;
        }
        longest.into_iter().fold(0.0, f64::max)
    }

    /// Returns the longest chain of stages that follow `stage`, weighing each by `time_ms`.
    pub fn following_ms(&self, stage: usize, time_ms: &impl Fn(usize) -> f64) -> f64 {
        let mut longest: f64 = 0.0;
        for later in stage + 1..self.after.len() {
            if self.after[later].contains(&stage) && self.pieces[later] > 0 {
                longest = longest.max(time_ms(later) + self.following_ms(later, time_ms));
            }
        }
        longest
    }

    /// Tells whether a stage beside `stage` reads the same results and has not finished.
    pub fn has_other_reader(&self, stage: usize) -> bool {
        let reads_same =
            |other: usize| self.after[other].iter().any(|it| self.after[stage].contains(it));
        let is_open = |other: usize| !matches!(self.states[other], StageState::Done(_));
        (0..self.states.len()).any(|it| it != stage && reads_same(it) && is_open(it))
    }

    /// Returns how much later a stage may start without delaying the request, in milliseconds.
    pub fn slack_ms(&self, stage: usize, time_ms: &impl Fn(usize) -> f64) -> f64 {
        let own_ms = time_ms(stage) + self.following_ms(stage, time_ms);
        (self.remaining_ms(time_ms) - own_ms).max(0.0)
    }

    /// Returns the number of pieces of a stage.
    pub fn pieces(&self, stage: usize) -> usize {
        self.pieces.get(stage).copied().unwrap_or(0)
    }

    fn is_unblocked(&self, stage: usize) -> bool {
        self.after[stage].iter().all(|it| matches!(self.states.get(*it), Some(StageState::Done(_))))
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
