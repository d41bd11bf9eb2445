//! Initial objects of the stand-in.

use std::io;

use derive_more::{Display, Error, From};
use serde::Deserialize;
use serde_json::Value;
use yuccatrail_platform::Kind;

use super::store::Collection;

/// Error in reading a seed.
#[derive(Debug, Display, Error, From)]
pub enum SeedError {
    /// The file could not be read.
    #[display("cannot read: {_0}")]
    Read(io::Error),
    /// The text is not a JSON list of objects of the API.
    #[display("not a list of objects: {_0}")]
    Parse(serde_json::Error),
    /// An object has a kind that the system does not use; holds the kind.
    #[display("unknown kind {_0:?}")]
    #[from(skip)]
    UnknownKind(#[error(not(source))] String),
}

/// Initial objects of the stand-in, each with its collection and name.
#[derive(Debug, Default)]
pub struct Seed {
    pub(crate) objects: Vec<(Collection, String, Value)>,
}

#[derive(Deserialize)]
struct List {
    items: Vec<Value>,
}

#[derive(Deserialize)]
struct Header {
    kind: String,
    metadata: Metadata,
}

#[derive(Deserialize)]
struct Metadata {
    name: String,
    namespace: String,
}

impl Seed {
    /// Parses a JSON object whose member `items` lists objects of the API.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not such a list or an object has an unknown kind.
    pub fn parse(json: &[u8]) -> Result<Self, SeedError> {
        let list: List = serde_json::from_slice(json)?;
        let mut objects = Vec::with_capacity(list.items.len());
        for item in list.items {
            let header: Header = serde_json::from_value(item.clone())?;
            let Some(kind) = Kind::ALL.into_iter().find(|it| it.name() == header.kind) else {
                return Err(SeedError::UnknownKind(header.kind));
            };
            let namespace = header.metadata.namespace;
            let collection = Collection { namespace, plural: kind.plural().to_owned() };
            objects.push((collection, header.metadata.name, item));
        }
        Ok(Self { objects })
    }
}
