//! Typed control messages between nodes: heartbeats with grants and changes,
//! claims of once-only requests, and suspicions of crash-causing requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::message::{NodeInfo, OnceRecords};
use crate::port::KeyValue;
use crate::view::{Owner, Standing};
use crate::{CallId, DomainId, Epoch, NodeId, QueryId, Revision};
use crate::{ServiceId, ShardIx, TargetId, Time};

/// Share of a holder that is sure to be the only one, in per cent.
pub const SHARE_FULL: u8 = 100;

/// Share of a holder that may have a successor it cannot know of.
pub const SHARE_DOUBT: u8 = 49;

/// Share of a holder that may have a predecessor in doubt.
pub const SHARE_REST: u8 = 51;

/// The part of `limit` that a holder of `share` may use. The parts of
/// [`SHARE_DOUBT`] and [`SHARE_REST`] make up the limit, also when it is odd.
#[must_use]
pub const fn part(limit: u16, share: u8) -> u16 {
    match share {
        0 => 0,
        1..=SHARE_DOUBT => limit / 2,
        50..SHARE_FULL => limit - limit / 2,
        _ => limit,
    }
}

/// A node's sign of life to the leader of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Sender.
    pub from: NodeId,
    /// Names and addresses, when the leader may not know them.
    pub info: Option<NodeInfo>,
    /// Sender's clock at the send; the answer repeats it, and a grant counts
    /// from it.
    pub sent: Time,
    /// `sent` of the last beat that was answered.
    pub ack: Time,
    /// Newest revision the sender has in force.
    pub revision: Revision,
    /// Load in per cent.
    pub load: u8,
    /// True when the sender is shutting down.
    pub leaving: bool,
    /// Digest of the units held.
    pub digest: u64,
    /// Units held, when the leader may not know them.
    pub held: Option<Vec<Grant>>,
    /// Term of the leader that `seen` counts for.
    pub term: Epoch,
    /// Position in the leader's log up to which the sender has everything.
    pub seen: u64,
}

/// The right to one unit for a bounded time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Unit: a target, or a partition of once-only records.
    pub unit: TargetId,
    /// Generation.
    pub epoch: Epoch,
    /// Part of the target's limit that may be used, in per cent; see [`part`].
    pub share: u8,
    /// True when it may not be used in doubt.
    pub exclusive: bool,
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
    /// Time until the next beat.
    pub period: Duration,
    /// True when the leader cannot reach the store: a grant may be used in
    /// doubt past its end.
    pub hold: bool,
    /// Time since the leader last heard from the store.
    pub age: Duration,
    /// True when the next beat shall name the sender and all it holds.
    pub tell: bool,
    /// All grants of the sender; none when its digest stands.
    pub grants: Option<Vec<Grant>>,
    /// What changed after `seen`.
    pub news: News,
}

/// A part of a leader's log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// True when the receiver shall forget members and owners first.
    pub reset: bool,
    /// Items in the order of their change.
    pub items: Vec<Item>,
    /// Position up to which the receiver has everything then.
    pub seen: u64,
    /// True when there is more.
    pub more: bool,
}

/// One entry of a leader's log. A later entry of the same thing replaces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// A part of the configuration; it is in force with the next `Head`.
    Config(KeyValue),
    /// The same as a change of the version before.
    Patch(Patch),
    /// All parts up to this revision were sent.
    Head(Revision),
    /// A node.
    Member(MemberNote),
    /// A node that is gone.
    Left(NodeId),
    /// The owner of a unit.
    Owner(OwnerNote),
    /// How far a revision is in force in one failure domain.
    Force(ForceNote),
}

/// A new version of a value as the bytes that differ from the one before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Key.
    pub key: String,
    /// Revision of the version before.
    pub from: Revision,
    /// Revision of the new version.
    pub to: Revision,
    /// Bytes kept at the start.
    pub head: u32,
    /// Bytes kept at the end.
    pub tail: u32,
    /// Bytes between them.
    pub middle: Vec<u8>,
}

/// A node with its standing, as its leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberNote {
    /// Names and addresses.
    pub info: NodeInfo,
    /// Standing.
    pub standing: Standing,
    /// Load in per cent, coarse.
    pub load: u8,
}

/// The owner of a unit, as its leader grants it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerNote {
    /// Unit.
    pub unit: TargetId,
    /// Service of the unit.
    pub service: ServiceId,
    /// Failure domain whose leader grants it.
    pub domain: DomainId,
    /// Owner; none when nobody holds it.
    pub owner: Option<Owner>,
}

/// How far a revision is in force in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForceNote {
    /// Failure domain.
    pub domain: DomainId,
    /// Revision.
    pub revision: Revision,
    /// Nodes that have it in force.
    pub nodes: u32,
    /// Nodes listed or heard.
    pub total: u32,
    /// Names of some that have not.
    pub behind: Vec<String>,
}

/// Asks a peer for what it knows; leaders ask each other all the time, and a
/// node that hears no leader asks several peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Sender.
    pub from: NodeId,
    /// Term that `seen` counts for.
    pub term: Epoch,
    /// Position in the log of the receiver.
    pub seen: u64,
}

/// Answer to a [`Pull`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullAnswer {
    /// Leader of the answering node's failure domain, when heard.
    pub leader: Option<NodeInfo>,
    /// Term that the positions of `news` count for; zero when the answering
    /// node does not lead and sent all it has.
    pub term: Epoch,
    /// What changed.
    pub news: News,
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
    /// Question for what the receiver knows.
    Pull(Pull),
    /// Something changed: a member beats and a leader reads the store at once.
    Nudge(Revision),
    /// An operator wants the receiver to shut down gracefully.
    Drain,
    /// How far is the configuration in force?
    Force,
    /// Records of a partition, from its last holder to the next one.
    Records(OnceRecords),
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
    /// To a pull.
    Pull(PullAnswer),
    /// To the question how far the configuration is in force, by failure
    /// domain.
    Force(Vec<ForceNote>),
    /// To a claim.
    Claim(ClaimAnswer),
    /// The message was taken.
    Taken,
    /// The receiver does not serve the message, such as a beat to a node that
    /// does not lead; names the leader when known.
    Refused(Option<NodeId>),
}
