//! Large documents as compressed CBOR.

use std::io::{self, Read, Write};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use serde::{Serialize, de::DeserializeOwned};

/// Largest size of a document before compression, in bytes.
const MAX_DOCUMENT_BYTES: u64 = 64 * 1024 * 1024;

/// Error of encoding or decoding a document.
#[derive(Debug, Display, Error, From)]
pub enum DocumentError {
    /// It could not be encoded.
    #[display("cannot encode document: {_0}")]
    Encode(ciborium::ser::Error<io::Error>),
    /// It could not be compressed or decompressed.
    #[display("cannot compress document: {_0}")]
    Compress(io::Error),
    /// It could not be decoded.
    #[display("cannot decode document: {_0}")]
    Decode(ciborium::de::Error<io::Error>),
}

/// Encodes and compresses a document.
///
/// # Errors
///
/// Returns an error if the document can't be encoded.
pub fn encode<T: Serialize>(document: &T) -> Result<Bytes, DocumentError> {
    // The serializer writes a few bytes at a time, each of which would cost a call of the compressor.
    let mut plain = Vec::new();
    ciborium::into_writer(document, &mut plain)?;
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&plain)?;
    Ok(Bytes::from(encoder.finish()?))
}

/// Decompresses and decodes a document.
///
/// # Errors
///
/// Returns an error if the bytes are not a document of this type, or one that is too large.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DocumentError> {
    let mut plain = Vec::new();
    ZlibDecoder::new(bytes).take(MAX_DOCUMENT_BYTES).read_to_end(&mut plain)?;
    Ok(ciborium::from_reader(plain.as_slice())?)
}
