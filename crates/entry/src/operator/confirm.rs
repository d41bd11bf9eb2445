//! Waits until every entry reports a version.

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

/// Time between two rounds of status calls, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 200;

/// Part of the control state that a change is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// The environment document.
    Config,
    /// The operational state.
    Operations,
}

impl Part {
    fn of(self, versions: Versions) -> u64 {
        match self {
            Self::Config => versions.config,
            Self::Operations => versions.operations,
        }
    }
}

/// A listed entry with what it reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EntryReport {
    /// Name in the instance list.
    pub(crate) name: String,
    /// Address in the instance list.
    pub(crate) address: SocketAddr,
    /// What the entry reported.
    pub(crate) status: Result<EntryStatus, StatusError>,
}

/// Waits up to `wait_ms` until every live entry reports a change that was accepted.
///
/// Any other outcome, and any outcome without `wait_ms`, is returned as it is.
pub(crate) async fn confirm(
    outcome: Outcome,
    client: &Client,
    part: Part,
    wait_ms: Option<u64>,
) -> Outcome {
    let (Some(wait_ms), Some(version)) = (wait_ms, accepted_version(&outcome)) else {
        return outcome;
    };
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let (count, missing) = match reports(client).await {
            Ok(reports) => (reports.len(), lacking(&reports, part, version)),
            Err(error) => (0, vec![error.to_string()]),
        };
        if missing.is_empty() {
            return with_entries(outcome, count);
        }
        if Instant::now() >= deadline {
            return Outcome::NotConfirmed { version, missing };
        }
        tokio::time::sleep(Duration::from_millis(ROUND_INTERVAL_MS)).await;
    }
}

/// Asks every live entry of the instance list for its status.
pub(crate) async fn reports(client: &Client) -> Result<Vec<EntryReport>, PlatformError> {
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
pub(crate) fn lacking(reports: &[EntryReport], part: Part, version: u64) -> Vec<String> {
    let mut missing = Vec::new();
    for report in reports {
        match &report.status {
            Ok(status) if part.of(status.versions) >= version => {}
            Ok(status) => {
                missing.push(format!("{} (version {})", report.name, part.of(status.versions)));
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

fn with_entries(outcome: Outcome, count: usize) -> Outcome {
    match outcome {
        Outcome::Accepted { version, .. } => Outcome::Accepted { version, entries: Some(count) },
        Outcome::AlreadyInForce { version, .. } => {
            Outcome::AlreadyInForce { version, entries: Some(count) }
        }
        other => other,
    }
}
