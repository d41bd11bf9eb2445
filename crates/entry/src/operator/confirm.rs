//! Waits until every entry reports an accepted change.

use std::{net::SocketAddr, time::Duration};

use futures::future::join_all;
use tokio::time::Instant;
use yuccatrail_core::{
    control::Versions,
    membership::{InstanceRecord, InstanceRole, InstanceState},
};
use yuccatrail_platform::{Client, Kind, PlatformError};

use super::{
    entry_status::{EntryStatus, StatusError},
    outcome::Outcome,
    peer_status,
};

/// Interval between two rounds of status calls, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 200;

/// Part of the control state that a change affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ControlPart {
    /// The environment document.
    Config,
    /// The operational state.
    Operations,
}

impl ControlPart {
    fn version(self, versions: Versions) -> u64 {
        match self {
            Self::Config => versions.config,
            Self::Operations => versions.operations,
        }
    }
}

/// Response of an entry to a status call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EntryReport {
    /// Name in the instance list.
    pub(crate) name: String,
    /// Address in the instance list.
    pub(crate) address: SocketAddr,
    /// Reported status, or why it is not known.
    pub(crate) status: Result<EntryStatus, StatusError>,
}

/// Waits up to `wait_ms` until every live entry reports an accepted change.
///
/// Any other outcome, and any outcome without `wait_ms`, is returned unchanged.
pub(crate) async fn confirm(
    outcome: Outcome,
    client: &Client,
    part: ControlPart,
    wait_ms: Option<u64>,
) -> Outcome {
    let (Some(wait_ms), Some(version)) = (wait_ms, accepted_version(&outcome)) else {
        return outcome;
    };
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let (count, missing) = match entry_reports(client).await {
            Ok(reports) => (reports.len(), unconfirmed_entries(&reports, part, version)),
            Err(error) => (0, vec![error.to_string()]),
        };
        if missing.is_empty() {
            return with_entry_count(outcome, count);
        }
        if Instant::now() >= deadline {
            return Outcome::NotConfirmed { version, missing };
        }
        tokio::time::sleep(Duration::from_millis(ROUND_INTERVAL_MS)).await;
    }
}

/// Requests the status of every live entry in the instance list.
pub(crate) async fn entry_reports(client: &Client) -> Result<Vec<EntryReport>, PlatformError> {
    let list = client.list::<InstanceRecord>(Kind::Instances).await?;
    let mut calls = Vec::new();
    for object in list.objects {
        let instance = object.spec;
        if instance.role != InstanceRole::Entry || instance.state != InstanceState::Live {
            continue;
        }
        calls.push(async move {
            let status = peer_status::read(instance.address).await;
            EntryReport { name: instance.name, address: instance.address, status }
        });
    }
    Ok(join_all(calls).await)
}

/// Describes the entries that do not report `version` or a newer one.
pub(crate) fn unconfirmed_entries(
    reports: &[EntryReport],
    part: ControlPart,
    version: u64,
) -> Vec<String> {
    let mut missing = Vec::new();
    for report in reports {
        match &report.status {
            Ok(status) if part.version(status.versions) >= version => {}
            Ok(status) => {
                missing.push(format!(
                    "{} (version {})",
                    report.name,
                    part.version(status.versions)
                ));
            }
            Err(error) => missing.push(format!("{} ({error})", report.name)),
        }
    }
    missing
}

fn accepted_version(outcome: &Outcome) -> Option<u64> {
    match outcome {
        Outcome::Accepted { version, .. } | Outcome::AlreadyInForce { version, .. } => {
            Some(*version)
        }
        _ => None,
    }
}

fn with_entry_count(outcome: Outcome, count: usize) -> Outcome {
    match outcome {
        Outcome::Accepted { version, .. } => Outcome::Accepted { version, entries: Some(count) },
        Outcome::AlreadyInForce { version, .. } => {
            Outcome::AlreadyInForce { version, entries: Some(count) }
        }
        other => other,
    }
}
