//! Runs a change flow by making the platform calls that it requests.

use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;
use yuccatrail_core::control::{
    ChangeAction, ChangeEvent, ChangeFlow, ChangeId, ChangeResult, ConfigRecord, ControlUpdate,
    Stored,
};
use yuccatrail_platform::{
    Backoff, BackoffSettings, CURRENT, Client, Kind, PlatformError, ResourceVersion,
};

use super::propagate::Entries;

/// A change that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FinishedChange<T> {
    /// Result of the change.
    pub(crate) result: ChangeResult,
    /// Record written last, which is the accepted one if the change was accepted.
    pub(crate) written: Option<T>,
    /// Last error of a platform call.
    pub(crate) last_error: Option<PlatformError>,
}

impl<T> FinishedChange<T> {
    /// Returns the record that this change put in force, if it was accepted.
    pub(crate) fn accepted(&self) -> Option<&T> {
        match self.result {
            ChangeResult::Accepted { .. } => self.written.as_ref(),
            _ => None,
        }
    }

    /// Describes why the change was not accepted.
    pub(crate) fn detail(&self) -> String {
        match &self.last_error {
            Some(error) => error.to_string(),
            None => "the stored object changed too often while the command ran".to_owned(),
        }
    }
}

/// Generates the random identifier by which a change is found in the stored history.
pub(crate) fn new_change_id() -> ChangeId {
    ChangeId(rand::random())
}

/// Runs a flow until it ends or the deadline passes.
pub(crate) async fn run_change<T>(
    client: &Client,
    kind: Kind,
    mut flow: ChangeFlow<T>,
    deadline: Instant,
) -> FinishedChange<T>
where
    T: Clone + Serialize + DeserializeOwned,
{
    let mut calls = PlatformCalls::new(client, kind);
    let mut action = flow.start();
    let mut written = None;
    loop {
        if let ChangeAction::Finished(result) = action {
            return FinishedChange { result, written, last_error: calls.last_error };
        }
        if Instant::now() >= deadline {
            return calls.give_up();
        }
        let event = match &action {
            ChangeAction::Write { if_revision, stored } => {
                written = Some(stored.record.clone());
                calls.write(*if_revision, stored).await
            }
            _ => calls.read().await,
        };
        let Some(event) = event else { return calls.give_up() };
        if calls.last_call_failed {
            calls.back_off(deadline).await;
        }
        action = flow.handle(event);
    }
}

/// Runs a change of the environment document and, if accepted, sends the document to the entries.
pub(crate) async fn apply_document(
    client: &Client,
    flow: ChangeFlow<ConfigRecord>,
    deadline: Instant,
) -> FinishedChange<ConfigRecord> {
    let change = run_change(client, Kind::Environments, flow, deadline);
    let (entries, finished) = tokio::join!(Entries::listed(client), change);
    if let Some(record) = finished.accepted() {
        let config = Some(record.clone());
        entries.propagate(ControlUpdate { config, operations: None }).await;
    }
    finished
}

/// Platform calls of one change.
struct PlatformCalls<'a> {
    client: &'a Client,
    kind: Kind,
    backoff: Backoff,
    /// Resource versions read so far; the flow refers to them by their position, from zero.
    revisions: Vec<ResourceVersion>,
    /// Whether the response to any write was lost.
    has_lost_response: bool,
    /// Whether the last call failed for another reason than a conflict.
    last_call_failed: bool,
    last_error: Option<PlatformError>,
}

impl<'a> PlatformCalls<'a> {
    fn new(client: &'a Client, kind: Kind) -> Self {
        Self {
            client,
            kind,
            backoff: Backoff::new(BackoffSettings::default()),
            revisions: Vec::new(),
            has_lost_response: false,
            last_call_failed: false,
            last_error: None,
        }
    }

    /// Reads the object; returns `None` if the error is permanent.
    async fn read<T: DeserializeOwned>(&mut self) -> Option<ChangeEvent<T>> {
        match self.client.get::<Stored<T>>(self.kind, CURRENT).await {
            Ok(Some(object)) => {
                self.last_call_failed = false;
                let revision = self.revisions.len() as u64;
                self.revisions.push(object.resource_version);
                Some(ChangeEvent::Read { revision, stored: object.spec })
            }
            Ok(None) => {
                self.last_call_failed = false;
                Some(ChangeEvent::Missing)
            }
            Err(error) => self.on_error(error, ChangeEvent::ReadFailed),
        }
    }

    /// Writes the object; returns `None` if the error is permanent.
    async fn write<T: Serialize + DeserializeOwned>(
        &mut self,
        if_revision: Option<u64>,
        stored: &Stored<T>,
    ) -> Option<ChangeEvent<T>> {
        let result = match if_revision {
            None => self.client.create(self.kind, CURRENT, stored).await,
            Some(revision) => {
                // The flow only uses positions that a read has returned.
                let expected = &self.revisions[revision as usize];
                self.client.update(self.kind, CURRENT, expected, stored).await
            }
        };
        match result {
            Ok(_) => Some(ChangeEvent::Written),
            Err(PlatformError::AlreadyExists { .. } | PlatformError::Conflict { .. }) => {
                self.last_call_failed = false;
                Some(ChangeEvent::Conflict)
            }
            Err(error @ PlatformError::AnswerLost { .. }) => {
                self.has_lost_response = true;
                self.on_error(error, ChangeEvent::AnswerLost)
            }
            Err(error) => self.on_error(error, ChangeEvent::Unavailable),
        }
    }

    fn on_error<T>(
        &mut self,
        error: PlatformError,
        event: ChangeEvent<T>,
    ) -> Option<ChangeEvent<T>> {
        let is_permanent =
            !matches!(error, PlatformError::Unavailable { .. } | PlatformError::AnswerLost { .. });
        self.last_call_failed = true;
        self.last_error = Some(error);
        if is_permanent {
            return None;
        }
        Some(event)
    }

    /// Waits for the backoff delay, at most until the deadline.
    async fn back_off(&mut self, deadline: Instant) {
        let retry_after_ms = match &self.last_error {
            Some(PlatformError::Unavailable { retry_after_ms, .. }) => *retry_after_ms,
            _ => None,
        };
        let delay = self.backoff.fail(retry_after_ms, rand::random());
        tokio::time::sleep_until(deadline.min(Instant::now() + delay)).await;
    }

    /// Ends the change without the flow's result; a write whose response was lost may still take
    /// effect.
    fn give_up<T>(self) -> FinishedChange<T> {
        let result = match self.has_lost_response {
            true => ChangeResult::Undecided,
            false => ChangeResult::NotAccepted,
        };
        FinishedChange { result, written: None, last_error: self.last_error }
    }
}
