//! Form of calls to targets: names of headers, and the JSON of a reply.

use heatherrun_kernel::message::{Lot, TargetReply, TargetReport};
use heatherrun_kernel::{MapRev, Snapshot};
use http::HeaderName;
use serde::{Deserialize, Serialize};

/// Identifier of a call, repeated by the reply.
pub static CALL: HeaderName = HeaderName::from_static("heatherrun-call");
/// Service, as the hash of its name.
pub static SERVICE: HeaderName = HeaderName::from_static("heatherrun-service");
/// Shard searched.
pub static SHARD: HeaderName = HeaderName::from_static("heatherrun-shard");
/// How the call may be treated: search, repeatable or once.
pub static KIND: HeaderName = HeaderName::from_static("heatherrun-kind");
/// Snapshot pinned.
pub static SNAPSHOT: HeaderName = HeaderName::from_static("heatherrun-snapshot");
/// Shard map pinned.
pub static MAP: HeaderName = HeaderName::from_static("heatherrun-map");
/// Generation of the sender's right.
pub static EPOCH: HeaderName = HeaderName::from_static("heatherrun-epoch");
/// Time left, in microseconds.
pub static LEFT: HeaderName = HeaderName::from_static("heatherrun-left");
/// Why a call was refused before it ran.
pub static NOT_RUN: HeaderName = HeaderName::from_static("heatherrun-not-run");

/// JSON form of a reply; the body of a request's answer is text.
#[derive(Serialize, Deserialize)]
struct Reply {
    snapshot: Snapshot,
    map: MapRev,
    #[serde(default)]
    lots: Vec<Lot>,
    #[serde(default)]
    body: String,
    report: TargetReport,
}

/// Reads a target's reply.
///
/// # Errors
/// When `json` is not the form of a reply.
pub fn decode_reply(json: &[u8]) -> serde_json::Result<TargetReply> {
    let reply: Reply = serde_json::from_slice(json)?;
    Ok(TargetReply {
        snapshot: reply.snapshot,
        map: reply.map,
        lots: reply.lots,
        body: reply.body.into_bytes(),
        report: reply.report,
    })
}

/// Writes a target's reply.
///
/// # Errors
/// When the reply has no JSON form.
pub fn encode_reply(reply: TargetReply) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&Reply {
        snapshot: reply.snapshot,
        map: reply.map,
        lots: reply.lots,
        body: String::from_utf8_lossy(&reply.body).into_owned(),
        report: reply.report,
    })
}
