//! Conditional writes of a roll-out's status, and reads of its object.

use std::sync::Arc;

use hyper::Method;
use log::{info, warn};
use yuccatrail_adapter::{
    decode_rollout, encode_rollout_status, rollout_path, rollout_status_path,
};
use yuccatrail_core::rollout::{RolloutObject, StatusWrite, WriteOutcome};
use yuccatrail_platform::{Client, ConditionalReply};

use crate::relay::state::Relay;

/// Delay before a failed call to the platform is repeated, in milliseconds.
const RETRY_MS: u64 = 200;
/// Longest delay before a failed call is repeated, in milliseconds: a verdict is written at most this
/// long after the platform responds again.
const MAX_RETRY_MS: u64 = 800;

/// Call to the platform for one roll-out, of which there is at most one at a time.
#[derive(Debug, Default)]
pub(super) struct PendingCall {
    is_in_progress: bool,
    /// Number of calls that have failed since the last successful one.
    failures: u32,
    /// Time before which no call is made, in milliseconds.
    not_before_ms: u64,
}

impl PendingCall {
    /// Tells whether a call may be made now.
    pub(super) fn may_begin(&self, now_ms: u64) -> bool {
        !self.is_in_progress && now_ms >= self.not_before_ms
    }

    pub(super) fn begin(&mut self) {
        self.is_in_progress = true;
    }

    fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Records a failed call; tells whether to log it, which is rarer the longer calls fail.
    fn fail(&mut self, now_ms: u64) -> bool {
        self.is_in_progress = false;
        self.failures = self.failures.saturating_add(1);
        let delay_ms = RETRY_MS.saturating_mul(u64::from(self.failures)).min(MAX_RETRY_MS);
        self.not_before_ms = now_ms + delay_ms;
        self.failures.is_power_of_two()
    }
}

/// Writes a status on the condition that the object has not changed, and records the outcome.
pub(super) async fn write_status(relay: Arc<Relay>, client: Client, write: StatusWrite) {
    let written = try_write(&client, &write).await;
    let now_ms = relay.now_ms();
    let mut services = relay.rollouts.services();
    let Some(rollout) = services.get_mut(&write.service) else { return };
    let outcome = match written {
        Ok(outcome) => {
            rollout.call.succeed();
            log_outcome(&write, &outcome);
            outcome
        }
        Err(detail) => {
            if rollout.call.fail(now_ms) {
                warn!(
                    service:% = write.service,
                    state:? = write.status.state,
                    revision = write.revision,
                    failures = rollout.call.failures,
                    detail:% = detail;
                    "outcome of writing the status of a roll-out is unknown"
                );
            }
            WriteOutcome::Unknown
        }
    };
    rollout.decider.record_write(&write, outcome, now_ms);
}

/// Makes the write; returns the reason if its outcome is unknown.
async fn try_write(client: &Client, write: &StatusWrite) -> Result<WriteOutcome, String> {
    let service = &write.service;
    let body = encode_rollout_status(service, write.revision, &write.status);
    let path = rollout_status_path(service);
    let reply = client.write_if_unchanged(service, Method::PUT, &path, body).await;
    match reply.map_err(|it| it.to_string())? {
        ConditionalReply::Written(reply) => match decode_rollout(&reply.body) {
            Ok(object) => Ok(WriteOutcome::Done { revision: object.revision }),
            // The response does not show the revision of the write, and the object does.
            Err(_) => read_back(client, write).await,
        },
        ConditionalReply::Changed(reply) => match decode_rollout(&reply.body) {
            Ok(object) => Ok(WriteOutcome::Conflict(Some(object))),
            Err(detail) => Err(format!("the object has changed and can't be read: {detail}")),
        },
        ConditionalReply::Missing => Ok(WriteOutcome::Conflict(None)),
    }
}

async fn read_back(client: &Client, write: &StatusWrite) -> Result<WriteOutcome, String> {
    let Some(object) = try_read(client, &write.service).await? else {
        return Ok(WriteOutcome::Conflict(None));
    };
    if object.status.as_ref() == Some(&write.status) {
        return Ok(WriteOutcome::Done { revision: object.revision });
    }
    Ok(WriteOutcome::Conflict(Some(object)))
}

/// Reads the object of a service's roll-out, and records it.
pub(super) async fn read_order(relay: Arc<Relay>, client: Client, service: Arc<str>) {
    let read = try_read(&client, &service).await;
    let now_ms = relay.now_ms();
    let mut services = relay.rollouts.services();
    let Some(rollout) = services.get_mut(&service) else { return };
    match read {
        Ok(object) => {
            rollout.call.succeed();
            info!(
                service:% = service,
                revision = object.as_ref().map_or(0, |it| it.revision),
                state:? = object.as_ref().and_then(RolloutObject::state);
                "roll-out read again"
            );
            rollout.decider.record_read(&service, object, now_ms);
        }
        Err(detail) => {
            if rollout.call.fail(now_ms) {
                let failures = rollout.call.failures;
                warn!(service:% = service, failures = failures, detail:% = detail; "failed to read a roll-out");
            }
        }
    }
}

/// Reads an object; none if it does not exist.
async fn try_read(client: &Client, service: &str) -> Result<Option<RolloutObject>, String> {
    let reply = client.read_if_present(service, &rollout_path(service)).await;
    let Some(reply) = reply.map_err(|it| it.to_string())? else { return Ok(None) };
    decode_rollout(&reply.body).map(Some)
}

fn log_outcome(write: &StatusWrite, outcome: &WriteOutcome) {
    let (result, revision) = match outcome {
        WriteOutcome::Done { revision } => ("written", *revision),
        WriteOutcome::Conflict(Some(object)) => {
            ("refused, the object has changed", object.revision)
        }
        WriteOutcome::Conflict(None) => ("refused, the object is gone", 0),
        WriteOutcome::Unknown => ("unknown", 0),
    };
    info!(
        service:% = write.service,
        to:% = write.status.to,
        state:? = write.status.state,
        based_on = write.revision,
        revision = revision,
        result = result;
        "status of a roll-out written"
    );
}

#[cfg(test)]
mod tests;
