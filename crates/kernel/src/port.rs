//! Narrow interfaces towards everything outside this process, as plain
//! structs of functions that fakes replace.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::control::{Answer, Ask};
use crate::message::{Batch, BatchReply, CallResult, Cancel, Collect, TargetCall, TargetReport};
use crate::{CallId, Revision, TargetId};

/// One asynchronous function kept in a struct.
pub type AsyncFn<In, Out> = Arc<dyn Fn(In) -> BoxFuture<'static, Out> + Send + Sync>;

/// Makes an [`AsyncFn`] of a closure.
pub fn async_fn<In, Out, F>(call: impl Fn(In) -> F + Send + Sync + 'static) -> AsyncFn<In, Out>
where
    F: Future<Output = Out> + Send + 'static,
{
    Arc::new(move |input| Box::pin(call(input)))
}

/// Where and how many connections a target accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address.
    pub address: SocketAddr,
    /// Connections it accepts in all.
    pub connections: u16,
}

/// Connections to targets, held by their owner.
///
/// A call whose connection is lost returns an error at once. Each connection
/// that carried a cut, crossed or unread reply is closed and not used again.
#[derive(Clone)]
pub struct Targets {
    /// Sends a call and waits for its reply, at most for the call's time left.
    pub call: AsyncFn<(Endpoint, TargetCall), CallResult>,
    /// Tells a target to stop working on a call.
    pub cancel: AsyncFn<(Endpoint, TargetId, CallId), ()>,
    /// Reads what a target reports of itself, without giving it work; none
    /// when it does not answer soon.
    pub report: AsyncFn<(Endpoint, TargetId), Option<TargetReport>>,
}

/// Failure of a message to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum PeerError {
    /// The message did not leave this node.
    #[error("peer not reached; the message was not sent")]
    NotSent,
    /// The message left and no answer came.
    #[error("no answer from the peer; the message may have taken effect")]
    NoAnswer,
}

/// Messages to peers on the path of a request.
#[derive(Clone)]
pub struct Peers {
    /// Sends a batch; returns what is done after its flush time.
    pub search: AsyncFn<(SocketAddr, Batch), Result<BatchReply, PeerError>>,
    /// Fetches outcomes that were pending.
    pub collect: AsyncFn<(SocketAddr, Collect), Result<BatchReply, PeerError>>,
    /// Cancels calls.
    pub cancel: AsyncFn<(SocketAddr, Cancel), Result<(), PeerError>>,
    /// Sends a control message.
    pub control: AsyncFn<(SocketAddr, Ask), Result<Answer, PeerError>>,
}

/// One call to the platform's key-value service. Each counts as one call
/// there, a waiting watch too.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StoreCall {
    /// Reads one key.
    Get {
        /// Key.
        key: String,
    },
    /// Writes one key if its revision is `expect`; zero means it is absent.
    Swap {
        /// Key.
        key: String,
        /// Expected revision.
        expect: Revision,
        /// New value; none deletes the key.
        value: Option<Vec<u8>>,
        /// Lease with which the key goes; zero for none.
        lease: u64,
    },
    /// Reads keys below `prefix`, a page at a time. Pages are no snapshot.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Only keys behind this one; empty for the first page.
        after: String,
        /// Whether it may be some seconds old, which costs less.
        stale: bool,
    },
    /// Waits up to `wait` for keys below `prefix` newer than `after`.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Only revisions above this one.
        after: Revision,
        /// Longest wait.
        wait: Duration,
    },
    /// Takes a lease.
    Grant {
        /// Time to live.
        ttl: Duration,
    },
    /// Renews a lease.
    Renew {
        /// Lease.
        lease: u64,
    },
    /// Gives a lease back; its keys go.
    Revoke {
        /// Lease.
        lease: u64,
    },
    /// Lists the VMs that the platform knows.
    Vms,
}

impl StoreCall {
    /// Time that the store may wait before it answers.
    #[must_use]
    pub const fn wait(&self) -> Duration {
        match self {
            Self::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        }
    }
}

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Revision of the last write.
    pub revision: Revision,
    /// Value; none when the key was deleted.
    pub value: Option<Vec<u8>>,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VmState {
    /// Runs.
    Live,
    /// Goes away soon.
    Leaving,
}

/// One VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// State.
    pub state: VmState,
}

/// Answer to a [`StoreCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// Value of a key, none when absent.
    Value(Option<KeyValue>),
    /// A write took effect at this revision.
    Swapped(Revision),
    /// A write was refused; the key stands at this revision.
    Conflict(Revision),
    /// Keys that changed, oldest first, and the store's revision.
    Changes(Vec<KeyValue>, Revision),
    /// Keys in their order, whether more follow, and the store's revision.
    Page(Vec<KeyValue>, bool, Revision),
    /// A lease was taken or renewed.
    Lease(u64),
    /// The lease is not known any more.
    NoLease,
    /// VMs.
    Vms(Vec<Vm>),
}

/// Failure of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum StoreError {
    /// The call had no effect.
    #[error("the platform's store refused or was not reached; try again later")]
    Unavailable,
    /// No answer came; a write may have taken effect.
    #[error(
        "the platform's store gave no answer; read the key to learn whether a write took effect"
    )]
    NoAnswer,
    /// The store's history does not reach back to the revision asked for.
    #[error("the store forgot these changes; read all keys again")]
    Forgotten,
    /// The call breaks a limit of the store.
    #[error("the value exceeds the store's limit of one megabyte; split the configuration")]
    TooLarge,
}

/// The platform's key-value service and VM list.
#[derive(Clone)]
pub struct Platform {
    /// Makes one call.
    pub call: AsyncFn<StoreCall, Result<StoreReply, StoreError>>,
}
