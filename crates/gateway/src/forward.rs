//! Forwarding of whole requests to another node, for a node that has lost its
//! links to the targets. A forwarded request is never forwarded again.

pub mod message;

use std::{
    collections::HashMap,
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
use crate::peer_clients::{ForwardError, PeerClients};
use crate::state::State;

/// Maximum number of nodes that are asked to serve one request.
const MAX_NODES_ASKED: usize = 3;

/// Time for which a node is not asked after it could not serve a request.
const UNABLE_TIME: Duration = Duration::from_secs(1);

/// Maximum number of requests of other nodes that this node serves at the same
/// time, and of its own that it forwards while its links are up.
const MAX_ACCEPTED: usize = 256;
const MAX_RETRIED: usize = 16;

/// Time to a reply that is assumed of a node in this region and elsewhere, until
/// one has been measured.
const NEAR_REPLY_TIME: Duration = Duration::from_millis(30);
const FAR_REPLY_TIME: Duration = Duration::from_millis(200);

/// Inverse weight of one reply in the moving average of the time to it.
const REPLY_WEIGHT_DIVISOR: u32 = 6;

/// Factor by which a busy node's power counts as less.
const BUSY_FACTOR: f64 = 4.0;

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

/// Requests in progress at another node, and its speed.
#[derive(Clone, Copy, Debug, Default)]
struct PeerLoad {
    in_progress: u32,
    /// Moving average of the time to a reply; zero before the first one.
    reply_time: Duration,
    /// When it replied last.
    last_reply: Time,
    /// The node is not asked before this time.
    unable_until: Time,
}

/// Forwards requests to other nodes and counts those of theirs that this node
/// serves.
#[derive(Default)]
pub struct Forwarder {
    clients: PeerClients,
    peers: Mutex<HashMap<SocketAddr, PeerLoad>>,
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
        self.lock().retain(|_, load| load.in_progress > 0);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerLoad>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, peer: SocketAddr, change: impl FnOnce(&mut PeerLoad)) {
        change(self.lock().entry(peer).or_default());
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
                self.update(peer, |load| load.unable_until = ended + UNABLE_TIME);
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
        let loads = self.lock();
        let out_domains = state.out_domains.load();
        let own = &state.own_entry;
        let may_ask = |n: &&NodeEntry| {
            n.name != own.name
                && !asked.contains(&n.peers)
                && !out_domains.contains(&n.domain)
                && (regions.is_empty() || regions.contains(&n.region))
                && loads.get(&n.peers).is_none_or(|l| now >= l.unable_until)
        };
        let expected_time = |n: &NodeEntry| {
            let load = loads.get(&n.peers).copied().unwrap_or_default();
            load.expected_time(n, n.region == own.region)
        };
        let best = |nodes: &[NodeEntry]| {
            let able = nodes.iter().filter(may_ask);
            let best = able.min_by(|a, b| expected_time(a).total_cmp(&expected_time(b)));
            best.map(|n| n.peers)
        };
        best(&state.serving.load()).or_else(|| best(&state.nodes.load()))
    }
}

impl PeerLoad {
    /// Records that a request sent at `sent_at` was lost. If another one was
    /// answered meanwhile, the node itself is well.
    fn record_loss(&mut self, sent_at: Time, now: Time) {
        if self.last_reply < sent_at {
            self.unable_until = now + UNABLE_TIME;
        }
    }

    fn record_reply(&mut self, sent_at: Time, now: Time) {
        self.last_reply = now;
        let took = now.since(sent_at);
        self.reply_time = if self.reply_time.is_zero() {
            took
        } else {
            (self.reply_time * (REPLY_WEIGHT_DIVISOR - 1) + took) / REPLY_WEIGHT_DIVISOR
        };
    }

    /// Expected time to the reply to one more request, relative to the power of
    /// the node.
    fn expected_time(&self, node: &NodeEntry, is_near: bool) -> f64 {
        let reply_time = match self.reply_time {
            Duration::ZERO if is_near => NEAR_REPLY_TIME,
            Duration::ZERO => FAR_REPLY_TIME,
            known => known,
        };
        let busy_factor = if node.busy { BUSY_FACTOR } else { 1.0 };
        let requests = f64::from(self.in_progress) + 1.0;
        requests * reply_time.as_secs_f64() * busy_factor / node.power.max(f64::EPSILON)
    }
}
