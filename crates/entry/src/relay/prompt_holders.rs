//! Asks model upstreams which prompts they have read, when nobody remembers where a stream began.
//!
//! One entry asks for all others, and keeps the answers: the streams of interest began before, so their
//! prompts are among them.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::{StreamExt, stream};
use log::{info, warn};
use tokio::sync::watch;
use yuccatrail_adapter::{PROMPT_LIST_PATH, decode_prompt_list};
use yuccatrail_core::{
    FastMap,
    stream_origin::{PromptHolders, STREAM_LIFETIME_MS},
    upstreams::UpstreamKey,
};

use crate::relay::{
    attempt::{Attempt, AttemptError},
    state::{Relay, lock},
};

/// Shortest time between two rounds of questions to the upstreams of a service, in milliseconds; a question
/// delays their work a little.
const MIN_ROUND_INTERVAL_MS: u64 = 2_000;
/// Timeout of a question, in milliseconds.
const QUESTION_TIMEOUT_MS: u64 = 400;
/// Largest number of upstreams that are asked at the same time.
const MAX_CONCURRENT_QUESTIONS: usize = 32;

/// Answers of the upstreams of one service.
#[derive(Clone)]
struct Round {
    begun_ms: u64,
    /// Empty until the round has ended.
    holders: watch::Receiver<Option<Arc<PromptHolders>>>,
}

/// Which versions keep which prompts, by service.
#[derive(Default)]
pub(crate) struct PromptHolderSearch {
    rounds: Mutex<FastMap<Arc<str>, Round>>,
}

impl PromptHolderSearch {
    /// Forgets answers from so long ago that no caller takes up a stream from then.
    pub(crate) fn expire(&self, now_ms: u64) {
        lock(&self.rounds).retain(|_, it| now_ms < it.begun_ms + STREAM_LIFETIME_MS);
    }

    /// Returns the only software version of a service whose upstreams keep a part of a prompt.
    pub(crate) async fn version_keeping(
        &self,
        relay: &Arc<Relay>,
        service: &Arc<str>,
        part: &str,
    ) -> Option<Arc<str>> {
        let Round { begun_ms, mut holders } = self.round_after(relay, service, None);
        let found = wait_for_end(&mut holders).await?.version_of(part).cloned();
        if found.is_some() || relay.now_ms() < begun_ms + MIN_ROUND_INTERVAL_MS {
            return found;
        }
        // The stream may have begun after the last round.
        let mut holders = self.round_after(relay, service, Some(begun_ms)).holders;
        wait_for_end(&mut holders).await?.version_of(part).cloned()
    }

    /// Returns the last round of questions to the upstreams of a service; begins one if there is none, or
    /// none that began later than the one at `seen_ms`.
    ///
    /// Of the requests that have waited for the same round, only the first one begins another.
    fn round_after(&self, relay: &Arc<Relay>, service: &Arc<str>, seen_ms: Option<u64>) -> Round {
        let mut rounds = lock(&self.rounds);
        let last =
            rounds.get(service).filter(|it| seen_ms.is_none_or(|seen_ms| it.begun_ms > seen_ms));
        if let Some(round) = last {
            return round.clone();
        }
        let (sender, holders) = watch::channel(None);
        let round = Round { begun_ms: relay.now_ms(), holders };
        rounds.insert(service.clone(), round.clone());
        let (relay, service) = (relay.clone(), service.clone());
        // It goes on if the first request that needs it has ended.
        tokio::spawn(async move { sender.send_replace(Some(ask_all(&relay, &service).await)) });
        round
    }
}

async fn wait_for_end(
    holders: &mut watch::Receiver<Option<Arc<PromptHolders>>>,
) -> Option<Arc<PromptHolders>> {
    holders.wait_for(Option::is_some).await.ok()?.clone()
}

async fn ask_all(relay: &Arc<Relay>, service: &Arc<str>) -> Arc<PromptHolders> {
    let begun_ms = relay.now_ms();
    let keys = relay.upstreams().to_query(service, begun_ms);
    let upstreams = keys.len();
    let questions = keys.into_iter().map(|key| async move {
        let version = relay.upstreams().get(key).map(|it| it.record.version.clone());
        (version, ask(relay, key).await)
    });
    let mut answers = stream::iter(questions).buffer_unordered(MAX_CONCURRENT_QUESTIONS);
    let mut holders = PromptHolders::default();
    let mut unknown = 0;
    while let Some((version, parts)) = answers.next().await {
        let Some(version) = version else { continue };
        match parts {
            Some(parts) => holders.add(&version, &parts),
            None => {
                unknown += 1;
                holders.add_unknown(&version);
            }
        }
    }
    let took_ms = relay.now_ms().saturating_sub(begun_ms);
    info!(service:% = service, upstreams, unknown, took_ms; "asked upstreams which prompts they keep");
    Arc::new(holders)
}

/// Returns the parts of prompts that an upstream keeps; none if it does not say.
async fn ask(relay: &Arc<Relay>, key: UpstreamKey) -> Option<Vec<String>> {
    let mut query = Attempt::begin_query(relay, key)?;
    let limit = Duration::from_millis(QUESTION_TIMEOUT_MS);
    match tokio::time::timeout(limit, query.get(PROMPT_LIST_PATH)).await {
        Ok(Ok((status, meta, body))) if status.is_success() => {
            let parts = decode_prompt_list(&body);
            if let Err(error) = &parts {
                warn!(upstream:% = query.record.id, error = error.as_str(); "list of kept prompts can't be read");
            }
            query.finish(&meta);
            parts.ok()
        }
        // It has stopped, and what it kept is gone.
        Ok(Err(AttemptError::Unreachable(_))) => Some(Vec::new()),
        Ok(Err(error)) => {
            warn!(upstream:% = query.record.id, error:% = error; "failed to ask for kept prompts");
            None
        }
        Ok(Ok((status, ..))) => {
            warn!(upstream:% = query.record.id, status = status.as_u16(); "upstream does not list kept prompts");
            None
        }
        Err(_) => {
            warn!(upstream:% = query.record.id, limit_ms = QUESTION_TIMEOUT_MS; "upstream did not list kept prompts in time");
            None
        }
    }
}
