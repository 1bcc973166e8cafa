//! Messages on the path of a request.
//!
//! The entry is the node that received the request from a caller. The owner of
//! a target is the only node that sends calls to it. The entry sends batches of
//! calls to owners; an owner sends the calls to its targets.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::control::Suspicion;
use crate::{CallId, Epoch, MapRev, NodeId, QueryId, Revision, ServiceId, ShardIx, Snapshot};
use crate::{DomainId, TargetId};

/// Whether a failed call or request was run by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ran {
    /// It was not run: no byte reached a target, or every target that received
    /// it reported so.
    NotRun,
    /// It may have been run.
    Unknown,
}

/// Priority class of a request; under overload the lowest class is shed first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Class {
    /// Deferrable work, such as a morning sheet.
    Batch,
    /// Regular work.
    #[default]
    Normal,
    /// Urgent work, such as an alert or a search at the weighbridge.
    Urgent,
}

/// Whether a call may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallKind {
    /// Search of one shard; may be retried and hedged.
    Search,
    /// Idempotent request; may be retried and hedged.
    Repeatable,
    /// Once-only request; runs at most once.
    Once,
}

/// Why a call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// First attempt for its shard.
    First,
    /// Second attempt, concurrent with a slow first one.
    Hedge,
    /// Attempt after a previous one failed.
    Retry,
}

/// One listing of the marketplace found by a search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lot {
    /// Identifier, unique within the service.
    pub id: String,
    /// Relevance; higher is better.
    pub score: f64,
    /// Text displayed to the buyer.
    pub text: String,
}

/// Readiness for load, as a target reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Warmth {
    /// Has its full capacity.
    #[default]
    Warm,
    /// Just started; has a tenth of its full capacity.
    Cold,
    /// Shutting down; accepts no new calls.
    Draining,
}

/// Load and state of a target, reported with each reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Readiness for load.
    pub warmth: Warmth,
    /// Number of calls running or queued at the target.
    pub busy: u16,
    /// Oldest snapshot that the target holds.
    pub oldest: Snapshot,
    /// Newest snapshot that the target holds.
    pub newest: Snapshot,
    /// Version of the shard map that the target uses.
    pub map: MapRev,
}

/// A call to one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetCall {
    /// Identifier; the reply echoes it.
    pub id: CallId,
    /// Target that receives the call.
    pub target: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Shard to search; zero for a pooled service.
    pub shard: ShardIx,
    /// Whether the call may be repeated.
    pub kind: CallKind,
    /// Snapshot to search; zero selects the newest.
    pub snapshot: Snapshot,
    /// Version of the shard map by which the query was planned.
    pub map: MapRev,
    /// Epoch of the sender's ownership of the target.
    pub epoch: Epoch,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Query text or request body.
    pub body: Arc<[u8]>,
}

/// A target's reply to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetReply {
    /// Snapshot that was searched.
    pub snapshot: Snapshot,
    /// Version of the shard map that was used.
    pub map: MapRev,
    /// Listings found, best first.
    pub lots: Vec<Lot>,
    /// Body of the answer to a request; empty for a search.
    pub body: Vec<u8>,
    /// Load and state of the target.
    pub report: TargetReport,
}

/// Reason why a call returned no usable reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Failure {
    /// The limit of concurrent calls at the owner or the target was reached.
    Busy,
    /// The target is draining or shutting down.
    Draining,
    /// The failure domain of the target is out of service.
    DomainOut,
    /// The node that received the batch does not own the target.
    NotOwner,
    /// The epoch in the call is lower than the one known to the target or the
    /// owner.
    StaleEpoch,
    /// The target does not hold the requested snapshot.
    SnapshotGone,
    /// The target uses another version of the shard map.
    MapChanged,
    /// The deadline passed before the call was sent.
    Expired,
    /// No connection to the target or the owner could be established.
    NoConnection,
    /// The connection to the target was lost while the call was in flight.
    ConnectionLost,
    /// The call was sent to the owner, which did not answer.
    PeerLost,
    /// The deadline passed while the call was in flight.
    TimedOut,
    /// The reply was truncated, malformed, or echoed the identifier of another
    /// call.
    BadReply,
    /// The call was cancelled.
    Cancelled,
    /// The request is suspected of crashing targets.
    Marked,
}

/// Failure of a call and whether the call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallError {
    /// Reason of the failure.
    pub failure: Failure,
    /// Whether the target ran the call.
    pub ran: Ran,
}

impl CallError {
    /// A failure of a call that was not run.
    #[must_use]
    pub const fn not_run(failure: Failure) -> Self {
        Self {
            failure,
            ran: Ran::NotRun,
        }
    }

    /// A failure of a call that may have been run.
    #[must_use]
    pub const fn unknown(failure: Failure) -> Self {
        Self {
            failure,
            ran: Ran::Unknown,
        }
    }
}

/// Outcome of a call.
pub type CallResult = Result<TargetReply, CallError>;

/// One call within a [`Batch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchCall {
    /// Sequence number of the call within its query.
    pub attempt: u16,
    /// Why the call is sent.
    pub reason: Reason,
    /// Target that receives the call.
    pub target: TargetId,
    /// Shard to search; zero for a pooled service.
    pub shard: ShardIx,
    /// Epoch of the owner's ownership of the target, as known to the entry.
    pub epoch: Epoch,
}

/// The calls of one query that an entry assigns to one owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Query that the calls belong to.
    pub query: QueryId,
    /// Trace id of the request, written to the logs of all nodes involved.
    pub trace: String,
    /// Service that the targets belong to.
    pub service: ServiceId,
    /// Whether the calls may be repeated.
    pub kind: CallKind,
    /// Priority class of the request.
    pub class: Class,
    /// Snapshot that all calls search; zero selects the newest.
    pub snapshot: Snapshot,
    /// Version of the shard map by which the query was planned.
    pub map: MapRev,
    /// Time until the caller's deadline when the batch was sent.
    #[serde(rename = "left")]
    pub time_left: Duration,
    /// Time after which the owner answers with the outcomes known by then; the
    /// others are pending.
    pub flush: Duration,
    /// Newest configuration revision in force at the entry.
    pub revision: Revision,
    /// Fingerprint of the request: a hash of service and body.
    #[serde(rename = "print")]
    pub fingerprint: u64,
    /// True when a request with this fingerprint is known to have succeeded on
    /// some target.
    #[serde(rename = "proven")]
    pub confirmed: bool,
    /// Query text or request body.
    pub body: Arc<[u8]>,
    /// Calls to send.
    pub calls: Vec<BatchCall>,
}

/// Load of a target, as counted by its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerReport {
    /// Number of calls in flight.
    pub in_flight: u16,
    /// Number of calls queued at the owner.
    pub queued: u16,
    /// Maximum number of calls in flight.
    pub limit: u16,
    /// Last report of the target itself.
    pub target: TargetReport,
}

/// Outcome of one call of a [`Batch`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallOutcome {
    /// Sequence number of the call within its query.
    pub attempt: u16,
    /// Reply or failure.
    pub result: CallResult,
    /// Time that the call spent at the owner, including time in the queue.
    pub took: Duration,
    /// Load of the target after the call.
    pub report: OwnerReport,
}

/// Answer to a [`Batch`] or a [`Collect`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchReply {
    /// Outcomes that were not in an earlier answer.
    pub done: Vec<CallOutcome>,
    /// Number of unfinished calls; [`Collect`] fetches their outcomes.
    pub pending: u16,
    /// Newest configuration revision in force at the owner.
    pub revision: Revision,
    /// Suspicions of crash-causing requests that arose from calls of the batch.
    pub marks: Vec<Suspicion>,
}

/// Requests the outcomes of a batch that were pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Collect {
    /// Query of the batch.
    pub query: QueryId,
    /// Sequence number of the batch's first call, which identifies the batch.
    pub first: u16,
    /// Time after which the owner answers with the outcomes known by then.
    pub flush: Duration,
}

/// Cancels calls of a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Query whose calls are cancelled.
    pub query: QueryId,
    /// Sequence numbers of the calls to cancel; empty cancels all of them.
    pub attempts: Vec<u16>,
}

/// Identity and addresses of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Identifier, the hash of `name`.
    pub id: NodeId,
    /// Name of the VM.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Address for other nodes.
    pub peers: std::net::SocketAddr,
    /// Address for callers.
    pub callers: std::net::SocketAddr,
    /// Start of the process in Unix milliseconds, which distinguishes restarts.
    pub started: u64,
}

/// Records of once-only requests in one partition, transferred from its holder
/// (the node that owns the partition) to the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceRecords {
    /// Partition of once-only records.
    pub unit: TargetId,
    /// Epoch of the ownership under which the records were kept.
    pub epoch: Epoch,
    /// Start of the complete records, in Unix milliseconds: ids issued after
    /// this time are recorded without a gap.
    pub since: u64,
    /// Records of claimed requests.
    pub records: Vec<OnceRecord>,
}

/// Record of a once-only request that was claimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceRecord {
    /// Id chosen by the caller.
    pub id: String,
    /// Time at which the id was issued, in Unix milliseconds.
    pub issued: u64,
    /// Fingerprint of the request: a hash of service and body.
    #[serde(rename = "print")]
    pub fingerprint: u64,
    /// Query that last claimed the request.
    #[serde(rename = "by")]
    pub claimer: QueryId,
    /// Known state of the request.
    pub state: OnceState,
}

/// State of a claimed request, as known to the holder of its partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceState {
    /// Granted; it is running, or its outcome was not reported.
    Granted,
    /// It ran and returned this answer.
    Ran(Vec<u8>),
    /// It may have been run.
    Unknown,
    /// It is confirmed not to have been run.
    NotRun,
}
