//! Wire format of calls to targets: header names and the JSON body of replies.

use heatherrun_kernel::message::{Lot, TargetReply, TargetReport};
use heatherrun_kernel::{MapRev, Snapshot};
use http::HeaderName;
use serde::{Deserialize, Serialize};

/// Identifier of the call; the reply repeats it.
pub static CALL: HeaderName = HeaderName::from_static("heatherrun-call");
/// Service called, as the hash of its name.
pub static SERVICE: HeaderName = HeaderName::from_static("heatherrun-service");
/// Shard to search.
pub static SHARD: HeaderName = HeaderName::from_static("heatherrun-shard");
/// Kind of call: `search`, `repeatable` or `once`.
pub static KIND: HeaderName = HeaderName::from_static("heatherrun-kind");
/// Snapshot that the call is pinned to.
pub static SNAPSHOT: HeaderName = HeaderName::from_static("heatherrun-snapshot");
/// Revision of the shard map that the call is pinned to.
pub static MAP: HeaderName = HeaderName::from_static("heatherrun-map");
/// Epoch of the sender's ownership of the target.
pub static EPOCH: HeaderName = HeaderName::from_static("heatherrun-epoch");
/// Time left until the deadline, in microseconds.
pub static LEFT: HeaderName = HeaderName::from_static("heatherrun-left");
/// Reason why the target did not complete the call.
pub static NOT_RUN: HeaderName = HeaderName::from_static("heatherrun-not-run");

/// JSON body of a reply. The body of a pooled request's reply is sent as text.
#[derive(Serialize, Deserialize)]
struct ReplyBody {
    snapshot: Snapshot,
    map: MapRev,
    #[serde(default)]
    lots: Vec<Lot>,
    #[serde(default)]
    body: String,
    report: TargetReport,
}

/// Decodes a target's reply.
///
/// # Errors
/// When `json` is not a valid reply.
pub fn decode_reply(json: &[u8]) -> serde_json::Result<TargetReply> {
    let reply: ReplyBody = serde_json::from_slice(json)?;
    Ok(TargetReply {
        snapshot: reply.snapshot,
        map: reply.map,
        lots: reply.lots,
        body: reply.body.into_bytes(),
        report: reply.report,
    })
}

/// Encodes a target's reply.
///
/// # Errors
/// When the reply cannot be serialized as JSON.
pub fn encode_reply(reply: TargetReply) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&ReplyBody {
        snapshot: reply.snapshot,
        map: reply.map,
        lots: reply.lots,
        body: String::from_utf8_lossy(&reply.body).into_owned(),
        report: reply.report,
    })
}
