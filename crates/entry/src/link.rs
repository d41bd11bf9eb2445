//! Connection of the entry to one agent.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use log::info;
use tarpc::{client::Config, context};
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

/// Time between two heartbeats on a connection.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an unanswered heartbeat closes the connection.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);

/// Last state that an agent reported.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    /// The agent's own words.
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

    /// Names the report in a later request.
    fn echo(&self) -> Echo {
        Echo { incarnation: self.feedback.incarnation, now_ms: self.feedback.now_ms }
    }
}

#[derive(Default)]
struct State {
    client: Option<AgentClient>,
    report: Option<Report>,
}

/// Connection to one agent, which is opened again whenever it breaks.
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
    stop: CancellationToken,
}

impl Link {
    /// Starts to connect to the agent of an upstream.
    pub(crate) fn open(fleet: Arc<Fleet>, key: UpstreamKey, upstream: &Upstream) -> Arc<Self> {
        let link = Arc::new(Self {
            name: upstream.name().to_owned(),
            pool: upstream.pool().unwrap_or_default().to_owned(),
            data_centre: upstream.data_centre().to_owned(),
            address: upstream.address(),
            key,
            fleet,
            state: Mutex::new(State::default()),
            stop: CancellationToken::new(),
        });
        tokio::spawn(link.clone().maintain());
        link
    }

    /// Ends the heartbeats; an attempt in progress keeps the client that it holds.
    pub(crate) fn stop(&self) {
        self.stop.cancel();
    }

    /// Returns the client and the last report while the agent is reachable.
    pub(crate) fn connection(&self) -> Option<(AgentClient, Report)> {
        let state = self.lock();
        Some((state.client.clone()?, state.report.clone()?))
    }

    /// Returns the last report while the agent is reachable.
    pub(crate) fn report(&self) -> Option<Report> {
        let state = self.lock();
        state.client.as_ref()?;
        state.report.clone()
    }

    /// Takes in the feedback of a reply to a question that was sent at `sent_ms`.
    pub(crate) fn observe(&self, feedback: Feedback, sent_ms: u64) {
        self.fleet.on_reply(self.key, &feedback, sent_ms);
        let report = Report { feedback, received_ms: self.fleet.clock.now_ms() };
        self.lock().report = Some(report);
    }

    /// Sends the agent what it lacks of the control state, and takes what the entry lacks.
    ///
    /// Returns false when the agent cannot be reached.
    pub(crate) async fn exchange(&self, client: &AgentClient, known: Versions) -> bool {
        let sent_ms = self.fleet.clock.now_ms();
        let request = self.sync_request(known, sent_ms);
        let Ok(reply) = client.sync(context_for(HEARTBEAT_TIMEOUT), request).await else {
            return false;
        };
        self.take_sync(client, reply, sent_ms);
        true
    }

    async fn maintain(self: Arc<Self>) {
        while !self.stop.is_cancelled() {
            let Ok(client) = self.connect().await else {
                self.fleet.on_contact_failed(self.key);
                tokio::time::sleep(RECONNECT_INTERVAL).await;
                continue;
            };
            self.beat(&client).await;
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

    /// Sends heartbeats until one stays unanswered; a change of the control state is sent at once.
    async fn beat(&self, client: &AgentClient) {
        let mut changed = self.fleet.control.subscribe();
        let mut known = self.fleet.control.versions();
        let mut repeated = false;
        while !self.stop.is_cancelled() {
            if !self.exchange(client, known).await {
                return;
            }
            known = self.lock().report.as_ref().map(|it| it.feedback.versions).unwrap_or_default();
            // An agent that refuses the update must not be asked again without a pause.
            repeated = !repeated && self.fleet.control.versions().has_newer_than(known);
            if repeated {
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
                _ = changed.changed() => {}
                () = self.stop.cancelled() => {}
            }
        }
    }

    fn sync_request(&self, known: Versions, now_ms: u64) -> SyncRequest {
        let control = &self.fleet.control;
        // The fleet is asked before this link is locked, because it locks links itself.
        let is_listed_leaving = self.fleet.is_listed_leaving(self.key);
        SyncRequest {
            from: self.fleet.incarnation,
            versions: control.versions(),
            update: control.update_for(known),
            ages: control.ages(now_ms),
            echo: self.lock().report.as_ref().map(Report::echo),
            strikes: self.fleet.strikes.recent(now_ms),
            is_listed_leaving,
            instances: Vec::new(),
        }
    }

    fn take_sync(&self, client: &AgentClient, reply: SyncReply, sent_ms: u64) {
        self.fleet.control.adopt(reply.update, &self.name);
        self.observe(reply.feedback, sent_ms);
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

/// Builds a call context that times out after `timeout`.
pub(crate) fn context_for(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}
