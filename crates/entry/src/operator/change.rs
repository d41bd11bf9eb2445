//! Carries a change through to a result by making the platform calls that its flow asks for.

use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;
use yuccatrail_core::control::{
    ChangeAction, ChangeEvent, ChangeFlow, ChangeId, ChangeResult, ConfigRecord, ControlUpdate,
    Stored,
};
use yuccatrail_platform::{
    Backoff, BackoffSettings, CURRENT, Client, Kind, PlatformError, ResourceVersion,
};

use super::announce::Entries;

/// Result of a change with the last error on the way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Settled<T> {
    /// Result of the change.
    pub(crate) result: ChangeResult,
    /// Record that was written last, which is the accepted one if the change was accepted.
    pub(crate) written: Option<T>,
    /// Last error on the way.
    pub(crate) last_error: Option<PlatformError>,
}

impl<T> Settled<T> {
    /// Returns the record that is in force through this change.
    pub(crate) fn accepted(&self) -> Option<&T> {
        match self.result {
            ChangeResult::Accepted { .. } => self.written.as_ref(),
            _ => None,
        }
    }

    /// Describes why the change did not come through.
    pub(crate) fn detail(&self) -> String {
        match &self.last_error {
            Some(error) => error.to_string(),
            None => "the platform changed too often while the command ran".to_owned(),
        }
    }
}

/// Draws the token by which a change finds itself in the stored history.
pub(crate) fn new_author() -> ChangeId {
    ChangeId(rand::random())
}

/// Drives a flow until it is finished or the deadline has passed.
pub(crate) async fn carry_out<T>(
    client: &Client,
    kind: Kind,
    mut flow: ChangeFlow<T>,
    deadline: Instant,
) -> Settled<T>
where
    T: Clone + Serialize + DeserializeOwned,
{
    let mut calls = Calls::new(client, kind);
    let mut action = flow.start();
    let mut written = None;
    loop {
        if let ChangeAction::Finished(result) = action {
            return Settled { result, written, last_error: calls.last_error };
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
        if calls.is_failing {
            calls.pause(deadline).await;
        }
        action = flow.handle(event);
    }
}

/// Puts a document into force and passes it on to the entries.
pub(crate) async fn put_into_force(
    client: &Client,
    flow: ChangeFlow<ConfigRecord>,
    deadline: Instant,
) -> Settled<ConfigRecord> {
    let change = carry_out(client, Kind::Environments, flow, deadline);
    let (entries, settled) = tokio::join!(Entries::listed(client), change);
    if let Some(record) = settled.accepted() {
        let config = Some(record.clone());
        entries.announce(ControlUpdate { config, operations: None }).await;
    }
    settled
}

/// Platform calls of one change.
struct Calls<'a> {
    client: &'a Client,
    kind: Kind,
    backoff: Backoff,
    /// Versions that were read; a flow names them by their position.
    revisions: Vec<ResourceVersion>,
    /// Whether the answer to any write was lost.
    is_ambiguous: bool,
    /// Whether the last call got no usable answer.
    is_failing: bool,
    last_error: Option<PlatformError>,
}

impl<'a> Calls<'a> {
    fn new(client: &'a Client, kind: Kind) -> Self {
        Self {
            client,
            kind,
            backoff: Backoff::new(BackoffSettings::default()),
            revisions: Vec::new(),
            is_ambiguous: false,
            is_failing: false,
            last_error: None,
        }
    }

    /// Reads the object; none means that repeating the call can't help.
    async fn read<T: DeserializeOwned>(&mut self) -> Option<ChangeEvent<T>> {
        match self.client.get::<Stored<T>>(self.kind, CURRENT).await {
            Ok(Some(object)) => {
                self.is_failing = false;
                let revision = self.revisions.len() as u64;
                self.revisions.push(object.resource_version);
                Some(ChangeEvent::Read { revision, stored: object.spec })
            }
            Ok(None) => {
                self.is_failing = false;
                Some(ChangeEvent::Missing)
            }
            Err(error) => self.failed(error, ChangeEvent::ReadFailed),
        }
    }

    /// Writes the object; none means that repeating the call can't help.
    async fn write<T: Serialize + DeserializeOwned>(
        &mut self,
        if_revision: Option<u64>,
        stored: &Stored<T>,
    ) -> Option<ChangeEvent<T>> {
        let result = match if_revision {
            None => self.client.create(self.kind, CURRENT, stored).await,
            Some(revision) => {
                // The flow only repeats positions that a read has returned.
                let from = &self.revisions[revision as usize];
                self.client.update(self.kind, CURRENT, from, stored).await
            }
        };
        match result {
            Ok(_) => Some(ChangeEvent::Written),
            Err(PlatformError::AlreadyExists { .. } | PlatformError::Conflict { .. }) => {
                self.is_failing = false;
                Some(ChangeEvent::Conflict)
            }
            Err(error @ PlatformError::AnswerLost { .. }) => {
                self.is_ambiguous = true;
                self.failed(error, ChangeEvent::AnswerLost)
            }
            Err(error) => self.failed(error, ChangeEvent::Unavailable),
        }
    }

    fn failed<T>(&mut self, error: PlatformError, event: ChangeEvent<T>) -> Option<ChangeEvent<T>> {
        let is_final =
            !matches!(error, PlatformError::Unavailable { .. } | PlatformError::AnswerLost { .. });
        self.is_failing = true;
        self.last_error = Some(error);
        if is_final {
            return None;
        }
        Some(event)
    }

    /// Waits before the next call, at most until the deadline.
    async fn pause(&mut self, deadline: Instant) {
        let retry_after_ms = match &self.last_error {
            Some(PlatformError::Unavailable { retry_after_ms, .. }) => *retry_after_ms,
            _ => None,
        };
        let delay = self.backoff.fail(retry_after_ms, rand::random());
        tokio::time::sleep_until(deadline.min(Instant::now() + delay)).await;
    }

    /// Ends without the flow's result; a write without an answer may still take effect.
    fn give_up<T>(self) -> Settled<T> {
        let result = match self.is_ambiguous {
            true => ChangeResult::Undecided,
            false => ChangeResult::NotAccepted,
        };
        Settled { result, written: None, last_error: self.last_error }
    }
}
