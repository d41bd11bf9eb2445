//! Calls among entries that share the work of stage services.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use yuccatrail_core::{
    batching::{GroupOutcome, StageWork},
    quarantine::Strike,
    route_table::Configuration,
    upstreams::{ListRevisions, PlatformLists},
};

/// An entry and where others reach it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Name of the entry.
    pub name: String,
    /// Address on which other entries reach it.
    pub peer_address: SocketAddr,
    /// Part of a core that it may use.
    pub cpu_share: f64,
}

/// State of an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HelloReply {
    /// Whether the entry takes work: it knows what it has to know and does not stop.
    pub takes_work: bool,
    /// Version of the configuration in force; none before the first.
    pub config_version: Option<u64>,
    /// Revisions of the platform's lists; none unless the entry follows the platform now.
    pub list_revisions: Option<ListRevisions>,
    /// Queues of the stage services.
    pub queues: Vec<QueueState>,
    /// Strikes against requests that crash upstreams.
    pub strikes: Vec<Strike>,
}

/// State of the queue of one stage service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueState {
    /// Name of the service.
    pub service: String,
    /// Expected time until one more piece would be made, in milliseconds.
    pub wait_ms: u64,
    /// Whether more pieces wait than one call takes.
    #[serde(rename = "is_pressed")]
    pub has_backlog: bool,
}

/// Asks the owner of a stage service for all pieces of one stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageRequest {
    /// Name of the service.
    pub service: String,
    /// The work; its times count from the sending of the request.
    pub work: StageWork,
}

/// How the work of a stage ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageReply {
    /// The end.
    pub end: GroupOutcome,
    /// Results in the order of the pieces.
    pub handles: Vec<String>,
}

/// Calls that an entry answers to another.
#[tarpc::service]
pub trait EntryPeer {
    /// Tells whether the entry takes work; `from` is the entry that asks, `strikes` are those that it
    /// knows.
    async fn hello(from: EntryAddress, strikes: Vec<Strike>) -> HelloReply;
    /// Returns the entries that this one knows.
    async fn entries() -> Vec<EntryAddress>;
    /// Returns the configuration in force; none before the first.
    async fn configuration() -> Option<Arc<Configuration>>;
    /// Returns what the entry knows from the platform; none unless it follows the platform now.
    async fn beliefs() -> Option<PlatformLists>;
    /// Makes all pieces of one stage.
    async fn run_stage(request: StageRequest) -> StageReply;
    /// Releases results that nobody needs any more.
    async fn release(handles: Vec<String>);
}
