//! RPC service by which entries share the work of stage services among themselves.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatrail_core::{
    batching::{GroupOutcome, StageWork},
    ownership::EntryAddress,
    platform_updates::{LogCursor, PlatformUpdate},
    quarantine::Strike,
    rollout::{RolloutDirective, RolloutReport},
    route_table::{ConfigurationPart, PartRequest},
    stream_origin::{BegunStreams, StreamKey, StreamOrigin},
    upstreams::{ListCorrections, ListRevisions, PlatformLists, ReportedVersions},
};

/// Response to [`EntryPeer::hello`]: the state of the responding entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HelloReply {
    /// Whether the entry accepts work: it has the state that it needs and is not shutting down.
    pub takes_work: bool,
    /// Version of the active configuration; `None` until the entry has received one.
    pub config_version: Option<u64>,
    /// Revisions of the platform's lists; `None` unless the entry currently receives the platform's
    /// updates.
    pub list_revisions: Option<ListRevisions>,
    /// State of the queues of all stage services at this entry, also of those that it does not own.
    pub queues: Vec<QueueState>,
    /// Strikes against requests during which an upstream crashed.
    pub strikes: Vec<Strike>,
    /// What the entry knows beyond the platform's lists.
    pub corrections: ListCorrections,
    /// Software versions that services had lately; `None` unless the entry currently receives the
    /// platform's updates.
    pub versions: Option<ReportedVersions>,
}

/// Queue of one stage service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueState {
    /// Name of the service.
    pub service: String,
    /// Expected time until a piece that is queued now would be completed, in milliseconds.
    pub wait_ms: u64,
    /// Whether more pieces are queued than fit in one call.
    #[serde(rename = "is_pressed")]
    pub has_backlog: bool,
}

/// Asks the owner of a stage service to run all pieces of one stage of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageRequest {
    /// Name of the service.
    pub service: String,
    /// The pieces to run; times in it are relative to the moment at which the request is sent.
    pub work: StageWork,
}

/// Outcome of a [`StageRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageReply {
    /// Whether all pieces were completed, or why not.
    pub end: GroupOutcome,
    /// Handles of the results, in the order of the pieces.
    pub handles: Vec<String>,
}

/// What a follower has, for [`EntryPeer::updates`].
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct FollowerState {
    /// Position up to which it has received the updates; `None` if it needs the complete lists.
    pub cursor: Option<LogCursor>,
    /// Version of its active configuration.
    pub config_version: Option<u64>,
}

/// Response to [`EntryPeer::updates`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpdatesReply {
    /// Position after the updates; `None` if the entry does not follow the platform itself, and then
    /// there are none.
    pub cursor: Option<LogCursor>,
    /// Version of the active configuration.
    pub config_version: Option<u64>,
    /// Updates in their order.
    pub updates: Vec<Arc<PlatformUpdate>>,
    /// What the entry knows beyond the platform's lists.
    pub corrections: ListCorrections,
}

/// Calls that an entry accepts from other entries.
#[tarpc::service]
pub trait EntryPeer {
    /// Returns the state of the entry; `from` is the calling entry, `strikes` and `corrections` are
    /// those that it knows of, `begun` the streams that it has begun since the last call, if this entry
    /// is a registrar.
    async fn hello(
        from: EntryAddress,
        strikes: Vec<Strike>,
        corrections: ListCorrections,
        begun: Vec<BegunStreams>,
    ) -> HelloReply;
    /// Returns where a stream began; `None` if the entry does not know.
    async fn stream_origin(stream: StreamKey) -> Option<StreamOrigin>;
    /// Returns the only software version of a service whose upstreams keep a part of a prompt; `None` if
    /// there is no such version or the entry could not find out.
    async fn version_keeping(service: Arc<str>, part: String) -> Option<Arc<str>>;
    /// Returns the entries that this entry knows of.
    async fn entries() -> Vec<EntryAddress>;
    /// Returns a part of the change to the active configuration; `None` if the caller has it already, or
    /// the entry has none.
    async fn configuration_part(request: PartRequest) -> Option<ConfigurationPart>;
    /// Returns the platform's lists as the entry knows them; `None` unless it currently receives
    /// the platform's updates.
    async fn beliefs() -> Option<PlatformLists>;
    /// Returns the platform's updates that a follower lacks, as soon as there are any, at the latest
    /// after `wait_ms` milliseconds. `corrections` are those that the follower knows of.
    async fn updates(
        state: FollowerState,
        corrections: ListCorrections,
        wait_ms: u64,
    ) -> UpdatesReply;
    /// Runs all pieces of one stage and returns when the stage has ended.
    async fn run_stage(request: StageRequest) -> StageReply;
    /// Releases results that are no longer needed.
    async fn release(handles: Vec<String>);
    /// Merges reports on roll-outs that this entry owns or is second for; returns what the entry `from`
    /// has to do, which is empty unless this entry is the owner.
    async fn exchange_rollouts(from: String, reports: Vec<RolloutReport>) -> Vec<RolloutDirective>;
}
