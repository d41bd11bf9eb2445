//! Reassembly of the output of one attempt at the entry.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::{
    attempt::{Completion, OutputPage, Progress},
    ids::{AttemptId, Incarnation},
    sabotage::{Mechanisms, Sabotage},
};

/// Size of the reorder buffer in chunks, from the next missing one on.
const REORDER_WINDOW_CHUNKS: u64 = 4096;

/// Reassembles the output of one attempt from pages that may arrive late, repeatedly or out of
/// order.
///
/// Each chunk is released exactly once and in order. Pages are accepted only if they carry the full
/// identity of the attempt: its identifier and the incarnation of the agent.
#[derive(Debug)]
pub struct OutputAssembler {
    attempt: AttemptId,
    agent: Incarnation,
    next_sequence: u64,
    /// Chunks by sequence number that arrived before an earlier one.
    reorder_buffer: BTreeMap<u64, Bytes>,
    /// Largest sequence number seen, plus one.
    max_end: u64,
    completion: Option<Completion>,
    mismatched_pages: u64,
    contradictory_pages: u64,
    mechanisms: Mechanisms,
}

/// Result of receiving a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageResult {
    /// The page was accepted; these chunks follow those released before.
    Released(Vec<Bytes>),
    /// The page belongs to another attempt or agent incarnation and was dropped.
    Mismatched,
    /// The page contradicts an earlier one about the length of the output; the attempt has to be
    /// abandoned because its output cannot be trusted.
    Contradictory,
}

impl OutputAssembler {
    /// Creates an empty output of `attempt` as run by the agent incarnation `agent`.
    pub fn new(attempt: AttemptId, agent: Incarnation) -> Self {
        Self {
            attempt,
            agent,
            next_sequence: 0,
            reorder_buffer: BTreeMap::new(),
            max_end: 0,
            completion: None,
            mismatched_pages: 0,
            contradictory_pages: 0,
            mechanisms: Mechanisms::default(),
        }
    }

    /// Creates an empty output with one safety mechanism disabled.
    #[cfg(feature = "sabotage")]
    pub fn with_sabotage(attempt: AttemptId, agent: Incarnation, sabotage: Sabotage) -> Self {
        Self { mechanisms: Mechanisms::without(sabotage), ..Self::new(attempt, agent) }
    }

    /// Processes a page whose sender states that it belongs to `attempt` at the agent incarnation
    /// `agent`.
    pub fn receive_page(
        &mut self,
        attempt: AttemptId,
        agent: Incarnation,
        page: OutputPage,
    ) -> PageResult {
        let is_expected = attempt == self.attempt && agent == self.agent;
        if !is_expected && self.mechanisms.has(Sabotage::ResultMatching) {
            self.mismatched_pages += 1;
            return PageResult::Mismatched;
        }
        let Some(end) = self.validated_end(&page) else {
            self.contradictory_pages += 1;
            return PageResult::Contradictory;
        };
        self.max_end = self.max_end.max(end);
        if let Progress::Completed(completion) = page.progress {
            self.completion.get_or_insert(completion);
        }
        if !self.mechanisms.has(Sabotage::ChunkOrder) {
            self.next_sequence += page.chunks.len() as u64;
            return PageResult::Released(page.chunks);
        }
        self.buffer(page.first_sequence, page.chunks);
        PageResult::Released(self.release_in_order())
    }

    /// Returns the sequence number of the first missing chunk.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the completion once all chunks have been released.
    pub fn completed(&self) -> Option<&Completion> {
        let completion = self.completion.as_ref()?;
        let has_all_chunks = self.next_sequence == completion.chunk_count;
        (has_all_chunks || !self.mechanisms.has(Sabotage::ResponseCompleteness))
            .then_some(completion)
    }

    /// Returns the number of pages dropped because they belong to another attempt or agent
    /// incarnation.
    pub fn mismatched_pages(&self) -> u64 {
        self.mismatched_pages
    }

    /// Returns the number of pages dropped because they contradict an earlier one.
    pub fn contradictory_pages(&self) -> u64 {
        self.contradictory_pages
    }

    /// Returns the sequence number after the last chunk of the page, or zero for a page without
    /// chunks.
    ///
    /// Returns `None` if the page contradicts an earlier one or its sequence numbers overflow.
    fn validated_end(&self, page: &OutputPage) -> Option<u64> {
        let end = page.first_sequence.checked_add(page.chunks.len() as u64)?;
        let end = if page.chunks.is_empty() { 0 } else { end };
        let mut chunk_count = self.completion.as_ref().map(|it| it.chunk_count);
        if let Progress::Completed(completion) = &page.progress {
            if chunk_count.is_some_and(|it| it != completion.chunk_count) {
                return None;
            }
            chunk_count = Some(completion.chunk_count);
        }
        let max_end = self.max_end.max(end);
        if chunk_count.is_some_and(|it| max_end > it) {
            return None;
        }
        Some(end)
    }

    fn buffer(&mut self, first_sequence: u64, chunks: Vec<Bytes>) {
        let window_end = self.next_sequence.saturating_add(REORDER_WINDOW_CHUNKS);
        for (sequence, chunk) in (first_sequence..).zip(chunks) {
            if sequence < self.next_sequence {
                continue;
            }
            // Chunks beyond the window are dropped to bound memory; they are read again later.
            if sequence >= window_end {
                break;
            }
            self.reorder_buffer.entry(sequence).or_insert(chunk);
        }
    }

    fn release_in_order(&mut self) -> Vec<Bytes> {
        let mut released = Vec::new();
        while let Some(chunk) = self.reorder_buffer.remove(&self.next_sequence) {
            released.push(chunk);
            self.next_sequence += 1;
        }
        released
    }
}
