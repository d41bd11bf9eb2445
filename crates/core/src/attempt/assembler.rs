//! Reassembly of one attempt's output at the entry.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::{
    attempt::{Completion, OutputPage, Progress},
    ids::{AttemptId, Incarnation},
    sabotage::{Mechanisms, Sabotage},
};

/// Distance in chunks ahead of the next missing one up to which early chunks are kept.
const EARLY_WINDOW_CHUNKS: u64 = 4096;

/// Puts the output of one attempt together from pages that may be late, repeated or out of order.
///
/// Each chunk is released exactly once and in order. Only pages that carry the identity of the live
/// attempt in full are taken.
#[derive(Debug)]
pub struct OutputAssembler {
    attempt: AttemptId,
    agent: Incarnation,
    next_sequence: u64,
    early: BTreeMap<u64, Bytes>,
    highest_end: u64,
    completion: Option<Completion>,
    mismatched_pages: u64,
    contradictory_pages: u64,
    mechanisms: Mechanisms,
}

/// What became of a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageResult {
    /// The page was taken; these chunks follow those released before.
    Released(Vec<Bytes>),
    /// The page belongs to another attempt or another agent run and was dropped.
    Mismatched,
    /// The page contradicts an earlier one about the length of the output; the attempt has to be
    /// given up because its answer cannot be trusted.
    Contradictory,
}

impl OutputAssembler {
    /// Starts an empty output of `attempt` as run by the agent run `agent`.
    pub fn new(attempt: AttemptId, agent: Incarnation) -> Self {
        Self {
            attempt,
            agent,
            next_sequence: 0,
            early: BTreeMap::new(),
            highest_end: 0,
            completion: None,
            mismatched_pages: 0,
            contradictory_pages: 0,
            mechanisms: Mechanisms::default(),
        }
    }

    /// Starts an empty output with one safety mechanism switched off.
    #[cfg(feature = "sabotage")]
    pub fn with_sabotage(attempt: AttemptId, agent: Incarnation, sabotage: Sabotage) -> Self {
        Self { mechanisms: Mechanisms::without(sabotage), ..Self::new(attempt, agent) }
    }

    /// Takes a page that claims to stem from `attempt` at the agent run `agent`.
    pub fn receive_page(
        &mut self,
        attempt: AttemptId,
        agent: Incarnation,
        page: OutputPage,
    ) -> PageResult {
        let matches = attempt == self.attempt && agent == self.agent;
        if !matches && self.mechanisms.has(Sabotage::ResultMatching) {
            self.mismatched_pages += 1;
            return PageResult::Mismatched;
        }
        let Some(end) = self.checked_end(&page) else {
            self.contradictory_pages += 1;
            return PageResult::Contradictory;
        };
        self.highest_end = self.highest_end.max(end);
        if let Progress::Completed(completion) = page.progress {
            self.completion.get_or_insert(completion);
        }
        if !self.mechanisms.has(Sabotage::ChunkOrder) {
            self.next_sequence += page.chunks.len() as u64;
            return PageResult::Released(page.chunks);
        }
        self.keep(page.first_sequence, page.chunks);
        PageResult::Released(self.release())
    }

    /// Returns the sequence number of the first chunk that is still missing.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the completion once the output is whole.
    pub fn completed(&self) -> Option<&Completion> {
        let completion = self.completion.as_ref()?;
        let arrived = self.next_sequence == completion.chunk_count;
        (arrived || !self.mechanisms.has(Sabotage::AnswerCompleteness)).then_some(completion)
    }

    /// Returns the number of pages dropped because they belong to another attempt or agent run.
    pub fn mismatched_pages(&self) -> u64 {
        self.mismatched_pages
    }

    /// Returns the number of pages dropped because they contradict an earlier one.
    pub fn contradictory_pages(&self) -> u64 {
        self.contradictory_pages
    }

    /// Returns the end of the page's chunks unless the page contradicts what is known.
    fn checked_end(&self, page: &OutputPage) -> Option<u64> {
        let end = page.first_sequence.checked_add(page.chunks.len() as u64)?;
        let end = if page.chunks.is_empty() { 0 } else { end };
        let mut chunk_count = self.completion.as_ref().map(|it| it.chunk_count);
        if let Progress::Completed(completion) = &page.progress {
            if chunk_count.is_some_and(|it| it != completion.chunk_count) {
                return None;
            }
            chunk_count = Some(completion.chunk_count);
        }
        let highest_end = self.highest_end.max(end);
        if chunk_count.is_some_and(|it| highest_end > it) {
            return None;
        }
        Some(end)
    }

    fn keep(&mut self, first_sequence: u64, chunks: Vec<Bytes>) {
        let window_end = self.next_sequence.saturating_add(EARLY_WINDOW_CHUNKS);
        for (sequence, chunk) in (first_sequence..).zip(chunks) {
            if sequence < self.next_sequence {
                continue;
            }
            // A chunk beyond the window is read again later, so that memory stays bounded.
            if sequence >= window_end {
                break;
            }
            self.early.entry(sequence).or_insert(chunk);
        }
    }

    fn release(&mut self) -> Vec<Bytes> {
        let mut released = Vec::new();
        while let Some(chunk) = self.early.remove(&self.next_sequence) {
            released.push(chunk);
            self.next_sequence += 1;
        }
        released
    }
}
