//! RPC server for the other entries.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use log::warn;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::Instant,
};
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    ownership::EntryAddress,
    quarantine::Strike,
    rollout::{RolloutDirective, RolloutReport},
    route_table::{ConfigurationPart, PartRequest},
    stream_origin::{BegunStreams, StreamKey, StreamOrigin},
    upstreams::{ListCorrections, PlatformLists},
};
use yuccatrail_rpc::{
    entries::{EntryPeer, FollowerState, HelloReply, StageReply, StageRequest, UpdatesReply},
    transport,
};
use yuccatrail_runtime::accept::accept;

use crate::relay::{configurations, state::Relay};

/// Longest time for which a follower's question is held, in milliseconds.
const MAX_UPDATES_WAIT_MS: u64 = 2_000;

/// Handler of the RPCs of one connection.
#[derive(Clone)]
struct Connection {
    relay: Arc<Relay>,
}

impl EntryPeer for Connection {
    async fn hello(
        self,
        _: Context,
        from: EntryAddress,
        strikes: Vec<Strike>,
        corrections: ListCorrections,
        begun: Vec<BegunStreams>,
    ) -> HelloReply {
        let now_ms = self.relay.now_ms();
        self.relay.streams().merge(&begun, now_ms);
        self.relay.crashes.merge(&strikes, now_ms);
        self.relay.merge_corrections(&corrections);
        // Without the platform, a restarted entry finds the others by their hellos.
        if !self.relay.upstreams().has_platform_list() {
            self.relay.peers.set_address(&self.relay, from);
        }
        let queues = self.relay.stages.states(&self.relay);
        let config_version = self.relay.table().map(|it| it.version());
        let revisions = self.relay.upstreams().revisions();
        let list_revisions = self.relay.follows_platform().then_some(revisions);
        let strikes = self.relay.crashes.recent(now_ms);
        let takes_work = self.relay.is_ready();
        let corrections = self.relay.upstreams().corrections(now_ms);
        let versions = self.relay.upstreams().reported_versions(now_ms);
        HelloReply {
            takes_work,
            config_version,
            list_revisions,
            queues,
            strikes,
            corrections,
            versions: list_revisions.map(|_| versions),
        }
    }

    async fn stream_origin(self, _: Context, stream: StreamKey) -> Option<StreamOrigin> {
        self.relay.streams().origin_of(stream).cloned()
    }

    async fn version_keeping(
        self,
        _: Context,
        service: Arc<str>,
        part: String,
    ) -> Option<Arc<str>> {
        self.relay.prompt_holders.version_keeping(&self.relay, &service, &part).await
    }

    async fn entries(self, _: Context) -> Vec<EntryAddress> {
        self.relay.peers.addresses()
    }

    async fn updates(
        self,
        _: Context,
        state: FollowerState,
        corrections: ListCorrections,
        wait_ms: u64,
    ) -> UpdatesReply {
        self.relay.merge_corrections(&corrections);
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(MAX_UPDATES_WAIT_MS));
        let mut changed = self.relay.updates.subscribe();
        loop {
            changed.borrow_and_update();
            let reply = self.relay.updates_for(state);
            let has_news = !reply.updates.is_empty() || reply.config_version > state.config_version;
            if has_news || Instant::now() >= deadline {
                return reply;
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }

    async fn configuration_part(
        self,
        _: Context,
        request: PartRequest,
    ) -> Option<ConfigurationPart> {
        configurations::part(&self.relay, request).await
    }

    async fn beliefs(self, _: Context) -> Option<PlatformLists> {
        if !self.relay.follows_platform() {
            return None;
        }
        self.relay.upstreams().platform_lists(self.relay.now_ms())
    }

    async fn run_stage(self, _: Context, request: StageRequest) -> StageReply {
        // A graceful shutdown also waits for work on behalf of other entries.
        let _in_progress = self.relay.begin_request();
        let (end, handles) = self.relay.stages.run_for_peer(&self.relay, request).await;
        StageReply { end, handles }
    }

    async fn release(self, _: Context, handles: Vec<String>) {
        self.relay.releases.add_delegated(handles);
    }

    async fn exchange_rollouts(
        self,
        _: Context,
        from: String,
        reports: Vec<RolloutReport>,
    ) -> Vec<RolloutDirective> {
        self.relay.rollouts.serve_exchange(&self.relay, &from, &reports)
    }
}

/// Serves the other entries until `stop` is cancelled.
pub(crate) async fn serve(listener: Arc<TcpListener>, relay: Arc<Relay>, stop: CancellationToken) {
    accept(&listener, &stop, |stream| {
        tokio::spawn(serve_connection(stream, relay.clone()));
    })
    .await;
}

async fn serve_connection(stream: TcpStream, relay: Arc<Relay>) {
    let transport = match transport::accept(stream).await {
        Ok(transport) => transport,
        Err(error) => {
            warn!(error:% = error; "failed to accept a connection of another entry");
            return;
        }
    };
    let channel = BaseChannel::with_defaults(Box::pin(transport));
    let responses = channel.execute(Connection { relay }.serve());
    responses
        .for_each(|response| async move {
            tokio::spawn(response);
        })
        .await;
}
