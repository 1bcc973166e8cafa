//! Typed messages on the path of a request: what a target is asked and
//! answers, and what an entry and an owner say to each other.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::control::Suspicion;
use crate::{CallId, Epoch, MapRev, NodeId, QueryId, Revision, ServiceId, ShardIx, Snapshot};
use crate::{DomainId, TargetId};

/// Whether something that failed ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ran {
    /// No byte reached a target, or each target that was sent it said so.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Order in which load is shed: the lowest class goes first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Class {
    /// Work that can wait, such as a morning sheet.
    Batch,
    /// Ordinary work.
    #[default]
    Normal,
    /// An alert or a search at the weighbridge.
    Urgent,
}

/// How a call may be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallKind {
    /// Search of one shard; may be repeated.
    Search,
    /// Request that may be repeated.
    Repeatable,
    /// Request that runs at most once.
    Once,
}

/// Why a call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// First attempt for its shard.
    First,
    /// Second attempt beside a slow first one.
    Hedge,
    /// Attempt after a failed one.
    Retry,
}

/// One listing found by a search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lot {
    /// Identifier, unique in the service.
    pub id: String,
    /// Rank; higher is better.
    pub score: f64,
    /// Text shown to the buyer.
    pub text: String,
}

/// Warmth a target reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Warmth {
    /// Bears its full load.
    #[default]
    Warm,
    /// Just started; bears a tenth.
    Cold,
    /// Leaving; takes no new work.
    Draining,
}

/// Load and state that a target reports with each reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Warmth.
    pub warmth: Warmth,
    /// Calls in its slots and its queue.
    pub busy: u16,
    /// Oldest snapshot it holds.
    pub oldest: Snapshot,
    /// Newest snapshot it holds.
    pub newest: Snapshot,
    /// Shard map it serves by.
    pub map: MapRev,
}

/// One call to one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetCall {
    /// Identifier; the reply repeats it.
    pub id: CallId,
    /// Target.
    pub target: TargetId,
    /// Service.
    pub service: ServiceId,
    /// Shard searched; zero for a pooled service.
    pub shard: ShardIx,
    /// How it may be treated.
    pub kind: CallKind,
    /// Snapshot to search; zero takes the newest.
    pub snapshot: Snapshot,
    /// Shard map the plan was made by.
    pub map: MapRev,
    /// Generation of the sender's right.
    pub epoch: Epoch,
    /// Time left.
    pub left: Duration,
    /// Query text or request body.
    pub body: Arc<[u8]>,
}

/// What a target answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetReply {
    /// Snapshot that was searched.
    pub snapshot: Snapshot,
    /// Shard map that was used.
    pub map: MapRev,
    /// Lots found, best first.
    pub lots: Vec<Lot>,
    /// Body of a request's answer; empty for a search.
    pub body: Vec<u8>,
    /// Load and state.
    pub report: TargetReport,
}

/// Why a call brought no reply that can be merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Failure {
    /// The owner's or the target's limit is reached.
    Busy,
    /// The target is draining or leaving.
    Draining,
    /// The target's failure domain is taken out.
    DomainOut,
    /// The addressed node does not hold the right to send to the target.
    NotOwner,
    /// The call carried an older epoch than the target or the owner knows.
    StaleEpoch,
    /// The target does not hold the snapshot.
    SnapshotGone,
    /// The target serves by another shard map.
    MapChanged,
    /// The deadline passed before the call was sent.
    Expired,
    /// No connection to the target or the owner.
    NoConnection,
    /// The connection was lost while the call ran.
    ConnectionLost,
    /// The owner was sent the call and gave no answer.
    PeerLost,
    /// The deadline passed while the call ran.
    TimedOut,
    /// The reply was cut, malformed, or repeated another call's identifier.
    BadReply,
    /// The call was cancelled.
    Cancelled,
    /// The request is suspected of crashing targets.
    Marked,
}

/// Failure of one call and whether the call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallError {
    /// Why.
    pub failure: Failure,
    /// Whether it ran.
    pub ran: Ran,
}

impl CallError {
    /// A failure before the call ran.
    #[must_use]
    pub const fn not_run(failure: Failure) -> Self {
        Self {
            failure,
            ran: Ran::NotRun,
        }
    }

    /// A failure of a call that may have run.
    #[must_use]
    pub const fn unknown(failure: Failure) -> Self {
        Self {
            failure,
            ran: Ran::Unknown,
        }
    }
}

/// Outcome of one call.
pub type CallResult = Result<TargetReply, CallError>;

/// One call within a batch from an entry to an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchCall {
    /// Count of the call within its query.
    pub attempt: u16,
    /// Why it is sent.
    pub reason: Reason,
    /// Target.
    pub target: TargetId,
    /// Shard searched.
    pub shard: ShardIx,
    /// Generation of the owner's right as the entry knows it.
    pub epoch: Epoch,
}

/// The calls of one query that one owner sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Query.
    pub query: QueryId,
    /// Name that follows the request through logs.
    pub trace: String,
    /// Service.
    pub service: ServiceId,
    /// How the calls may be treated.
    pub kind: CallKind,
    /// Class of the request.
    pub class: Class,
    /// Snapshot pinned; zero takes the newest.
    pub snapshot: Snapshot,
    /// Shard map pinned.
    pub map: MapRev,
    /// Time left until the caller's deadline when the batch was sent.
    pub left: Duration,
    /// Time after which the owner returns what is done.
    pub flush: Duration,
    /// Newest revision that the entry has in force.
    pub revision: Revision,
    /// Fingerprint of service and body.
    pub print: u64,
    /// True when the fingerprint is known to have succeeded somewhere.
    pub proven: bool,
    /// Query text or request body.
    pub body: Arc<[u8]>,
    /// Calls.
    pub calls: Vec<BatchCall>,
}

/// Load of one target as its owner counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerReport {
    /// Calls sent and not yet ended.
    pub in_flight: u16,
    /// Calls that wait for a place.
    pub queued: u16,
    /// Calls that may be in flight.
    pub limit: u16,
    /// What the target last reported.
    pub target: TargetReport,
}

/// Outcome of one call of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Done {
    /// Count of the call within its query.
    pub attempt: u16,
    /// Outcome.
    pub result: CallResult,
    /// Time at the owner, waiting included.
    pub took: Duration,
    /// Load of the target after the call.
    pub report: OwnerReport,
}

/// Calls of a batch that are done.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchReply {
    /// Outcomes not returned before.
    pub done: Vec<Done>,
    /// Calls not done yet; [`Collect`] fetches them.
    pub pending: u16,
    /// Newest revision that the owner has in force.
    pub revision: Revision,
    /// Suspicions that arose from calls of the batch.
    pub marks: Vec<Suspicion>,
}

/// Asks for the calls of a batch that were pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Collect {
    /// Query.
    pub query: QueryId,
    /// First attempt of the batch, which names it.
    pub first: u16,
    /// Time after which the owner returns what is done.
    pub flush: Duration,
}

/// Cancels calls of a query; all of them when `attempts` is empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Query.
    pub query: QueryId,
    /// Calls.
    pub attempts: Vec<u16>,
}

/// A node as others address it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Identifier, the hash of `name`.
    pub id: NodeId,
    /// Name of the VM.
    pub name: String,
    /// Hash of the failure domain's name.
    pub domain: DomainId,
    /// Address for other nodes.
    pub peers: std::net::SocketAddr,
    /// Address for callers.
    pub callers: std::net::SocketAddr,
    /// Start of the process, in Unix milliseconds; tells restarts apart.
    pub started: u64,
}

/// Records of one partition of once-only requests, as its holder hands them
/// to the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceRecords {
    /// Partition.
    pub unit: TargetId,
    /// Generation of the right under which they were kept.
    pub epoch: Epoch,
    /// Ids issued after this point are contained without a gap, in Unix
    /// milliseconds.
    pub since: u64,
    /// Records.
    pub records: Vec<OnceRecord>,
}

/// One once-only request that was claimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceRecord {
    /// Id that the caller chose.
    pub id: String,
    /// When the id was issued, in Unix milliseconds.
    pub issued: u64,
    /// Fingerprint of service and body.
    pub print: u64,
    /// Query of the last claimer.
    pub by: QueryId,
    /// What is known of it.
    pub state: OnceState,
}

/// What the holder of a partition knows of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceState {
    /// Granted; it runs, or its end was not told.
    Granted,
    /// It ran with this answer.
    Ran(Vec<u8>),
    /// It may have run.
    Unknown,
    /// It was proved not to have run.
    NotRun,
}
