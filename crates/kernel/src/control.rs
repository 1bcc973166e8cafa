//! Control messages between nodes: heartbeats with grants of ownership and
//! updates of the cluster state, claims of once-only requests, and suspicions
//! of crash-causing requests.
//!
//! Each failure domain has a leader. Nodes send it heartbeats, and it grants
//! them ownership of units: a unit is a target or a partition of once-only
//! records. The leader keeps a log of changes and sends each node the part that
//! the node has not seen.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::message::{NodeInfo, OnceRecords};
use crate::port::KeyValue;
use crate::view::{Availability, Owner};
use crate::{CallId, DomainId, Epoch, NodeId, QueryId, Revision};
use crate::{ServiceId, ShardIx, TargetId, Time};

/// Share of a target's limit, in per cent, for an owner that is certain to be
/// the only one.
pub const SHARE_FULL: u8 = 100;

/// Share, in per cent, for an owner that may have a successor of which it
/// cannot know.
pub const SHARE_UNCERTAIN: u8 = 49;

/// Share, in per cent, for an owner whose predecessor may still use the target
/// because it cannot know of the change.
pub const SHARE_REMAINDER: u8 = 51;

/// The part of `limit` that an owner with `share` per cent may use. The parts
/// for [`SHARE_UNCERTAIN`] and [`SHARE_REMAINDER`] add up to exactly `limit`,
/// also when it is odd.
#[must_use]
pub const fn limit_part(limit: u16, share: u8) -> u16 {
    match share {
        0 => 0,
        1..=SHARE_UNCERTAIN => limit / 2,
        50..SHARE_FULL => limit - limit / 2,
        _ => limit,
    }
}

/// A node's heartbeat to the leader of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Node that sends the heartbeat.
    pub from: NodeId,
    /// Identity and addresses of the sender, when the leader may not know them.
    pub info: Option<NodeInfo>,
    /// Time of the send by the sender's clock. The answer echoes it, and the
    /// validity of grants counts from it.
    pub sent: Time,
    /// `sent` of the last heartbeat that was answered.
    pub ack: Time,
    /// Newest configuration revision in force at the sender.
    pub revision: Revision,
    /// Load of the sender in per cent of its capacity.
    pub load: u8,
    /// True when the sender is shutting down.
    pub leaving: bool,
    /// Digest of the grants that the sender holds.
    pub digest: u64,
    /// Grants that the sender holds, when the leader may not know them.
    pub held: Option<Vec<Grant>>,
    /// Leader's term to which `log_position` belongs.
    pub term: Epoch,
    /// Position in the leader's log up to which the sender has received all
    /// entries.
    #[serde(rename = "seen")]
    pub log_position: u64,
}

/// Ownership of one unit for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Target, or partition of once-only records.
    pub unit: TargetId,
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// Share of the target's limit that may be used, in per cent; see
    /// [`limit_part`].
    pub share: u8,
    /// True when the unit must not be used while ownership is uncertain.
    pub exclusive: bool,
}

/// A leader's answer to a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// Leader that answers.
    pub leader: NodeId,
    /// Term of the leader: the epoch of its lease.
    pub term: Epoch,
    /// `sent` of the heartbeat.
    pub echo: Time,
    /// Validity of the grants, counted from `echo` by the clock of the node that
    /// sent the heartbeat.
    pub valid: Duration,
    /// Interval until the next heartbeat.
    pub period: Duration,
    /// True when the leader cannot reach the platform's store: a grant may then
    /// be used past its end, although ownership is uncertain.
    #[serde(rename = "hold")]
    pub store_unavailable: bool,
    /// Time since the leader's last answer from the platform's store.
    pub age: Duration,
    /// True when the next heartbeat must contain `info` and `held`.
    #[serde(rename = "tell")]
    pub resend_state: bool,
    /// All grants of the node; none when they match the digest in its heartbeat.
    pub grants: Option<Vec<Grant>>,
    /// Log entries after the `log_position` of the heartbeat.
    #[serde(rename = "news")]
    pub update: LogUpdate,
}

/// A range of entries of a leader's log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogUpdate {
    /// True when the receiver must first discard its members and owners.
    pub reset: bool,
    /// Log entries, in the order of the changes.
    pub items: Vec<LogEntry>,
    /// Log position up to which the receiver then has all entries.
    #[serde(rename = "seen")]
    pub log_position: u64,
    /// True when more entries follow.
    pub more: bool,
}

/// One entry of a leader's log. A later entry for the same object replaces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogEntry {
    /// One key of the configuration; comes into force with the next `Head`.
    Config(KeyValue),
    /// Like `Config`, but as a difference from the previous version.
    Patch(Patch),
    /// All configuration keys up to this revision have been sent.
    Head(Revision),
    /// State of a node.
    Member(MemberUpdate),
    /// A node was removed.
    Left(NodeId),
    /// Current owner of a unit.
    Owner(OwnerUpdate),
    /// Number of nodes of a failure domain at which a revision is in force.
    #[serde(rename = "Force")]
    Rollout(RolloutStatus),
}

/// A new version of a value, encoded as the bytes that differ from the previous
/// version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Configuration key.
    pub key: String,
    /// Revision of the previous version.
    pub from: Revision,
    /// Revision of the new version.
    pub to: Revision,
    /// Number of bytes kept from the start of the previous version.
    pub head: u32,
    /// Number of bytes kept from the end of the previous version.
    pub tail: u32,
    /// Bytes to insert between the start and the end.
    pub middle: Vec<u8>,
}

/// State of a node, as seen by its leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Identity and addresses.
    pub info: NodeInfo,
    /// Availability of the node.
    pub standing: Availability,
    /// Load in per cent of the node's capacity, rounded coarsely.
    pub load: u8,
}

/// The owner of a unit, as granted by the leader of a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerUpdate {
    /// Target, or partition of once-only records.
    pub unit: TargetId,
    /// Service that the unit belongs to.
    pub service: ServiceId,
    /// Failure domain whose leader grants the unit.
    pub domain: DomainId,
    /// Owner; none when the unit has no owner.
    pub owner: Option<Owner>,
}

/// Number of nodes of a failure domain at which a revision is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Failure domain whose nodes are counted.
    pub domain: DomainId,
    /// Configuration revision.
    pub revision: Revision,
    /// Number of nodes at which the revision is in force.
    pub nodes: u32,
    /// Number of nodes that the platform lists or that send heartbeats.
    pub total: u32,
    /// Names of some nodes at which it is not in force yet.
    pub behind: Vec<String>,
}

/// Requests updates of the cluster state from a peer. Leaders continuously send
/// it to each other; a node that hears from no leader sends it to several peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// Node that requests the updates.
    pub from: NodeId,
    /// Term to which `log_position` belongs.
    pub term: Epoch,
    /// Position in the receiver's log up to which the sender has received all
    /// entries.
    #[serde(rename = "seen")]
    pub log_position: u64,
}

/// Answer to an [`UpdateRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateAnswer {
    /// Leader of the answering node's failure domain, when known from a recent
    /// message.
    pub leader: Option<NodeInfo>,
    /// Term to which the position in `update` belongs; zero when the answering
    /// node is not a leader and sent its whole state.
    pub term: Epoch,
    /// Log entries that the sender of the [`UpdateRequest`] has not seen.
    #[serde(rename = "news")]
    pub update: LogUpdate,
}

/// Asks the holder of a partition for permission to run a once-only request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Partition of once-only records.
    pub unit: TargetId,
    /// Id chosen by the caller.
    pub id: String,
    /// Time at which the id was issued, in Unix milliseconds.
    pub issued: u64,
    /// Fingerprint of the request: a hash of service and body.
    #[serde(rename = "print")]
    pub fingerprint: u64,
    /// Query of the claiming node. A repeated claim for the same query gets the
    /// same answer.
    #[serde(rename = "by")]
    pub claimer: QueryId,
}

/// Answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claiming node, and no other, may run the request once.
    Granted,
    /// The request ran and returned this answer.
    Ran(Vec<u8>),
    /// The request is running or may have been run.
    Unknown,
    /// The id was already used with another body; this request was not run.
    Conflict,
    /// The id was issued before the window in which ids are remembered.
    TooOld,
    /// The receiver does not hold the partition.
    NotHolder,
}

/// Reports the outcome of a granted request to the holder of the partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// Partition of once-only records.
    pub unit: TargetId,
    /// Id chosen by the caller.
    pub id: String,
    /// Query of the claiming node, so that a late message does not end a later
    /// grant.
    #[serde(rename = "by")]
    pub claimer: QueryId,
    /// Outcome of the request.
    pub end: Ending,
}

/// Outcome of a granted once-only request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// It ran and returned this answer.
    Ran(Vec<u8>),
    /// It is confirmed not to have been run and may be granted again.
    NotRun,
    /// It may have been run.
    Unknown,
}

/// Suspicion that a request crashes the targets that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Suspicion {
    /// Fingerprint of the request: a hash of service and body.
    #[serde(rename = "print")]
    pub fingerprint: u64,
    /// Target whose connection was lost while it ran the request.
    pub target: TargetId,
    /// Shard that the target holds.
    pub shard: ShardIx,
    /// Call that was in flight on the lost connection.
    pub call: CallId,
    /// True when the same request had already succeeded on another shard.
    #[serde(rename = "proven")]
    pub confirmed: bool,
    /// True when an operator cleared the fingerprint of suspicion.
    pub cleared: bool,
}

/// A control message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Heartbeat to a leader.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Request for updates of the cluster state.
    #[serde(rename = "Pull")]
    Update(UpdateRequest),
    /// Announces a change: a member sends a heartbeat at once, and a leader reads
    /// the store at once.
    Nudge(Revision),
    /// Starts a graceful shutdown of the receiver, on behalf of an operator.
    Drain,
    /// Query at how many nodes the configuration is in force.
    #[serde(rename = "Force")]
    Rollout,
    /// Records of a partition, from its previous holder to the next one.
    Records(OnceRecords),
    /// Claim of a once-only request.
    Claim(Claim),
    /// Outcome of a claimed request.
    #[serde(rename = "Settle")]
    ReportOutcome(OutcomeReport),
    /// Suspicions of crash-causing requests; the receiver may already know them.
    Suspect(Vec<Suspicion>),
}

/// Answer to a control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlAnswer {
    /// Answer to a heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(HeartbeatAnswer),
    /// Answer to a request for updates.
    #[serde(rename = "Pull")]
    Update(UpdateAnswer),
    /// Numbers of nodes at which the configuration is in force, by failure
    /// domain.
    #[serde(rename = "Force")]
    Rollout(Vec<RolloutStatus>),
    /// Answer to a claim.
    Claim(ClaimAnswer),
    /// The message was accepted and has no other answer.
    #[serde(rename = "Taken")]
    Accepted,
    /// The receiver rejected the message, such as a heartbeat sent to a node
    /// that is not the leader; contains the leader when it is known.
    Refused(Option<NodeId>),
}
