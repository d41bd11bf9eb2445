//! Claim of a call, as stored in the platform in JSON.

use bytes::Bytes;
use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::{
    at_most_once::hex,
    ids::{Digest, Incarnation},
    outcome::Reason,
};

/// Largest response body stored in a claim, in bytes; escaped in JSON it stays below a megabyte.
pub(crate) const MAX_RECORDED_BODY_BYTES: usize = 128 * 1024;

/// Name of the platform object that holds a claim.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Into, Serialize, Deserialize)]
pub struct ClaimName(String);

/// Random value by which a request recognises its own claim.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, From, Into, Serialize, Deserialize)]
#[display("{_0:032x}")]
pub struct ClaimToken(#[serde(with = "hex::number")] pub u128);

/// Claim of a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Token of the request that holds the claim.
    pub token: ClaimToken,
    /// Incarnation of the entry that holds the claim.
    #[serde(with = "hex::incarnation")]
    pub claimant: Incarnation,
    /// Digest of the customer, target and body of the call; never changes.
    #[serde(with = "hex::digest")]
    pub fingerprint: Digest,
    /// Number of the holder, counted from one; increases whenever the claim changes hands.
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
    /// The call ran and the upstream returned this response.
    Done(CallResponse),
    /// The call reached an upstream, which reported a failure.
    Failed {
        /// Why the call did not complete.
        reason: Reason,
    },
    /// It will never be known whether the call ran.
    Unknown {
        /// Why the call did not complete.
        reason: Reason,
    },
}

/// Response of an upstream to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body of the response.
    pub body: RecordedBody,
}

/// Body of a recorded response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "BodyText", try_from = "BodyText")]
pub enum RecordedBody {
    /// The complete body.
    Whole(Bytes),
    /// The body was too large to be stored in the claim.
    Omitted {
        /// Digest of the body.
        digest: Digest,
        /// Length of the body in bytes.
        length_bytes: u64,
    },
}

/// JSON representation of a [`RecordedBody`].
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

/// Derives the name of a call's claim, which is equal for all copies of the call at every entry.
pub fn claim_name(customer: &str, service: &str, idempotency_key: &str) -> ClaimName {
    let mut input = Vec::new();
    for part in [customer, service, idempotency_key] {
        // The length prefix keeps different parts from concatenating to equal input.
        input.extend_from_slice(&(part.len() as u64).to_be_bytes());
        input.extend_from_slice(part.as_bytes());
    }
    ClaimName(format!("claim-{}", Digest::of(&input)))
}

impl CallResponse {
    /// Returns the response as it is recorded; a body too large for the claim is omitted.
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
            BodyText::Hex(text) => hex::decode(&text)
                .map(|it| Self::Whole(it.into()))
                .ok_or("response body is not valid hexadecimal"),
            BodyText::Omitted { digest, length_bytes } => {
                Ok(Self::Omitted { digest, length_bytes })
            }
        }
    }
}
