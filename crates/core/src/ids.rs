//! Identifiers of requests, attempts and process incarnations.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Identifies one caller request, across all its stages and attempts.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:032x}")]
pub struct RequestId(pub u128);

/// Identifies one run of a process; every start uses a new random value.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// Index of a stage in its pipeline, counted from zero.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct StageIndex(pub u8);

/// Identifies one attempt to run one stage of one request.
///
/// A result belongs to an attempt only if all parts of the identifier match.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{request}/{stage}/{number}@{entry}")]
pub struct AttemptId {
    /// Caller request that the attempt belongs to.
    pub request: RequestId,
    /// Stage that the attempt runs.
    pub stage: StageIndex,
    /// Number of the attempt within its stage, counted from zero.
    pub number: u16,
    /// Incarnation of the entry process that started the attempt.
    pub entry: Incarnation,
}

/// SHA-256 digest of a byte string.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        use sha2::Digest as _;
        Self(sha2::Sha256::digest(bytes).into())
    }

    /// Returns the first eight bytes as a number; the same in every process.
    pub(crate) fn prefix(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

/// The text is not the hexadecimal form of a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, derive_more::Error)]
#[display("not a digest of 64 hexadecimal digits")]
pub struct ParseDigestError;

impl std::str::FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, ParseDigestError> {
        let mut digest = [0; 32];
        if text.len() != 2 * digest.len() || !text.is_ascii() {
            return Err(ParseDigestError);
        }
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseDigestError)?;
        }
        Ok(Self(digest))
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
