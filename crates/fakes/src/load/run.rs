//! Execution of a planned load against running entries.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::task::JoinSet;
use yuccatrail_core::FastMap;

use super::{
    call::{self, Observation},
    plan::{self, Phase, PlannedCall},
    tally::{Deadlines, Tally},
};
use crate::stack::caller::Caller;

/// Number of calls in flight at which further calls are skipped.
const MAX_IN_FLIGHT: usize = 4_000;
/// Time after the start of the last call within which all responses have to arrive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A load and the entries that receive it.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Addresses of the entries, which receive the calls in turn.
    pub entries: Vec<SocketAddr>,
    /// Phases of the load, in order.
    pub phases: Vec<Phase>,
    /// Seed of the random plan.
    pub seed: u64,
    /// Prefix of the idempotency keys, which has to be unique for each load on the same entries.
    pub key_prefix: String,
    /// Deadlines within which a correct response counts as on time.
    pub deadlines: Deadlines,
}

/// Sends all calls and returns the tally of their outcomes.
pub async fn run(settings: &LoadSettings) -> Tally {
    let calls = plan::plan(&settings.phases, settings.seed);
    let callers = callers(&calls);
    let key_prefix: Arc<str> = settings.key_prefix.as_str().into();
    let mut tally = Tally::new(settings.deadlines);
    let mut tasks: JoinSet<Observation> = JoinSet::new();
    let start = Instant::now();
    for (position, call) in calls.into_iter().enumerate() {
        let intended = start + Duration::from_micros(call.at_us);
        tokio::time::sleep_until(intended.into()).await;
        while let Some(Ok(observation)) = tasks.try_join_next() {
            tally.add(observation);
        }
        if tasks.len() >= MAX_IN_FLIGHT {
            tally.unsent += 1;
            continue;
        }
        let entry = settings.entries[position % settings.entries.len()];
        let caller = callers[&call.customer].clone();
        let key_prefix = key_prefix.clone();
        tasks
            .spawn(async move { call::execute(&caller, entry, call, &key_prefix, intended).await });
    }
    collect_remaining(tasks, &mut tally).await;
    tally
}

fn callers(calls: &[PlannedCall]) -> FastMap<String, Caller> {
    let mut callers = FastMap::default();
    for call in calls {
        if !callers.contains_key(&call.customer) {
            callers.insert(call.customer.clone(), Caller::new(&call.customer));
        }
    }
    callers
}

/// Waits for the remaining calls; those that time out count as broken.
async fn collect_remaining(mut tasks: JoinSet<Observation>, tally: &mut Tally) {
    let rest = async {
        while let Some(Ok(observation)) = tasks.join_next().await {
            tally.add(observation);
        }
    };
    if tokio::time::timeout(RESPONSE_TIMEOUT, rest).await.is_ok() {
        return;
    }
    let timed_out = tasks.len() as u64;
    tally.sent += timed_out;
    tally.broken += timed_out;
    tally.examples.push(format!("broken: {timed_out} calls timed out"));
    tasks.shutdown().await;
}
