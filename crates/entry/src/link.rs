//! Connection of the entry to one agent.

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

/// Time after which an unanswered heartbeat closes the connection.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest wait for an agent to take over strikes.
const STRIKES_TIMEOUT: Duration = Duration::from_millis(200);
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

/// What an agent asks for in a reply to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wish {
    /// Whether another exchange is to follow at once.
    pub(crate) again: bool,
    /// Versions that the agent holds.
    pub(crate) holds: Versions,
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
    suspected: Notify,
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
            suspected: Notify::new(),
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

    /// Sends a heartbeat at once, because a call failed and the connection may be broken.
    pub(crate) fn check(&self) {
        self.suspected.notify_one();
    }

    /// Takes in the feedback of a reply to a question that was sent at `sent_ms`.
    pub(crate) fn observe(&self, feedback: Feedback, sent_ms: u64) {
        self.fleet.on_reply(self.key, &feedback, sent_ms);
        let report = Report { feedback, received_ms: self.fleet.clock.now_ms() };
        self.lock().report = Some(report);
    }

    /// Sends the agent what it lacks of the control state, and takes what the entry lacks.
    ///
    /// Returns the agent's reply unless it cannot be reached.
    pub(crate) async fn exchange(&self, client: &AgentClient, known: Versions) -> Option<Wish> {
        let sent_ms = self.fleet.clock.now_ms();
        let request = self.sync_request(known, sent_ms);
        let reply = client.sync(context_for(HEARTBEAT_TIMEOUT), request).await.ok()?;
        let wish = Wish { again: reply.again, holds: reply.feedback.versions };
        self.take_sync(client, reply, sent_ms);
        Some(wish)
    }

    /// Notes that a call to the agent was not answered; the next heartbeat shows whether it is back.
    pub(crate) fn suspect(&self) {
        self.fleet.on_contact_failed(self.key);
    }

    /// Sends the agent the strikes that it may not know, if it can be reached.
    pub(crate) async fn pass_on_strikes(&self) {
        let Some((client, report)) = self.connection() else { return };
        let sending = self.exchange(&client, report.feedback.versions);
        // An agent that does not answer in time learns the strikes with the next heartbeat.
        let _ = tokio::time::timeout(STRIKES_TIMEOUT, sending).await;
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

    /// Sends heartbeats until one stays unanswered.
    ///
    /// A heartbeat announces the versions that the entry holds, at once after a change. The state
    /// itself follows when the agent asks for it, so that an agent receives it from one entry.
    async fn beat(&self, client: &AgentClient) {
        let mut changed = self.fleet.control.subscribe();
        let mut wish = Wish { again: false, holds: Versions::default() };
        let mut asked = false;
        while !self.stop.is_cancelled() {
            let known = match wish.again {
                true => wish.holds,
                false => self.fleet.control.versions(),
            };
            let Some(reply) = self.exchange(client, known).await else { return };
            wish = reply;
            // An agent that refuses the state must not be sent it again without a pause.
            asked = wish.again && !asked;
            if asked {
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep(self.fleet.heartbeat_interval()) => {}
                _ = changed.changed() => {}
                () = self.suspected.notified() => {}
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
