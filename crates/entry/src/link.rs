//! Connection of the entry to one agent.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use log::info;
use tarpc::{client::Config, context};
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{ids::Incarnation, membership::InstanceRecord};
use yuccatrail_rpc::{
    messages::{Echo, Feedback, SyncReply, SyncRequest},
    service::AgentClient,
    transport::{self, TransportError},
};
use yuccatrail_runtime::{clock::Clock, control::SharedControl};

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
    /// Names the report in a later request.
    fn echo(&self) -> Echo {
        Echo { incarnation: self.feedback.incarnation, now_ms: self.feedback.now_ms }
    }

    /// Converts a time on the entry's clock to the agent's clock.
    ///
    /// The agent read its clock before the entry received the report, so the result is never later
    /// than the true time.
    pub(crate) fn agent_time_ms(&self, entry_time_ms: u64) -> u64 {
        (self.feedback.now_ms + entry_time_ms).saturating_sub(self.received_ms)
    }
}

#[derive(Default)]
struct State {
    client: Option<AgentClient>,
    report: Option<Report>,
    in_flight: u32,
}

/// Connection to one agent, which is opened again whenever it breaks.
pub(crate) struct Link {
    /// The instance that the agent stands on.
    pub(crate) instance: InstanceRecord,
    clock: Clock,
    entry: Incarnation,
    control: Arc<SharedControl>,
    state: Mutex<State>,
    stop: CancellationToken,
}

impl Link {
    /// Starts to connect to the agent of `instance`.
    pub(crate) fn open(
        instance: InstanceRecord,
        clock: Clock,
        entry: Incarnation,
        control: Arc<SharedControl>,
    ) -> Arc<Self> {
        let link = Arc::new(Self {
            instance,
            clock,
            entry,
            control,
            state: Mutex::new(State::default()),
            stop: CancellationToken::new(),
        });
        tokio::spawn(link.clone().maintain());
        link
    }

    /// Stops heartbeats; attempts in progress keep their client.
    pub(crate) fn close(&self) {
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

    /// Returns the number of this entry's attempts in progress on the upstream.
    pub(crate) fn in_flight(&self) -> u32 {
        self.lock().in_flight
    }

    /// Counts an attempt until the guard is dropped.
    pub(crate) fn begin_attempt(self: &Arc<Self>) -> InFlight {
        self.lock().in_flight += 1;
        InFlight(self.clone())
    }

    /// Takes in the feedback of a reply.
    pub(crate) fn observe(&self, feedback: Feedback) {
        let received_ms = self.clock.now_ms();
        self.lock().report = Some(Report { feedback, received_ms });
    }

    async fn maintain(self: Arc<Self>) {
        while !self.stop.is_cancelled() {
            let Ok(client) = self.connect().await else {
                tokio::time::sleep(RECONNECT_INTERVAL).await;
                continue;
            };
            self.beat(&client).await;
            self.lock().client = None;
            info!(upstream:% = self.instance.name; "connection to agent closed");
        }
    }

    async fn connect(&self) -> Result<AgentClient, TransportError> {
        let transport = transport::connect(self.instance.address).await?;
        Ok(AgentClient::new(Config::default(), Box::pin(transport)).spawn())
    }

    /// Sends heartbeats until one stays unanswered; a change of the control state is sent at once.
    async fn beat(&self, client: &AgentClient) {
        let mut changed = self.control.subscribe();
        let mut known = self.control.versions();
        while !self.stop.is_cancelled() {
            let request = SyncRequest {
                from: self.entry,
                versions: self.control.versions(),
                update: self.control.update_for(known),
                age_ms: self.control.age_ms(self.clock.now_ms()),
                echo: self.lock().report.as_ref().map(Report::echo),
                strikes: Vec::new(),
            };
            let Ok(reply) = client.sync(context_for(HEARTBEAT_TIMEOUT), request).await else {
                return;
            };
            known = reply.feedback.versions;
            self.take_heartbeat(client, reply);
            if self.control.versions().has_newer_than(known) {
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
                _ = changed.changed() => {}
                () = self.stop.cancelled() => {}
            }
        }
    }

    fn take_heartbeat(&self, client: &AgentClient, reply: SyncReply) {
        self.control.adopt(reply.update, &self.instance.name);
        self.observe(reply.feedback);
        let mut state = self.lock();
        if state.client.is_none() {
            state.client = Some(client.clone());
            info!(upstream:% = self.instance.name, address:% = self.instance.address; "connected to agent");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one attempt in progress on a link.
pub(crate) struct InFlight(Arc<Link>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

/// Builds a call context that times out after `timeout`.
pub(crate) fn context_for(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}
