//! Types and operator calls generated from `proto/heatherrun.proto`, with their
//! JSON encoding.
//!
//! The generated code is committed. A test of `heatherrun-codegen` generates it
//! again and compares; with `HEATHERRUN_WRITE_GENERATED=1` set, that test updates
//! the committed files instead.

pub mod fields;
mod json;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Generated messages and operator calls of the schema.
#[allow(missing_docs, clippy::pedantic)]
pub mod v1 {
    include!("generated/heatherrun.v1.rs");
}

/// Failure of an operator call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The schema has no call with the name in the path.
    #[error("no operator call named {0}; use a client of the same version as the daemon")]
    UnknownCall(String),
    /// The message is not valid JSON of its type.
    #[error("malformed message: {0}; send the JSON form of the type in the schema")]
    Malformed(String),
    /// No connection to the daemon; it did not receive the call.
    #[error("no daemon reached: {0}; check the operator address and that the daemon runs")]
    Unreached(String),
    /// The daemon may have received the call, but its answer was lost.
    #[error("the answer is lost: {0}; the call may have taken effect, see `heatherrun history`")]
    Transport(String),
    /// The daemon rejected the call, for this reason.
    #[error("{0}")]
    Refused(String),
}

/// JSON representation of [`v1::Service`], in which the variant of `kind` is a key
/// of the service itself.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct ServiceJson {
    name: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    sharded: Option<v1::Sharded>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pooled: Option<v1::Pooled>,
    #[serde(skip_serializing_if = "Option::is_none")]
    limits: Option<v1::Limits>,
    #[serde(skip_serializing_if = "Option::is_none")]
    objectives: Option<v1::Objectives>,
}

impl From<ServiceJson> for v1::Service {
    fn from(json: ServiceJson) -> Self {
        let sharded = json.sharded.map(v1::service::Kind::Sharded);
        let pooled = json.pooled.map(v1::service::Kind::Pooled);
        Self {
            name: json.name,
            kind: sharded.or(pooled),
            limits: json.limits,
            objectives: json.objectives,
        }
    }
}

impl From<v1::Service> for ServiceJson {
    fn from(service: v1::Service) -> Self {
        let mut json = Self {
            name: service.name,
            limits: service.limits,
            objectives: service.objectives,
            ..Self::default()
        };
        match service.kind {
            Some(v1::service::Kind::Sharded(kind)) => json.sharded = Some(kind),
            Some(v1::service::Kind::Pooled(kind)) => json.pooled = Some(kind),
            None => {}
        }
        json
    }
}

/// Decodes a message from JSON.
///
/// # Errors
/// [`CallError::Malformed`] when `body` is not valid JSON of the type.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|e| CallError::Malformed(e.to_string()))
}

/// Encodes a message as JSON.
///
/// # Errors
/// [`CallError::Malformed`] when the message cannot be represented in JSON.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CallError> {
    serde_json::to_vec(message).map_err(|e| CallError::Malformed(e.to_string()))
}
