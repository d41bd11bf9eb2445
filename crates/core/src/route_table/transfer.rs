//! Transfer of an encoded configuration in parts.
//!
//! The time that a document takes over a slow link grows with its size, so no timeout covers a whole
//! transfer: each part has its own, a part that is lost is asked for again, and the parts received so
//! far are kept. A part is small enough not to delay the other messages of its connection.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{ids::Digest, route_table::ConfigurationId};

/// Size of a part, in bytes; 26 ms over a link of 10 Mbit/s.
const PART_BYTES: usize = 32 * 1024;
/// Largest size of an encoded configuration, in bytes.
const MAX_ENCODED_BYTES: usize = 16 * 1024 * 1024;

/// Identifies the encoded form of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TransferId {
    /// Configuration that the receiver needs; none if the encoded form is complete.
    pub base: Option<ConfigurationId>,
    /// Configuration that the receiver gets.
    pub target: ConfigurationId,
    /// Checksum of all bytes.
    pub checksum: u64,
}

/// Asks for a part of a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Configuration that the receiver has.
    pub known: Option<ConfigurationId>,
    /// Transfer that goes on; none for the newest configuration from its beginning.
    pub transfer: Option<TransferId>,
    /// Position of the first byte.
    pub offset: usize,
}

/// A part of an encoded configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationPart {
    /// Transfer that the part belongs to.
    pub transfer: TransferId,
    /// Size of the whole encoded form, in bytes.
    pub total_bytes: usize,
    /// Position of the first byte.
    pub offset: usize,
    /// The bytes.
    pub bytes: Bytes,
}

/// An encoded change, as an entry that has the configuration keeps it.
#[derive(Clone, Debug)]
pub struct EncodedChange {
    transfer: TransferId,
    bytes: Bytes,
}

impl EncodedChange {
    /// Creates the encoded form of the change from `base` to `target`.
    pub fn new(base: Option<ConfigurationId>, target: ConfigurationId, bytes: Bytes) -> Self {
        let transfer = TransferId { base, target, checksum: checksum(&bytes) };
        Self { transfer, bytes }
    }

    /// Returns the identifier.
    pub fn transfer(&self) -> TransferId {
        self.transfer
    }

    /// Returns the part that begins at a position.
    pub fn part(&self, offset: usize) -> ConfigurationPart {
        let offset = offset.min(self.bytes.len());
        let end = (offset + PART_BYTES).min(self.bytes.len());
        ConfigurationPart {
            transfer: self.transfer,
            total_bytes: self.bytes.len(),
            offset,
            bytes: self.bytes.slice(offset..end),
        }
    }
}

/// What a received part has led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// More parts are needed.
    Incomplete,
    /// The transfer is complete.
    Complete(Bytes),
    /// The part does not fit to those before it, so the transfer begins again.
    Invalid,
}

/// The parts that a receiver has so far.
#[derive(Clone, Debug, Default)]
pub struct IncomingTransfer {
    transfer: Option<TransferId>,
    bytes: Vec<u8>,
}

impl IncomingTransfer {
    /// Returns the request for the next part, where the receiver has the configuration `known`.
    pub fn next_request(&mut self, known: Option<ConfigurationId>) -> PartRequest {
        // Another way may have delivered a configuration since the transfer began.
        let is_useful = self.transfer.is_some_and(|it| {
            let is_newer = known.is_none_or(|known| known.version < it.target.version);
            is_newer && it.base.is_none_or(|base| Some(base) == known)
        });
        if !is_useful {
            self.reset();
        }
        PartRequest { known, transfer: self.transfer, offset: self.bytes.len() }
    }

    /// Adds a part.
    pub fn receive(&mut self, part: ConfigurationPart) -> Received {
        if self.transfer != Some(part.transfer) {
            // The sender no longer has the form that was asked for.
            self.reset();
            self.transfer = Some(part.transfer);
        }
        let is_next = part.offset == self.bytes.len();
        let end = self.bytes.len() + part.bytes.len();
        let fits = end <= part.total_bytes && part.total_bytes <= MAX_ENCODED_BYTES;
        let makes_progress = !part.bytes.is_empty() || end == part.total_bytes;
        if !is_next || !fits || !makes_progress {
            self.reset();
            return Received::Invalid;
        }
        self.bytes.extend_from_slice(&part.bytes);
        if self.bytes.len() < part.total_bytes {
            return Received::Incomplete;
        }
        let bytes = Bytes::from(std::mem::take(&mut self.bytes));
        self.reset();
        if checksum(&bytes) != part.transfer.checksum {
            return Received::Invalid;
        }
        Received::Complete(bytes)
    }

    fn reset(&mut self) {
        self.transfer = None;
        self.bytes.clear();
    }
}

fn checksum(bytes: &[u8]) -> u64 {
    Digest::of(bytes).prefix()
}

#[cfg(test)]
mod tests;
