//! Work of one stage of one request, and its place in the queue.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{FastMap, stage_graph::ResultHandle};

/// Advance in the queue for each rank of priority, in milliseconds: about one call.
const PRIORITY_STEP_MS: u64 = 200;

/// What a piece is made from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceSource {
    /// The request's own data, which this key names.
    Key(String),
    /// Results of earlier stages.
    Inputs(Vec<ResultHandle>),
}

/// Data centre in which a piece is made with the fewest bytes between data centres.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreferredDataCentre {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Bytes that a piece moves between data centres if it is made elsewhere.
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
    /// What each piece is made from.
    pub source: PieceSource,
    /// Whether no other stage reads its inputs.
    pub is_only_reader: bool,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
    /// Rank of the request; 0 is the most urgent.
    pub priority: u8,
    /// Time at which this stage has to be finished for the request to be on time, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub soft_deadline_ms: u64,
    /// Time after which the results are of no use, in milliseconds.
    pub deadline_ms: u64,
    /// Where its pieces are best made, as far as that is known.
    #[serde(rename = "home")]
    pub preferred_data_centre: Option<PreferredDataCentre>,
}

/// Place in the queue; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    /// Work that has begun goes first, since its results take up room until it is done.
    is_untouched: bool,
    is_late: bool,
    due_ms: u64,
}

impl PreferredDataCentre {
    /// Chooses the data centre that most bytes of a piece are read from or will be read in.
    pub fn choose(shares: impl IntoIterator<Item = (Arc<str>, u64)>) -> Option<Self> {
        let mut bytes_by_place: FastMap<Arc<str>, u64> = FastMap::default();
        for (data_centre, bytes) in shares {
            *bytes_by_place.entry(data_centre).or_default() += bytes;
        }
        let most = |it: &(Arc<str>, u64)| (it.1, std::cmp::Reverse(it.0.clone()));
        let (data_centre, remote_bytes) = bytes_by_place.into_iter().max_by_key(most)?;
        Some(Self { data_centre, remote_bytes })
    }
}

impl StageWork {
    /// Returns the work with its times counted from `now_ms`, for an entry with another clock.
    pub fn with_relative_times(&self, now_ms: u64) -> Self {
        Self {
            soft_deadline_ms: self.soft_deadline_ms.saturating_sub(now_ms),
            deadline_ms: self.deadline_ms.saturating_sub(now_ms),
            ..self.clone()
        }
    }

    /// Returns work whose times count from `now_ms` with its times on the own clock.
    pub fn with_absolute_times(self, now_ms: u64) -> Self {
        Self {
            soft_deadline_ms: now_ms + self.soft_deadline_ms,
            deadline_ms: now_ms + self.deadline_ms,
            ..self
        }
    }

    /// Returns the place of the work when a call that starts now takes `call_ms`.
    pub(crate) fn place(&self, is_untouched: bool, now_ms: u64, call_ms: f64) -> Place {
        let is_late = now_ms as f64 + call_ms > self.soft_deadline_ms as f64;
        let due_ms = if is_late { self.deadline_ms } else { self.soft_deadline_ms };
        Place {
            is_untouched,
            is_late,
            due_ms: due_ms + u64::from(self.priority) * PRIORITY_STEP_MS,
        }
    }
}
