//! Start and finish limits of the remaining stages of a request.

/// Time limits of one stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StagePlan {
    /// Expected duration of the stage, in milliseconds.
    pub expected_ms: u64,
    /// Latest start that leaves this stage and the later ones their expected durations, in
    /// milliseconds.
    pub start_by_ms: u64,
    /// Latest finish that leaves the later stages their expected durations, in milliseconds.
    pub finish_by_ms: u64,
    /// Expected duration plus a proportional share of the slack, in milliseconds.
    pub budget_ms: u64,
}

/// Time limits of the remaining stages of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Deadline of the request, in milliseconds.
    pub deadline_ms: u64,
    /// The remaining stages, in order.
    pub stages: Vec<StagePlan>,
}

impl Plan {
    /// Divides the time from `now_ms` to `deadline_ms` among stages of the given durations.
    ///
    /// When the time is too short, the latest start of the first stage lies before `now_ms`.
    pub fn new(now_ms: u64, deadline_ms: u64, expected_ms: &[u64]) -> Self {
        let total_ms: u64 = expected_ms.iter().sum();
        let remaining_ms = deadline_ms.saturating_sub(now_ms);
        let slack_ms = remaining_ms.saturating_sub(total_ms);

        let mut unscheduled_ms = total_ms;
        let mut stages = Vec::with_capacity(expected_ms.len());
        for &expected_ms in expected_ms {
            let start_by_ms = deadline_ms.saturating_sub(unscheduled_ms);
            unscheduled_ms -= expected_ms;
            let slack_share_ms = (slack_ms * expected_ms).checked_div(total_ms).unwrap_or(0);
            stages.push(StagePlan {
                expected_ms,
                start_by_ms,
                finish_by_ms: deadline_ms.saturating_sub(unscheduled_ms),
                budget_ms: expected_ms + slack_share_ms,
            });
        }
        Self { deadline_ms, stages }
    }

    /// Returns whether the stages from index `stage` on can still meet the deadline at `now_ms`.
    pub fn fits(&self, now_ms: u64, stage: usize) -> bool {
        match self.stages.get(stage) {
            Some(stage) => now_ms <= stage.start_by_ms,
            None => now_ms <= self.deadline_ms,
        }
    }
}
