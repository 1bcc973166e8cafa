//! Forwarding of whole requests to another node, for a node that has lost its
//! links to the targets. A forwarded request is never forwarded again.

pub mod message;
pub mod peer_load;

use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Name, NodeEntry};
use heatherrun_kernel::time::micros;
use heatherrun_ports::http_reply::Reply;

use self::message::{ForwardReply, ForwardedRequest};
use self::peer_load::{PeerLoad, PeerLoads};
use crate::peer_clients::{ForwardError, PeerClients};
use crate::state::State;

/// Maximum number of nodes that are asked to serve one request.
const MAX_NODES_ASKED: usize = 3;

/// Maximum number of requests of other nodes that this node serves at the same
/// time, and of its own that it forwards while its links are up.
const MAX_ACCEPTED: usize = 256;
const MAX_RETRIED: usize = 16;

/// How forwarding a request ended.
#[derive(Debug)]
pub enum Forwarded {
    /// Another node replied.
    Reply(Reply),
    /// No other node can serve it; none of their targets ran it.
    Unable,
    /// A node was sent the request and did not reply; a target may have run it.
    Lost,
}

impl Forwarded {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Reply(_) => "replied",
            Self::Unable => "unable",
            Self::Lost => "lost",
        }
    }
}

/// Forwards requests to other nodes and counts those of theirs that this node
/// serves.
#[derive(Default)]
pub struct Forwarder {
    clients: PeerClients,
    peers: Mutex<PeerLoads>,
    /// Requests of other nodes that this node serves now.
    accepted: AtomicUsize,
    /// Requests that are forwarded now although the links are up.
    retried: AtomicUsize,
}

/// Counts one request until dropped.
pub struct CountGuard<'a>(&'a AtomicUsize);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts one more request; `None` when there are `most`.
fn count(counter: &AtomicUsize, most: usize) -> Option<CountGuard<'_>> {
    let more = |count: usize| (count < most).then(|| count + 1);
    let result = counter.fetch_update(Ordering::AcqRel, Ordering::Acquire, more);
    result.is_ok().then(|| CountGuard(counter))
}

/// Counts a request at a node while it is in progress, also if it is dropped.
struct ProgressGuard<'a> {
    forwarder: &'a Forwarder,
    peer: SocketAddr,
}

impl Drop for ProgressGuard<'_> {
    fn drop(&mut self) {
        self.forwarder.update(self.peer, |load| {
            load.in_progress = load.in_progress.saturating_sub(1);
        });
    }
}

impl Forwarder {
    /// Counts a request of another node that this one serves; `None` when there
    /// are too many.
    pub fn accept(&self) -> Option<CountGuard<'_>> {
        count(&self.accepted, MAX_ACCEPTED)
    }

    /// Whether this node serves no requests of other nodes now.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.accepted.load(Ordering::Acquire) == 0
    }

    /// Counts a request that is forwarded after this node failed to send it,
    /// though its links are up; `None` when there are too many.
    pub fn retry(&self) -> Option<CountGuard<'_>> {
        count(&self.retried, MAX_RETRIED)
    }

    /// Closes the connections to other nodes that carry no request, and forgets
    /// these nodes.
    pub fn release(&self) {
        self.clients.retain(&[]);
        self.lock().retain_busy();
    }

    fn lock(&self) -> MutexGuard<'_, PeerLoads> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, peer: SocketAddr, change: impl FnOnce(&mut PeerLoad)) {
        self.lock().update(peer, change);
    }

    /// Asks one node of `regions`, or of all regions if that is empty, after
    /// another until one can serve the request.
    pub async fn forward(
        &self,
        state: &State,
        request: &ForwardedRequest,
        regions: &[Name],
    ) -> Forwarded {
        let end = state.clock.now() + Duration::from_micros(request.terms.time_left);
        let mut asked = Vec::new();
        while asked.len() < MAX_NODES_ASKED {
            let now = state.clock.now();
            let time_left = end.time_left(now);
            let peer = self.choose(state, now, regions, &asked);
            let Some(peer) = peer.filter(|_| !time_left.is_zero()) else {
                return Forwarded::Unable;
            };
            asked.push(peer);
            let mut request = request.clone();
            request.terms.spent += request.terms.time_left.saturating_sub(micros(time_left));
            request.terms.time_left = micros(time_left);
            let progress = ProgressGuard {
                forwarder: self,
                peer,
            };
            self.update(peer, |load| load.in_progress += 1);
            let result = self.clients.forward(peer, request, time_left).await;
            drop(progress);
            let reply = match result.map(ForwardReply::into_reply) {
                Ok(Ok(reply)) => reply,
                Ok(Err(e)) => {
                    log::warn!(peer:% = peer, reason:% = e; "forward.malformed");
                    return Forwarded::Lost;
                }
                Err(ForwardError::Lost) => {
                    let ended = state.clock.now();
                    self.update(peer, |load| load.record_loss(now, ended));
                    return Forwarded::Lost;
                }
                Err(ForwardError::NotSent) => None,
            };
            let ended = state.clock.now();
            let Some(reply) = reply else {
                self.update(peer, |load| load.record_unable(ended));
                continue;
            };
            self.update(peer, |load| load.record_reply(now, ended));
            return Forwarded::Reply(reply);
        }
        Forwarded::Unable
    }

    /// Chooses the node with the least expected time to a reply, among those in
    /// reserve only if no serving one may be asked.
    fn choose(
        &self,
        state: &State,
        now: Time,
        regions: &[Name],
        asked: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let mut loads = self.lock();
        loads.forget_unknown(&state.nodes.load());
        let out_domains = state.out_domains.load();
        let own = &state.own_entry;
        let may_ask = |n: &&NodeEntry| {
            n.name != own.name
                && !asked.contains(&n.peers)
                && !out_domains.contains(&n.domain)
                && (regions.is_empty() || regions.contains(&n.region))
                && loads.may_ask(now, n.peers)
        };
        let expected_time = |n: &NodeEntry| loads.expected_time(n, n.region == own.region);
        let best = |nodes: &[NodeEntry]| {
            let able = nodes.iter().filter(may_ask);
            let best = able.min_by(|a, b| expected_time(a).total_cmp(&expected_time(b)));
            best.map(|n| n.peers)
        };
        best(&state.serving.load()).or_else(|| best(&state.nodes.load()))
    }
}
