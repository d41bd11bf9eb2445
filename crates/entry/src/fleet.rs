//! The upstreams that the entry knows and is connected to.

use std::{
    hash::{Hash, Hasher},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use log::info;
use rustc_hash::FxHasher;
use slotmap::SecondaryMap;
use yuccatrail_core::{
    FastMap,
    ids::{Digest, Incarnation},
    membership::{
        AgentReport, Directory, InstanceList, InstanceRecord, SubsetSizes, UpstreamKey, subset,
    },
    outcome::Reason,
    quarantine::exclusive_upstream,
    routing::{
        self, AttemptEnd, Candidate, Choice, ChoiceContext, ChoiceReason, PoolLoad, PoolView,
        RandomNumbers,
    },
};
use yuccatrail_rpc::messages::Feedback;
use yuccatrail_runtime::{clock::Clock, control::SharedControl};

use crate::{link::Link, strikes::Strikes};

/// Bounds of the upstreams of one pool that an entry connects to.
const SUBSET_SIZES: SubsetSizes = SubsetSizes { upstreams_per_entry: 8, entries_per_upstream: 3 };
/// Shortest time between two heartbeats on a connection, in milliseconds.
const MIN_HEARTBEAT_MS: u64 = 500;
/// Longest time between two heartbeats on a connection, in milliseconds.
const MAX_HEARTBEAT_MS: u64 = 10_000;
/// Time between two heartbeats of the entry, over all connections, in milliseconds.
const HEARTBEAT_SPACING_MS: u64 = 50;
/// Calls that an upstream is assumed to bear before its agent has reported.
const ASSUMED_COLD_LIMIT: u32 = 1;

/// The upstreams that the entry knows and is connected to.
pub(crate) struct Fleet {
    /// The process's clock.
    pub(crate) clock: Clock,
    /// The run of this process.
    pub(crate) incarnation: Incarnation,
    /// Control state that heartbeats exchange.
    pub(crate) control: Arc<SharedControl>,
    /// Strikes that heartbeats exchange.
    pub(crate) strikes: Arc<Strikes>,
    name: String,
    data_centre: String,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    directory: Directory,
    members: SecondaryMap<UpstreamKey, Member>,
    pools: FastMap<String, PoolView>,
    list_version: u64,
    /// The instance list in use.
    listed: Vec<InstanceRecord>,
    /// Whether the platform has delivered a list to this process.
    has_platform_list: bool,
    turn: u64,
}

/// An upstream that the entry is connected to.
struct Member {
    link: Arc<Link>,
    pool: String,
    view: routing::UpstreamKey,
}

/// The upstream chosen for an attempt.
pub(crate) struct Chosen {
    /// Key for the end of the attempt.
    pub(crate) key: UpstreamKey,
    /// Connection to its agent.
    pub(crate) link: Arc<Link>,
    /// Why it was chosen.
    pub(crate) reason: ChoiceReason,
    /// Number of upstreams that were eligible.
    pub(crate) considered: usize,
}

/// State of one upstream for the status page.
pub(crate) struct MemberStatus {
    /// Connection to its agent.
    pub(crate) link: Arc<Link>,
    /// Why the upstream gets no new work, if so.
    pub(crate) refusal: Option<Reason>,
}

impl Fleet {
    /// Creates a fleet without upstreams.
    pub(crate) fn new(
        clock: Clock,
        incarnation: Incarnation,
        name: String,
        data_centre: String,
        control: Arc<SharedControl>,
        strikes: Arc<Strikes>,
    ) -> Arc<Self> {
        let state = Mutex::new(State::default());
        Arc::new(Self { clock, incarnation, control, strikes, name, data_centre, state })
    }

    /// Takes over the instance list and opens and closes connections accordingly.
    pub(crate) fn apply_list(self: &Arc<Self>, instances: Vec<InstanceRecord>) {
        let mut state = self.lock();
        state.has_platform_list = true;
        self.replace_list(&mut state, instances);
    }

    /// Takes over the list of a peer as long as the platform has not delivered one.
    pub(crate) fn take_peer_list(self: &Arc<Self>, instances: Vec<InstanceRecord>) {
        let mut state = self.lock();
        if state.has_platform_list || instances.is_empty() || instances == state.listed {
            return;
        }
        self.replace_list(&mut state, instances);
    }

    /// Tells whether the platform has not delivered a list yet.
    pub(crate) fn lacks_list(&self) -> bool {
        !self.lock().has_platform_list
    }

    /// Returns the instance list in use.
    pub(crate) fn listed(&self) -> Vec<InstanceRecord> {
        self.lock().listed.clone()
    }

    /// Takes over the operational state in force.
    pub(crate) fn apply_operations(&self) {
        if let Some(operations) = self.control.operations() {
            self.lock().directory.set_operations(&operations);
        }
    }

    /// Tells whether an instance list has been applied.
    pub(crate) fn has_list(&self) -> bool {
        self.lock().directory.list_version() > 0
    }

    /// Returns the entries in the instance list.
    pub(crate) fn entries(&self) -> Vec<InstanceRecord> {
        self.lock().directory.entries().to_vec()
    }

    /// Chooses an upstream of a pool for an attempt and counts the attempt.
    ///
    /// # Errors
    ///
    /// Returns the reason when no upstream may receive the attempt now.
    pub(crate) fn choose(
        &self,
        pool: &str,
        tried: &[UpstreamKey],
        context: ChoiceContext,
        random: RandomNumbers,
    ) -> Result<Chosen, Reason> {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let context = ChoiceContext { round_robin_index: state.turn, ..context };
        state.turn += 1;
        let candidates = state.candidates(pool, tried, context.prefix, now_ms)?;
        let choice = routing::choose(&candidates, &context, random).map_err(Reason::from)?;
        state.begin(pool, choice, now_ms).ok_or(Reason::NoUpstream)
    }

    /// Chooses the upstream on which a suspected request runs alone, and counts the attempt.
    ///
    /// # Errors
    ///
    /// Returns the reason when no upstream may receive the attempt now.
    pub(crate) fn choose_alone(&self, pool: &str, fingerprint: Digest) -> Result<Chosen, Reason> {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let candidates = state.candidates(pool, &[], None, now_ms)?;
        let mut incarnations = Vec::new();
        for (key, member) in &state.members {
            if member.pool != pool || state.directory.check(key).is_err() {
                continue;
            }
            // An upstream that has stopped could keep the request waiting for long.
            if member.link.report().is_none_or(|it| it.feedback.load.limit == 0) {
                continue;
            }
            let Some(incarnation) = state.incarnation(key) else { continue };
            incarnations.push((incarnation, member.view));
        }
        let runs: Vec<Incarnation> = incarnations.iter().map(|it| it.0).collect();
        let chosen = exclusive_upstream(fingerprint, &runs).ok_or(Reason::NoUpstream)?;
        let view = incarnations.iter().find(|it| it.0 == chosen).map(|it| it.1);
        let index =
            candidates.iter().position(|it| Some(it.key) == view).ok_or(Reason::NoUpstream)?;
        let (key, reason) = (candidates[index].key, ChoiceReason::Suspect);
        let choice = Choice { index, key, reason, considered: candidates.len() };
        state.begin(pool, choice, now_ms).ok_or(Reason::NoUpstream)
    }

    /// Sends every agent the strikes that it may not know.
    pub(crate) async fn pass_on_strikes(&self) {
        let links: Vec<Arc<Link>> =
            self.lock().members.values().map(|it| it.link.clone()).collect();
        join_all(links.iter().map(|it| it.pass_on_strikes())).await;
    }

    /// Counts the end of an attempt.
    pub(crate) fn end(&self, key: UpstreamKey, end: AttemptEnd) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        state.directory.end_work(key);
        if let Some((view, member)) = state.view(key) {
            view.on_end(now_ms, member, end);
        }
        // The directory forgets an unlisted upstream with its last work in progress.
        if state.directory.upstream(key).is_none() {
            state.remove(key);
        }
    }

    /// Takes over what a reply tells about an agent; the question was sent at `sent_ms`.
    pub(crate) fn on_reply(&self, key: UpstreamKey, feedback: &Feedback, sent_ms: u64) {
        let now_ms = self.clock.now_ms();
        self.strikes.merge(&feedback.strikes, now_ms);
        let report = AgentReport {
            sent_ms,
            incarnation: feedback.incarnation,
            agent_now_ms: feedback.now_ms,
            is_draining: feedback.load.draining,
        };
        let mut state = self.lock();
        state.directory.contact_succeeded(key, report);
        if let Some((view, member)) = state.view(key) {
            view.on_reply(now_ms, member, feedback.load);
        }
    }

    /// Notes that an agent could not be reached.
    pub(crate) fn on_contact_failed(&self, key: UpstreamKey) {
        let now_ms = self.clock.now_ms();
        self.lock().directory.contact_failed(key, now_ms);
    }

    /// Returns the time between two heartbeats on one connection.
    ///
    /// It grows with the number of connections, so that the entry's heartbeats take a bounded rate.
    pub(crate) fn heartbeat_interval(&self) -> Duration {
        let links = self.lock().members.len() as u64;
        let interval_ms = links * HEARTBEAT_SPACING_MS;
        Duration::from_millis(interval_ms.clamp(MIN_HEARTBEAT_MS, MAX_HEARTBEAT_MS))
    }

    /// Tells whether the instance list shows an upstream as leaving.
    pub(crate) fn is_listed_leaving(&self, key: UpstreamKey) -> bool {
        let state = self.lock();
        state.directory.upstream(key).is_some_and(|it| it.is_listed_leaving())
    }

    /// Returns the load of a pool, without the upstreams that get no new work.
    pub(crate) fn pool_load(&self, pool: &str) -> PoolLoad {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        state.withdraw(pool);
        state.pools.get(pool).map(|it| it.load(now_ms)).unwrap_or_default()
    }

    /// Returns the state of all upstreams, ordered by name.
    pub(crate) fn status(&self) -> Vec<MemberStatus> {
        let state = self.lock();
        let mut found = Vec::new();
        for (key, member) in &state.members {
            let refusal = state.directory.check(key).err();
            found.push(MemberStatus { link: member.link.clone(), refusal });
        }
        found.sort_by(|a, b| a.link.name.cmp(&b.link.name));
        found
    }

    fn replace_list(self: &Arc<Self>, state: &mut State, instances: Vec<InstanceRecord>) {
        state.list_version += 1;
        let version = state.list_version;
        state.listed.clone_from(&instances);
        state.directory.apply_list(InstanceList { version, instances });
        self.reconcile(state);
    }

    /// Opens connections to the upstreams of the entry's subset and closes the others.
    fn reconcile(self: &Arc<Self>, state: &mut State) {
        let wanted = self.wanted(state);
        let mut gone = Vec::new();
        for (key, member) in &state.members {
            let address = state.directory.upstream(key).map(|it| it.address());
            if address != Some(member.link.address) || !wanted.contains(&key) {
                gone.push(key);
            }
        }
        for key in gone {
            state.remove(key);
        }
        for key in wanted {
            if !state.members.contains_key(key) {
                self.open(state, key);
            }
        }
    }

    /// Lists the upstreams that the entry has to be connected to.
    fn wanted(&self, state: &State) -> Vec<UpstreamKey> {
        let mut by_pool: FastMap<&str, Vec<(&str, UpstreamKey)>> = FastMap::default();
        let mut wanted = Vec::new();
        for (key, upstream) in state.directory.upstreams() {
            // Work in progress needs its connection whatever the list says.
            if upstream.in_progress() > 0 {
                wanted.push(key);
                continue;
            }
            let Some(pool) = upstream.pool() else { continue };
            by_pool.entry(pool).or_default().push((upstream.name(), key));
        }
        let entries: Vec<&str> =
            state.directory.entries().iter().map(|it| it.name.as_str()).collect();
        for members in by_pool.values_mut() {
            members.sort_unstable();
            let names: Vec<&str> = members.iter().map(|it| it.0).collect();
            for index in subset(&entries, &names, &self.name, SUBSET_SIZES) {
                wanted.push(members[index].1);
            }
        }
        wanted
    }

    fn open(self: &Arc<Self>, state: &mut State, key: UpstreamKey) {
        let Some(upstream) = state.directory.upstream(key) else { return };
        let Some(pool) = upstream.pool() else { return };
        let pool = pool.to_owned();
        let is_local = upstream.data_centre() == self.data_centre;
        let stable_id = stable_id(upstream.name());
        let link = Link::open(self.clone(), key, upstream);
        info!(upstream:% = link.name, pool:% = pool; "connecting to upstream's agent");
        let view = state.pools.entry(pool.clone()).or_default();
        let view = view.add(self.clock.now_ms(), stable_id, is_local, ASSUMED_COLD_LIMIT);
        state.members.insert(key, Member { link, pool, view });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Withdraws the upstreams of a pool that the directory refuses, and returns the others.
    fn withdraw(&mut self, pool: &str) {
        let Some(view) = self.pools.get_mut(pool) else { return };
        for (key, member) in &self.members {
            if member.pool == pool {
                view.set_withdrawn(member.view, self.directory.check(key).is_err());
            }
        }
    }

    /// Lists the candidates of a pool that the directory allows.
    fn candidates(
        &mut self,
        pool: &str,
        tried: &[UpstreamKey],
        prefix: Option<u64>,
        now_ms: u64,
    ) -> Result<Vec<Candidate>, Reason> {
        self.withdraw(pool);
        let Some(view) = self.pools.get(pool) else { return Err(Reason::NoUpstream) };
        let tried: Vec<_> =
            tried.iter().filter_map(|it| self.members.get(*it).map(|it| it.view)).collect();
        let mut refusal = Reason::NoUpstream;
        let mut allowed = Vec::new();
        for (key, member) in &self.members {
            if member.pool != pool {
                continue;
            }
            match self.directory.check(key) {
                Ok(()) => allowed.push(member.view),
                Err(reason) => refusal = reason,
            }
        }
        if allowed.is_empty() {
            return Err(refusal);
        }
        let mut candidates = view.candidates(now_ms, prefix, &tried);
        candidates.retain(|it| allowed.contains(&it.key));
        Ok(candidates)
    }

    fn begin(&mut self, pool: &str, choice: Choice, now_ms: u64) -> Option<Chosen> {
        let (key, member) = self
            .members
            .iter()
            .find(|(_, member)| member.pool == pool && member.view == choice.key)?;
        let link = member.link.clone();
        self.pools.get_mut(pool)?.on_sent(now_ms, choice.key);
        self.directory.begin_work(key);
        Some(Chosen { key, link, reason: choice.reason, considered: choice.considered })
    }

    fn view(&mut self, key: UpstreamKey) -> Option<(&mut PoolView, routing::UpstreamKey)> {
        let member = self.members.get(key)?;
        Some((self.pools.get_mut(&member.pool)?, member.view))
    }

    fn incarnation(&self, key: UpstreamKey) -> Option<Incarnation> {
        self.directory.upstream(key)?.incarnation()
    }

    fn remove(&mut self, key: UpstreamKey) {
        let Some(member) = self.members.remove(key) else { return };
        info!(upstream:% = member.link.name; "connection to upstream's agent given up");
        member.link.stop();
        if let Some(view) = self.pools.get_mut(&member.pool) {
            view.remove(member.view);
        }
    }
}

/// Names an upstream alike in all entries.
fn stable_id(name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    name.hash(&mut hasher);
    hasher.finish()
}
