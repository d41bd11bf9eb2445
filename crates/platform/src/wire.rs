//! JSON forms and paths of the object API.

use serde::{Deserialize, Serialize};

use crate::{Kind, Object, PlatformError, ResourceVersion};

/// Value of the `apiVersion` member of every object.
pub const API_VERSION: &str = "yuccatrail.dev/v1";

/// Largest encoded object that the platform takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Longest name of an object or namespace, in bytes.
const MAX_NAME_BYTES: usize = 253;

/// An object in JSON.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Envelope<T> {
    pub(crate) api_version: String,
    pub(crate) kind: String,
    pub(crate) metadata: Metadata,
    pub(crate) spec: T,
}

/// Metadata of an object in JSON.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Metadata {
    pub(crate) name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) namespace: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) resource_version: Option<ResourceVersion>,
}

/// A list of objects in JSON.
#[derive(Debug, Deserialize)]
#[serde(bound = "T: serde::de::DeserializeOwned")]
pub(crate) struct ListEnvelope<T> {
    pub(crate) metadata: ListMetadata,
    pub(crate) items: Vec<Envelope<T>>,
}

/// Metadata of a list, a bookmark or any other object of which only the version matters.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ListMetadata {
    pub(crate) resource_version: ResourceVersion,
}

/// An object of which only the version matters.
#[derive(Debug, Deserialize)]
pub(crate) struct VersionOnly {
    pub(crate) metadata: ListMetadata,
}

/// A failure in JSON.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Status {
    pub(crate) code: u16,
    pub(crate) reason: String,
    pub(crate) message: String,
}

/// Conditions of a deletion in JSON.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct DeleteOptions<'a> {
    pub(crate) api_version: &'static str,
    pub(crate) kind: &'static str,
    pub(crate) preconditions: Preconditions<'a>,
}

/// Version that an object has to have for a deletion.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Preconditions<'a> {
    pub(crate) resource_version: &'a ResourceVersion,
}

impl<T> Envelope<T> {
    /// Converts to the public form; an answer without a version breaks the API.
    pub(crate) fn into_object(self) -> Result<Object<T>, String> {
        let Some(resource_version) = self.metadata.resource_version else {
            return Err(format!("object {} carries no resourceVersion", self.metadata.name));
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

/// Checks that a name is a lower-case DNS name, so that it stands in a path as it is.
fn check_name(what: &str, name: &str) -> Result<(), PlatformError> {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'.'
    };
    let ends_alphanumeric = name.as_bytes().first().is_some_and(u8::is_ascii_alphanumeric)
        && name.as_bytes().last().is_some_and(u8::is_ascii_alphanumeric);
    if name.len() <= MAX_NAME_BYTES && ends_alphanumeric && name.bytes().all(allowed) {
        return Ok(());
    }
    Err(PlatformError::Invalid {
        object: format!("{what}/{name}"),
        detail: "name is not a lower-case DNS name".to_owned(),
    })
}
