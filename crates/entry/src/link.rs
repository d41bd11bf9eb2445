//! Connection to one agent, with heartbeats.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use log::info;
use tarpc::{client::Config, context};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    control::Versions,
    membership::{Upstream, UpstreamKey},
};
use yuccatrail_rpc::{
    messages::{Echo, Feedback, SyncReply, SyncRequest},
    service::AgentClient,
    transport::{self, TransportError},
};

use crate::fleet::Fleet;

/// Time after which a heartbeat without a reply closes the connection.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum wait for an agent to confirm strikes.
const STRIKES_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay between two connection attempts.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);

/// Latest feedback of an agent.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    /// State of the agent and of its upstream.
    pub(crate) feedback: Feedback,
    /// Time of receipt on the entry's clock, in milliseconds.
    pub(crate) received_ms: u64,
}

impl Report {
    /// Converts a time on the entry's clock to the agent's clock.
    ///
    /// The agent read its clock before the entry received the report, so the result is never later
    /// than the true time.
    pub(crate) fn agent_time_ms(&self, entry_time_ms: u64) -> u64 {
        (self.feedback.now_ms + entry_time_ms).saturating_sub(self.received_ms)
    }

    /// Identifies the report in a later request, from which the agent learns the request's age.
    fn echo(&self) -> Echo {
        Echo { incarnation: self.feedback.incarnation, now_ms: self.feedback.now_ms }
    }
}

/// Follow-up that an agent requests in the reply to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SyncFollowUp {
    /// Whether the agent requests another exchange at once.
    pub(crate) again: bool,
    /// Versions of the control state that the agent holds.
    pub(crate) agent_versions: Versions,
}

#[derive(Default)]
struct State {
    client: Option<AgentClient>,
    report: Option<Report>,
}

/// Connection to one agent, reopened whenever it breaks.
pub(crate) struct Link {
    /// Name of the upstream.
    pub(crate) name: String,
    /// Pool of the upstream.
    pub(crate) pool: String,
    /// Data centre of the upstream.
    pub(crate) data_centre: String,
    /// Address of the agent.
    pub(crate) address: SocketAddr,
    key: UpstreamKey,
    fleet: Arc<Fleet>,
    state: Mutex<State>,
    heartbeat_requested: Notify,
    stop: CancellationToken,
}

impl Link {
    /// Creates the connection to an upstream's agent and starts the task that maintains it.
    pub(crate) fn open(fleet: Arc<Fleet>, key: UpstreamKey, upstream: &Upstream) -> Arc<Self> {
        let link = Arc::new(Self {
            name: upstream.name().to_owned(),
            pool: upstream.pool().unwrap_or_default().to_owned(),
            data_centre: upstream.data_centre().to_owned(),
            address: upstream.address(),
            key,
            fleet,
            state: Mutex::new(State::default()),
            heartbeat_requested: Notify::new(),
            stop: CancellationToken::new(),
        });
        tokio::spawn(link.clone().keep_connected());
        link
    }

    /// Ends the heartbeats; attempts in progress keep their client.
    pub(crate) fn stop(&self) {
        self.stop.cancel();
    }

    /// Returns the client and the latest report while the agent is reachable.
    pub(crate) fn connection(&self) -> Option<(AgentClient, Report)> {
        let state = self.lock();
        Some((state.client.clone()?, state.report.clone()?))
    }

    /// Returns the latest report while the agent is reachable.
    pub(crate) fn report(&self) -> Option<Report> {
        let state = self.lock();
        state.client.as_ref()?;
        state.report.clone()
    }

    /// Sends a heartbeat at once, because a call failed and the connection may be broken.
    pub(crate) fn request_heartbeat(&self) {
        self.heartbeat_requested.notify_one();
    }

    /// Applies the feedback from the reply to a request that was sent at `sent_ms`.
    pub(crate) fn apply_feedback(&self, feedback: Feedback, sent_ms: u64) {
        self.fleet.on_feedback(self.key, &feedback, sent_ms);
        let report = Report { feedback, received_ms: self.fleet.clock.now_ms() };
        self.lock().report = Some(report);
    }

    /// Sends the agent the control state newer than `known_versions`, and adopts newer state from
    /// the reply.
    ///
    /// Returns the follow-up that the agent requests, or `None` if the call failed.
    pub(crate) async fn sync(
        &self,
        client: &AgentClient,
        known_versions: Versions,
    ) -> Option<SyncFollowUp> {
        let sent_ms = self.fleet.clock.now_ms();
        let request = self.sync_request(known_versions, sent_ms);
        let reply = client.sync(context_for(HEARTBEAT_TIMEOUT), request).await.ok()?;
        let follow_up =
            SyncFollowUp { again: reply.sync_again, agent_versions: reply.feedback.versions };
        self.apply_sync_reply(client, reply, sent_ms);
        Some(follow_up)
    }

    /// Records that a call to the agent failed; the next reply to a heartbeat shows whether it is
    /// reachable again.
    pub(crate) fn on_call_failed(&self) {
        self.fleet.on_contact_failed(self.key);
    }

    /// Sends the recent strikes to the agent, if it is reachable.
    pub(crate) async fn propagate_strikes(&self) {
        let Some((client, report)) = self.connection() else { return };
        let propagation = self.sync(&client, report.feedback.versions);
        // If this times out, the next heartbeat carries the strikes.
        let _ = tokio::time::timeout(STRIKES_TIMEOUT, propagation).await;
    }

    async fn keep_connected(self: Arc<Self>) {
        while !self.stop.is_cancelled() {
            let Ok(client) = self.connect().await else {
                self.fleet.on_contact_failed(self.key);
                tokio::time::sleep(RECONNECT_INTERVAL).await;
                continue;
            };
            self.send_heartbeats(&client).await;
            self.lock().client = None;
            self.fleet.on_contact_failed(self.key);
            info!(upstream:% = self.name; "connection to agent closed");
        }
    }

    async fn connect(&self) -> Result<AgentClient, TransportError> {
        let connecting = transport::connect(self.address);
        let transport = match tokio::time::timeout(HEARTBEAT_TIMEOUT, connecting).await {
            Ok(transport) => transport?,
            Err(_) => return Err(TransportError::TimedOut),
        };
        Ok(AgentClient::new(Config::default(), Box::pin(transport)).spawn())
    }

    /// Sends heartbeats until one gets no reply.
    ///
    /// A heartbeat carries the versions that the entry holds, and is sent at once after a change.
    /// The state itself is sent only when the agent requests it, so that an agent receives it from
    /// a single entry.
    async fn send_heartbeats(&self, client: &AgentClient) {
        let mut changed = self.fleet.control.subscribe();
        let mut follow_up = SyncFollowUp { again: false, agent_versions: Versions::default() };
        let mut sync_at_once = false;
        while !self.stop.is_cancelled() {
            let known_versions = match follow_up.again {
                true => follow_up.agent_versions,
                false => self.fleet.control.versions(),
            };
            let Some(requested) = self.sync(client, known_versions).await else { return };
            follow_up = requested;
            // An agent that refuses the state must not be sent it again without a pause.
            sync_at_once = follow_up.again && !sync_at_once;
            if sync_at_once {
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep(self.fleet.heartbeat_interval()) => {}
                _ = changed.changed() => {}
                () = self.heartbeat_requested.notified() => {}
                () = self.stop.cancelled() => {}
            }
        }
    }

    fn sync_request(&self, known_versions: Versions, now_ms: u64) -> SyncRequest {
        let control = &self.fleet.control;
        // The fleet is queried before this link is locked, because the fleet locks links itself.
        let is_listed_leaving = self.fleet.is_listed_leaving(self.key);
        SyncRequest {
            from: self.fleet.incarnation,
            versions: control.versions(),
            update: control.update_for(known_versions),
            ages: control.ages(now_ms),
            echo: self.lock().report.as_ref().map(Report::echo),
            strikes: self.fleet.strikes.recent(now_ms),
            is_listed_leaving,
            instances: Vec::new(),
        }
    }

    fn apply_sync_reply(&self, client: &AgentClient, reply: SyncReply, sent_ms: u64) {
        self.fleet.control.adopt(reply.update, &self.name);
        self.apply_feedback(reply.feedback, sent_ms);
        let mut state = self.lock();
        if state.client.is_none() {
            state.client = Some(client.clone());
            info!(upstream:% = self.name, address:% = self.address; "connected to agent");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Creates the context of a call that times out after `timeout`.
pub(crate) fn context_for(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}
