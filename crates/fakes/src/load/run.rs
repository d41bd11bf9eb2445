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

/// Calls in progress above which further ones are left out.
const MAX_IN_PROGRESS: usize = 4_000;
/// Time after the last start in which the answers have to arrive.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// A load and the entries that it is put on.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Entries, which take turns.
    pub entries: Vec<SocketAddr>,
    /// Phases in order.
    pub phases: Vec<Phase>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Prefix of the idempotency keys, which has to be new for each run against a stack.
    pub key_prefix: String,
    /// Deadlines by which a right answer counts as on time.
    pub deadlines: Deadlines,
}

/// Makes all calls and returns what their callers saw.
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
        if tasks.len() >= MAX_IN_PROGRESS {
            tally.unsent += 1;
            continue;
        }
        let entry = settings.entries[position % settings.entries.len()];
        let caller = callers[&call.customer].clone();
        let key_prefix = key_prefix.clone();
        tasks
            .spawn(async move { call::execute(&caller, entry, call, &key_prefix, intended).await });
    }
    collect_rest(tasks, &mut tally).await;
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

/// Takes in the remaining answers; calls that stay unanswered count as broken.
async fn collect_rest(mut tasks: JoinSet<Observation>, tally: &mut Tally) {
    let rest = async {
        while let Some(Ok(observation)) = tasks.join_next().await {
            tally.add(observation);
        }
    };
    if tokio::time::timeout(ANSWER_LIMIT, rest).await.is_ok() {
        return;
    }
    let unanswered = tasks.len() as u64;
    tally.sent += unanswered;
    tally.broken += unanswered;
    tally.examples.push(format!("broken: {unanswered} calls were never answered"));
    tasks.shutdown().await;
}
