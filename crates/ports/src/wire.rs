//! Names of the headers on calls to targets.

/// Identifier of a call, repeated by the reply.
pub const CALL: &str = "heatherrun-call";
/// Service, as a hash.
pub const SERVICE: &str = "heatherrun-service";
/// Shard searched.
pub const SHARD: &str = "heatherrun-shard";
/// How the call may be treated: search, repeatable or once.
pub const KIND: &str = "heatherrun-kind";
/// Snapshot pinned.
pub const SNAPSHOT: &str = "heatherrun-snapshot";
/// Shard map pinned.
pub const MAP: &str = "heatherrun-map";
/// Generation of the sender's right.
pub const EPOCH: &str = "heatherrun-epoch";
/// Time left, in microseconds.
pub const LEFT: &str = "heatherrun-left";
/// Why a call was refused before it ran.
pub const NOT_RUN: &str = "heatherrun-not-run";
