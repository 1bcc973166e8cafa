//! Typed control messages between nodes: heartbeats with grants and changes,
//! claims of once-only requests, and suspicions of crash-causing requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::message::NodeInfo;
use crate::port::KeyValue;
use crate::{CallId, Epoch, NodeId, QueryId, Revision, ShardIx, TargetId, Time};

/// A node's sign of life to the leader of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Sender.
    pub from: NodeInfo,
    /// Sender's clock at the send; the answer repeats it, and a grant counts
    /// from it.
    pub sent: Time,
    /// Newest revision the sender has in force.
    pub revision: Revision,
    /// Load in per cent.
    pub load: u8,
    /// True when the sender is shutting down.
    pub leaving: bool,
    /// Units the sender holds a right to.
    pub held: Vec<(TargetId, Epoch)>,
}

/// The right to one unit for a bounded time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Unit: a target, or a partition of once-only records.
    pub unit: TargetId,
    /// Generation.
    pub epoch: Epoch,
    /// Part of the target's limit that may be used, in per cent.
    pub share: u8,
}

/// A leader's answer to a [`Beat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeatAnswer {
    /// Leader.
    pub leader: NodeId,
    /// Generation of the leader's lease.
    pub term: Epoch,
    /// `sent` of the beat.
    pub echo: Time,
    /// Grants end this long after `echo` on the sender's clock.
    pub valid: Duration,
    /// All grants of the sender.
    pub grants: Vec<Grant>,
    /// Configuration newer than the sender's.
    pub changes: Vec<KeyValue>,
}

/// Asks the holder of a partition whether a once-only request may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Partition.
    pub unit: TargetId,
    /// Id that the caller chose.
    pub id: String,
    /// When the id was issued, in Unix milliseconds.
    pub issued: u64,
    /// Fingerprint of service and body.
    pub print: u64,
    /// The claimer's query; a claim repeated under it is answered alike.
    pub by: QueryId,
}

/// Answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claimer alone may run it, once.
    Granted,
    /// It ran; this is its answer.
    Ran(Vec<u8>),
    /// It is running, or may have run.
    Unknown,
    /// The id was used with another body; nothing was run for this one.
    Conflict,
    /// The id is older than the window.
    TooOld,
    /// The node does not hold the partition.
    NotHolder,
}

/// Tells the holder of a partition how a granted request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// Partition.
    pub unit: TargetId,
    /// Id that the caller chose.
    pub id: String,
    /// The claimer's query, so that a late message ends no other grant.
    pub by: QueryId,
    /// How it ended.
    pub end: Ending,
}

/// End of a granted request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// It ran with this answer.
    Ran(Vec<u8>),
    /// It was proved not to have run; it may be granted again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Suspicion that a request crashes targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Suspicion {
    /// Fingerprint of service and body.
    pub print: u64,
    /// Target whose connection was lost while it ran.
    pub target: TargetId,
    /// Shard that the target held.
    pub shard: ShardIx,
    /// Call that was lost.
    pub call: CallId,
    /// True when the same request had succeeded on another shard before.
    pub proven: bool,
    /// True when an operator cleared the fingerprint.
    pub cleared: bool,
}

/// A control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Sign of life.
    Beat(Beat),
    /// Claim of a once-only request.
    Claim(Claim),
    /// End of a claimed request.
    Settle(Settle),
    /// Suspicions, new to the receiver or not.
    Suspect(Vec<Suspicion>),
}

/// Answer to a control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// To a beat.
    Beat(BeatAnswer),
    /// To a claim.
    Claim(ClaimAnswer),
    /// The message was taken.
    Taken,
    /// The receiver does not serve the message, such as a beat to a node that
    /// does not lead; names the leader when known.
    Refused(Option<NodeId>),
}
