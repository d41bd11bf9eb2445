//! JSON representation and paths of the object API.

use log::warn;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use crate::{Kind, Object, ObjectList, PlatformError, ResourceVersion};

/// Value of the `apiVersion` member of all objects.
pub const API_VERSION: &str = "yuccatrail.dev/v1";

/// Maximum size of an encoded object that the platform accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum length of the name of an object or namespace, in bytes.
const MAX_NAME_BYTES: usize = 253;

/// JSON representation of an object.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Envelope<T> {
    pub(crate) api_version: String,
    pub(crate) kind: String,
    pub(crate) metadata: Metadata,
    pub(crate) spec: T,
}

/// JSON representation of an object's metadata.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Metadata {
    pub(crate) name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) namespace: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) resource_version: Option<ResourceVersion>,
}

/// JSON representation of a list of objects.
#[derive(Debug, Deserialize)]
pub(crate) struct ListEnvelope<'a> {
    pub(crate) metadata: ListMetadata,
    /// Objects that have not been decoded: one that can't be must not hide the others.
    #[serde(borrow)]
    pub(crate) items: Vec<&'a RawValue>,
}

/// Metadata of a list or a bookmark, of which only the version is used.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ListMetadata {
    pub(crate) resource_version: ResourceVersion,
}

/// An object of which only the version is used.
#[derive(Debug, Deserialize)]
pub(crate) struct VersionOnly {
    pub(crate) metadata: ListMetadata,
}

/// JSON representation of an error.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Status {
    pub(crate) code: u16,
    pub(crate) reason: String,
    pub(crate) message: String,
}

/// JSON representation of the options of a deletion.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct DeleteOptions<'a> {
    pub(crate) api_version: &'static str,
    pub(crate) kind: &'static str,
    pub(crate) preconditions: Preconditions<'a>,
}

/// Version that the object has to have for the deletion to succeed.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Preconditions<'a> {
    pub(crate) resource_version: &'a ResourceVersion,
}

/// Decodes a list of objects and leaves out those that can't be decoded.
pub(crate) fn decode_list<T: DeserializeOwned>(body: &[u8]) -> Result<ObjectList<T>, String> {
    let text = String::from_utf8_lossy(body);
    let list: ListEnvelope<'_> = serde_json::from_str(&text).map_err(|it| it.to_string())?;
    let mut objects = Vec::with_capacity(list.items.len());
    for item in list.items {
        let decoded = serde_json::from_str::<Envelope<T>>(item.get()).map_err(|it| it.to_string());
        match decoded.and_then(Envelope::into_object) {
            Ok(object) => objects.push(object),
            Err(error) => warn!(error:% = error; "object of a list can't be read"),
        }
    }
    Ok(ObjectList { resource_version: list.metadata.resource_version, objects })
}

impl<T> Envelope<T> {
    /// Converts to the public type; fails if the object has no version, which violates the API.
    pub(crate) fn into_object(self) -> Result<Object<T>, String> {
        let Some(resource_version) = self.metadata.resource_version else {
            return Err(format!("object {} has no resourceVersion", self.metadata.name));
        };
        Ok(Object { name: self.metadata.name, resource_version, spec: self.spec })
    }
}

/// Returns the path of a collection.
pub(crate) fn collection_path(environment: &str, kind: Kind) -> Result<String, PlatformError> {
    check_name("environment", environment)?;
    Ok(format!("/apis/{API_VERSION}/namespaces/{environment}/{}", kind.plural()))
}

/// Returns the path of an object.
pub(crate) fn object_path(
    environment: &str,
    kind: Kind,
    name: &str,
) -> Result<String, PlatformError> {
    check_name(kind.plural(), name)?;
    Ok(format!("{}/{name}", collection_path(environment, kind)?))
}

/// Checks that a name is a lower-case DNS name, which needs no escaping in a path.
fn check_name(what: &str, name: &str) -> Result<(), PlatformError> {
    let is_allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'.'
    };
    let ends_alphanumeric = name.as_bytes().first().is_some_and(u8::is_ascii_alphanumeric)
        && name.as_bytes().last().is_some_and(u8::is_ascii_alphanumeric);
    if name.len() <= MAX_NAME_BYTES && ends_alphanumeric && name.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(PlatformError::Invalid {
        object: format!("{what}/{name}"),
        detail: "name is not a lower-case DNS name".to_owned(),
    })
}

#[cfg(test)]
mod tests;
