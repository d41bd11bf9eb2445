//! Work of one stage of one request, and its position in the queue.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{FastMap, stage_graph::ResultHandle};

/// Added to the due time for each priority rank, in milliseconds: about the duration of one call.
const PRIORITY_STEP_MS: u64 = 200;

/// Input of a piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceSource {
    /// The request's own data, identified by this key.
    Key(String),
    /// Results of earlier stages.
    Inputs(Vec<ResultHandle>),
}

/// Data centre in which running a piece transfers the fewest bytes between data centres.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreferredDataCentre {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Bytes that are transferred between data centres for each piece that runs elsewhere.
    pub remote_bytes: u64,
}

/// All pieces of one stage of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageWork {
    /// Identifier of the request.
    pub request_id: String,
    /// Position of the stage in the request's route.
    pub stage: usize,
    /// Number of pieces.
    pub pieces: usize,
    /// Input of each piece.
    pub source: PieceSource,
    /// Whether no other stage reads the same inputs.
    pub is_only_reader: bool,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
    /// Priority rank of the request; 0 is the most urgent.
    pub priority: u8,
    /// Time by which this stage has to finish for the request to be on time, in milliseconds. Work
    /// that misses it is late but still done.
    #[serde(rename = "aim_ms")]
    pub soft_deadline_ms: u64,
    /// Time after which the results are useless, in milliseconds.
    pub deadline_ms: u64,
    /// Data centre to run the pieces in; none if unknown.
    #[serde(rename = "home")]
    pub preferred_data_centre: Option<PreferredDataCentre>,
}

/// Position in the queue; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    /// Started work goes first, since its results take up memory until it is done.
    is_unstarted: bool,
    is_late: bool,
    due_ms: u64,
}

impl PreferredDataCentre {
    /// Chooses the data centre with the most bytes; `shares` holds the bytes that a piece reads from
    /// a data centre or that will be read there.
    pub fn choose(shares: impl IntoIterator<Item = (Arc<str>, u64)>) -> Option<Self> {
        let mut bytes_by_data_centre: FastMap<Arc<str>, u64> = FastMap::default();
        for (data_centre, bytes) in shares {
            *bytes_by_data_centre.entry(data_centre).or_default() += bytes;
        }
        let by_bytes = |it: &(Arc<str>, u64)| (it.1, std::cmp::Reverse(it.0.clone()));
        let (data_centre, remote_bytes) = bytes_by_data_centre.into_iter().max_by_key(by_bytes)?;
        Some(Self { data_centre, remote_bytes })
    }
}

impl StageWork {
    /// Returns the work with its times relative to `now_ms`, for an entry with another clock.
    pub fn with_relative_times(&self, now_ms: u64) -> Self {
        Self {
            soft_deadline_ms: self.soft_deadline_ms.saturating_sub(now_ms),
            deadline_ms: self.deadline_ms.saturating_sub(now_ms),
            ..self.clone()
        }
    }

    /// Returns the work with its times, which are relative to `now_ms`, on the clock of `now_ms`.
    pub fn with_absolute_times(self, now_ms: u64) -> Self {
        Self {
            soft_deadline_ms: now_ms + self.soft_deadline_ms,
            deadline_ms: now_ms + self.deadline_ms,
            ..self
        }
    }

    /// Tells whether a call that starts now and takes `call_ms` misses the soft deadline.
    pub(crate) fn is_late(&self, now_ms: u64, call_ms: f64) -> bool {
        now_ms as f64 + call_ms > self.soft_deadline_ms as f64
    }

    /// Returns the position of the work in the queue, where a call that starts now takes `call_ms`.
    pub(crate) fn position(&self, is_unstarted: bool, now_ms: u64, call_ms: f64) -> QueuePosition {
        let is_late = self.is_late(now_ms, call_ms);
        let due_ms = if is_late { self.deadline_ms } else { self.soft_deadline_ms };
        QueuePosition {
            is_unstarted,
            is_late,
            due_ms: due_ms + u64::from(self.priority) * PRIORITY_STEP_MS,
        }
    }
}
