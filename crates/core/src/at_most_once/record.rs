//! The claim of a call, as the platform keeps it in JSON.

use bytes::Bytes;
use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::{
    at_most_once::hex,
    ids::{Digest, Incarnation},
    outcome::Reason,
};

/// Largest body kept in a claim, in bytes; escaped in JSON it stays below a megabyte.
pub(crate) const MAX_RECORDED_BODY_BYTES: usize = 128 * 1024;

/// Name of the platform object that holds a claim.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Into, Serialize, Deserialize)]
pub struct ClaimName(String);

/// Random value that one request draws to recognise its own claim.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, From, Into, Serialize, Deserialize)]
#[display("{_0:032x}")]
pub struct ClaimToken(#[serde(with = "hex::number")] pub u128);

/// Claim of a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Token of the request that holds the claim.
    pub token: ClaimToken,
    /// The run of the entry that holds the claim.
    #[serde(with = "hex::incarnation")]
    pub claimant: Incarnation,
    /// Digest of the customer, target and body of the call; it never changes.
    #[serde(with = "hex::digest")]
    pub fingerprint: Digest,
    /// Number of the holder, counted from one; it rises whenever the claim changes hands.
    pub epoch: u32,
    /// State of the call.
    pub state: ClaimState,
}

/// State of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ClaimState {
    /// The holder may dispatch the call, or has done so.
    Claimed,
    /// The holder has not run the call and never will; the claim may be taken over.
    NotRun,
    /// The call ran and was answered.
    Done(CallResponse),
    /// The call reached an upstream, which reported a failure.
    Failed {
        /// Why the call did not complete.
        reason: Reason,
    },
    /// Whether the call ran will not be known.
    Unknown {
        /// Why the call did not complete.
        reason: Reason,
    },
}

/// Answer of an upstream to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body of the answer.
    pub body: RecordedBody,
}

/// Body of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "BodyText", try_from = "BodyText")]
pub enum RecordedBody {
    /// The whole body.
    Whole(Bytes),
    /// The body was too large for the claim.
    Omitted {
        /// Digest of the body.
        digest: Digest,
        /// Length of the body in bytes.
        length_bytes: u64,
    },
}

/// JSON form of an [`RecordedBody`].
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum BodyText {
    Text(String),
    Hex(String),
    Omitted {
        #[serde(with = "hex::digest")]
        digest: Digest,
        length_bytes: u64,
    },
}

/// Names the claim of a call; equal for all copies of the call at every entry.
pub fn claim_name(customer: &str, service: &str, idempotency_key: &str) -> ClaimName {
    let mut input = Vec::new();
    for part in [customer, service, idempotency_key] {
        // The length keeps different parts from joining into equal input.
        input.extend_from_slice(&(part.len() as u64).to_be_bytes());
        input.extend_from_slice(part.as_bytes());
    }
    ClaimName(format!("claim-{}", Digest::of(&input)))
}

impl CallResponse {
    /// Returns the answer as it is recorded, without a body that is too large for the claim.
    pub(crate) fn recorded(&self) -> Self {
        let body = match &self.body {
            RecordedBody::Whole(body) if body.len() > MAX_RECORDED_BODY_BYTES => {
                RecordedBody::Omitted { digest: Digest::of(body), length_bytes: body.len() as u64 }
            }
            body => body.clone(),
        };
        Self { status: self.status, content_type: self.content_type.clone(), body }
    }
}

impl From<RecordedBody> for BodyText {
    fn from(body: RecordedBody) -> Self {
        match body {
            RecordedBody::Whole(bytes) => match std::str::from_utf8(&bytes) {
                Ok(text) => Self::Text(text.to_owned()),
                Err(_) => Self::Hex(hex::encode(&bytes)),
            },
            RecordedBody::Omitted { digest, length_bytes } => {
                Self::Omitted { digest, length_bytes }
            }
        }
    }
}

impl TryFrom<BodyText> for RecordedBody {
    type Error = &'static str;

    fn try_from(body: BodyText) -> Result<Self, Self::Error> {
        match body {
            BodyText::Text(text) => Ok(Self::Whole(text.into())),
            BodyText::Hex(text) => {
                hex::decode(&text).map(|it| Self::Whole(it.into())).ok_or("body is not hexadecimal")
            }
            BodyText::Omitted { digest, length_bytes } => {
                Ok(Self::Omitted { digest, length_bytes })
            }
        }
    }
}
