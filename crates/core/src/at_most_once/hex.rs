//! Hexadecimal encoding of numbers and digests in JSON, where large numbers lose precision.

use std::fmt::Write;

use crate::ids::Digest;

/// Serializes a `u128` as 32 hexadecimal digits.
pub(crate) mod number {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(crate) fn serialize<S: Serializer>(value: &u128, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{value:032x}"))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<u128, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}

/// Serializes an [`Incarnation`](crate::ids::Incarnation) as 16 hexadecimal digits.
pub(crate) mod incarnation {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    use crate::ids::Incarnation;

    pub(crate) fn serialize<S: Serializer>(
        value: &Incarnation,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(value)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Incarnation, D::Error> {
        let text = String::deserialize(deserializer)?;
        u64::from_str_radix(&text, 16).map(Incarnation).map_err(D::Error::custom)
    }
}

/// Serializes a [`Digest`](crate::ids::Digest) as 64 hexadecimal digits.
pub(crate) mod digest {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    use crate::ids::Digest;

    pub(crate) fn serialize<S: Serializer>(
        value: &Digest,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(value)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Digest, D::Error> {
        let text = String::deserialize(deserializer)?;
        super::decode_digest(&text)
            .ok_or_else(|| D::Error::custom("digest is not 64 hexadecimal digits"))
    }
}

/// Encodes bytes as hexadecimal digits.
pub(crate) fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Decodes hexadecimal digits; returns `None` if the text is not valid.
pub(crate) fn decode(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let mut bytes = Vec::with_capacity(digits.len() / 2);
    for pair in digits.chunks_exact(2) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        bytes.push((high * 16 + low) as u8);
    }
    Some(bytes)
}

fn decode_digest(text: &str) -> Option<Digest> {
    decode(text)?.try_into().ok().map(Digest)
}
