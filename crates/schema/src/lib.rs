//! Types and operator calls generated from `proto/heatherrun.proto`.
//!
//! The generated code is committed; a test of
//! `heatherrun-codegen` regenerates it and compares. Set `HEATHERRUN_WRITE_GENERATED=1` for that test to rewrite it.

pub mod fields;
mod json;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Messages of the schema and the generated operator calls.
#[allow(missing_docs, clippy::pedantic)]
pub mod v1 {
    include!("generated/heatherrun.v1.rs");
}

/// Failure of an operator call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The path names no call of the schema.
    #[error("no operator call named {0}; use a client of the same version as the daemon")]
    UnknownCall(String),
    /// The message is not the JSON form of its type.
    #[error("malformed message: {0}; send the JSON form of the type in the schema")]
    Malformed(String),
    /// No connection to the daemon; it did not see the call.
    #[error("no daemon reached: {0}; check the operator address and that the daemon runs")]
    Unreached(String),
    /// The daemon may have seen the call, but its answer is lost.
    #[error("the answer is lost: {0}; the call may have taken effect, see `heatherrun history`")]
    Transport(String),
    /// The daemon refused the call.
    #[error("{0}")]
    Refused(String),
}

/// JSON form of [`v1::Service`]: the kind stands as a key of its own.
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

/// Reads the JSON form of a message.
///
/// # Errors
/// [`CallError::Malformed`] when `body` is not that form.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|e| CallError::Malformed(e.to_string()))
}

/// Writes the JSON form of a message.
///
/// # Errors
/// [`CallError::Malformed`] when the message has no JSON form.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CallError> {
    serde_json::to_vec(message).map_err(|e| CallError::Malformed(e.to_string()))
}
