//! Upstreams known to the entry, and the subset of them that it connects to.

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

/// Sizes of the subset of a pool's upstreams that an entry connects to.
const SUBSET_SIZES: SubsetSizes = SubsetSizes { upstreams_per_entry: 8, entries_per_upstream: 3 };
/// Minimum interval of the heartbeats on a connection, in milliseconds.
const MIN_HEARTBEAT_MS: u64 = 500;
/// Maximum interval of the heartbeats on a connection, in milliseconds.
const MAX_HEARTBEAT_MS: u64 = 10_000;
/// Interval of the entry's heartbeats over all connections together, in milliseconds.
const HEARTBEAT_SPACING_MS: u64 = 50;
/// Concurrency limit assumed for an upstream until its agent has reported one.
const ASSUMED_COLD_LIMIT: u32 = 1;

/// Upstreams known to the entry, and the subset of them that it connects to.
pub(crate) struct Fleet {
    /// Monotonic clock of the process.
    pub(crate) clock: Clock,
    /// Identifier of this run of the process.
    pub(crate) incarnation: Incarnation,
    /// Control state, exchanged with agents by heartbeats.
    pub(crate) control: Arc<SharedControl>,
    /// Strikes, exchanged with agents by heartbeats.
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
    /// Instance list in use, from the platform or from a peer.
    instance_list: Vec<InstanceRecord>,
    /// Whether this process has received a list from the platform.
    has_platform_list: bool,
    round_robin_index: u64,
}

/// A member of the entry's subset: an upstream that the entry connects to.
struct Member {
    link: Arc<Link>,
    pool: String,
    /// Key of the upstream in the view of its pool.
    view_key: routing::UpstreamKey,
}

/// The upstream chosen for an attempt.
pub(crate) struct ChosenUpstream {
    /// Key with which the end of the attempt is recorded.
    pub(crate) key: UpstreamKey,
    /// Connection to its agent.
    pub(crate) link: Arc<Link>,
    /// Rule by which it was chosen.
    pub(crate) reason: ChoiceReason,
    /// Number of eligible candidates.
    pub(crate) considered: usize,
}

/// State of a member for the status page.
pub(crate) struct MemberStatus {
    /// Connection to its agent.
    pub(crate) link: Arc<Link>,
    /// Why the upstream gets no new work; none if it does.
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

    /// Applies the platform's instance list, and opens and closes connections accordingly.
    pub(crate) fn apply_list(self: &Arc<Self>, instances: Vec<InstanceRecord>) {
        let mut state = self.lock();
        state.has_platform_list = true;
        self.replace_list(&mut state, instances);
    }

    /// Applies a peer's instance list unless the platform has delivered one.
    pub(crate) fn apply_peer_list(self: &Arc<Self>, instances: Vec<InstanceRecord>) {
        let mut state = self.lock();
        if state.has_platform_list || instances.is_empty() || instances == state.instance_list {
            return;
        }
        self.replace_list(&mut state, instances);
    }

    /// Returns whether the platform has not delivered an instance list yet.
    pub(crate) fn lacks_platform_list(&self) -> bool {
        !self.lock().has_platform_list
    }

    /// Returns the instance list in use.
    pub(crate) fn instance_list(&self) -> Vec<InstanceRecord> {
        self.lock().instance_list.clone()
    }

    /// Applies the operational state in force.
    pub(crate) fn apply_operations(&self) {
        if let Some(operations) = self.control.operations() {
            self.lock().directory.set_operations(&operations);
        }
    }

    /// Returns whether an instance list has been applied, from the platform or from a peer.
    pub(crate) fn has_list(&self) -> bool {
        self.lock().directory.list_version() > 0
    }

    /// Returns the entries in the instance list.
    pub(crate) fn entries(&self) -> Vec<InstanceRecord> {
        self.lock().directory.entries().to_vec()
    }

    /// Chooses an upstream of a pool for an attempt and counts the attempt as in flight there.
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
    ) -> Result<ChosenUpstream, Reason> {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let context = ChoiceContext { round_robin_index: state.round_robin_index, ..context };
        state.round_robin_index += 1;
        let candidates = state.candidates(pool, tried, context.prefix, now_ms)?;
        let choice = routing::choose(&candidates, &context, random).map_err(Reason::from)?;
        state.begin_attempt(pool, choice, now_ms).ok_or(Reason::NoUpstream)
    }

    /// Chooses the upstream on which a suspect runs exclusively, and counts the attempt as in
    /// flight there.
    ///
    /// # Errors
    ///
    /// Returns the reason when no upstream may receive the attempt now.
    pub(crate) fn choose_exclusive(
        &self,
        pool: &str,
        fingerprint: Digest,
    ) -> Result<ChosenUpstream, Reason> {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let candidates = state.candidates(pool, &[], None, now_ms)?;
        let mut incarnations = Vec::new();
        for (key, member) in &state.members {
            if member.pool != pool || state.directory.check(key).is_err() {
                continue;
            }
            // The request could wait for long at an upstream that is down, whose limit is zero.
            if member.link.report().is_none_or(|it| it.feedback.load.limit == 0) {
                continue;
            }
            let Some(incarnation) = state.incarnation(key) else { continue };
            incarnations.push((incarnation, member.view_key));
        }
        let candidate_incarnations: Vec<Incarnation> = incarnations.iter().map(|it| it.0).collect();
        let chosen =
            exclusive_upstream(fingerprint, &candidate_incarnations).ok_or(Reason::NoUpstream)?;
        let view = incarnations.iter().find(|it| it.0 == chosen).map(|it| it.1);
        let index =
            candidates.iter().position(|it| Some(it.key) == view).ok_or(Reason::NoUpstream)?;
        let (key, reason) = (candidates[index].key, ChoiceReason::Suspect);
        let choice = Choice { index, key, reason, considered: candidates.len() };
        state.begin_attempt(pool, choice, now_ms).ok_or(Reason::NoUpstream)
    }

    /// Sends the recent strikes to all agents.
    pub(crate) async fn propagate_strikes(&self) {
        let links: Vec<Arc<Link>> =
            self.lock().members.values().map(|it| it.link.clone()).collect();
        join_all(links.iter().map(|it| it.propagate_strikes())).await;
    }

    /// Records the end of an attempt.
    pub(crate) fn on_attempt_end(&self, key: UpstreamKey, end: AttemptEnd) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        state.directory.end_work(key);
        if let Some((view, member)) = state.pool_view(key) {
            view.on_end(now_ms, member, end);
        }
        // The directory removes an unlisted upstream when its last work in progress ends.
        if state.directory.upstream(key).is_none() {
            state.remove_member(key);
        }
    }

    /// Applies the feedback of an agent from the reply to a request that was sent at `sent_ms`.
    pub(crate) fn on_feedback(&self, key: UpstreamKey, feedback: &Feedback, sent_ms: u64) {
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
        if let Some((view, member)) = state.pool_view(key) {
            view.on_reply(now_ms, member, feedback.load);
        }
    }

    /// Records that an agent could not be reached or did not reply in time.
    pub(crate) fn on_contact_failed(&self, key: UpstreamKey) {
        let now_ms = self.clock.now_ms();
        self.lock().directory.contact_failed(key, now_ms);
    }

    /// Returns the interval of the heartbeats on one connection.
    ///
    /// It grows with the number of connections, which bounds the rate of the entry's heartbeats.
    pub(crate) fn heartbeat_interval(&self) -> Duration {
        let links = self.lock().members.len() as u64;
        let interval_ms = links * HEARTBEAT_SPACING_MS;
        Duration::from_millis(interval_ms.clamp(MIN_HEARTBEAT_MS, MAX_HEARTBEAT_MS))
    }

    /// Returns whether the instance list shows an upstream as leaving.
    pub(crate) fn is_listed_leaving(&self, key: UpstreamKey) -> bool {
        let state = self.lock();
        state.directory.upstream(key).is_some_and(|it| it.is_listed_leaving())
    }

    /// Returns the load of a pool, without upstreams that get no new work.
    pub(crate) fn pool_load(&self, pool: &str) -> PoolLoad {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        state.update_withdrawn(pool);
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
        state.instance_list.clone_from(&instances);
        state.directory.apply_list(InstanceList { version, instances });
        self.reconcile(state);
    }

    /// Opens connections to the upstreams in the entry's subset and closes the others.
    fn reconcile(self: &Arc<Self>, state: &mut State) {
        let target_members = self.target_members(state);
        let mut removed = Vec::new();
        for (key, member) in &state.members {
            let address = state.directory.upstream(key).map(|it| it.address());
            if address != Some(member.link.address) || !target_members.contains(&key) {
                removed.push(key);
            }
        }
        for key in removed {
            state.remove_member(key);
        }
        for key in target_members {
            if !state.members.contains_key(key) {
                self.add_member(state, key);
            }
        }
    }

    /// Returns the upstreams that the entry has to connect to: its subset of each pool, and any
    /// other upstream with work in progress.
    fn target_members(&self, state: &State) -> Vec<UpstreamKey> {
        let mut upstreams_by_pool: FastMap<&str, Vec<(&str, UpstreamKey)>> = FastMap::default();
        let mut target_members = Vec::new();
        for (key, upstream) in state.directory.upstreams() {
            // Work in progress needs its connection even if the upstream is no longer listed.
            if upstream.in_progress() > 0 {
                target_members.push(key);
                continue;
            }
            let Some(pool) = upstream.pool() else { continue };
            upstreams_by_pool.entry(pool).or_default().push((upstream.name(), key));
        }
        let entries: Vec<&str> =
            state.directory.entries().iter().map(|it| it.name.as_str()).collect();
        for members in upstreams_by_pool.values_mut() {
            members.sort_unstable();
            let names: Vec<&str> = members.iter().map(|it| it.0).collect();
            for index in subset(&entries, &names, &self.name, SUBSET_SIZES) {
                target_members.push(members[index].1);
            }
        }
        target_members
    }

    fn add_member(self: &Arc<Self>, state: &mut State, key: UpstreamKey) {
        let Some(upstream) = state.directory.upstream(key) else { return };
        let Some(pool) = upstream.pool() else { return };
        let pool = pool.to_owned();
        let is_local = upstream.data_centre() == self.data_centre;
        let stable_id = stable_id(upstream.name());
        let link = Link::open(self.clone(), key, upstream);
        info!(upstream:% = link.name, pool:% = pool; "connecting to agent");
        let view = state.pools.entry(pool.clone()).or_default();
        let view_key = view.add(self.clock.now_ms(), stable_id, is_local, ASSUMED_COLD_LIMIT);
        state.members.insert(key, Member { link, pool, view_key });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Withdraws the upstreams of a pool that must not get new work, and restores the others.
    fn update_withdrawn(&mut self, pool: &str) {
        let Some(view) = self.pools.get_mut(pool) else { return };
        for (key, member) in &self.members {
            if member.pool == pool {
                view.set_withdrawn(member.view_key, self.directory.check(key).is_err());
            }
        }
    }

    /// Returns the candidates of a pool among the upstreams that may get new work.
    fn candidates(
        &mut self,
        pool: &str,
        tried: &[UpstreamKey],
        prefix: Option<u64>,
        now_ms: u64,
    ) -> Result<Vec<Candidate>, Reason> {
        self.update_withdrawn(pool);
        let Some(view) = self.pools.get(pool) else { return Err(Reason::NoUpstream) };
        let tried: Vec<_> =
            tried.iter().filter_map(|it| self.members.get(*it).map(|it| it.view_key)).collect();
        let mut refusal = Reason::NoUpstream;
        let mut allowed = Vec::new();
        for (key, member) in &self.members {
            if member.pool != pool {
                continue;
            }
            match self.directory.check(key) {
                Ok(()) => allowed.push(member.view_key),
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

    fn begin_attempt(&mut self, pool: &str, choice: Choice, now_ms: u64) -> Option<ChosenUpstream> {
        let (key, member) = self
            .members
            .iter()
            .find(|(_, member)| member.pool == pool && member.view_key == choice.key)?;
        let link = member.link.clone();
        self.pools.get_mut(pool)?.on_sent(now_ms, choice.key);
        self.directory.begin_work(key);
        Some(ChosenUpstream { key, link, reason: choice.reason, considered: choice.considered })
    }

    fn pool_view(&mut self, key: UpstreamKey) -> Option<(&mut PoolView, routing::UpstreamKey)> {
        let member = self.members.get(key)?;
        Some((self.pools.get_mut(&member.pool)?, member.view_key))
    }

    fn incarnation(&self, key: UpstreamKey) -> Option<Incarnation> {
        self.directory.upstream(key)?.incarnation()
    }

    fn remove_member(&mut self, key: UpstreamKey) {
        let Some(member) = self.members.remove(key) else { return };
        info!(upstream:% = member.link.name; "dropping connection to agent");
        member.link.stop();
        if let Some(view) = self.pools.get_mut(&member.pool) {
            view.remove(member.view_key);
        }
    }
}

/// Returns an identifier of the upstream that is the same in all entries.
fn stable_id(name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    name.hash(&mut hasher);
    hasher.finish()
}
