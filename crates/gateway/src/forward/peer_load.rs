//! What a node knows of the nodes that it forwards requests to.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::NodeEntry;

/// Time for which a node is not asked after it could not serve a request.
const UNABLE_TIME: Duration = Duration::from_secs(1);

/// Time to a reply that is assumed of a node in this region and elsewhere, until
/// one has been measured.
const NEAR_REPLY_TIME: Duration = Duration::from_millis(30);
const FAR_REPLY_TIME: Duration = Duration::from_millis(200);

/// Inverse weight of one reply in the moving average of the time to it.
const REPLY_WEIGHT_DIVISOR: u32 = 6;

/// Factor by which a busy node's power counts as less.
const BUSY_FACTOR: f64 = 4.0;

/// Number of nodes above which those that are not in the fleet any more are
/// forgotten: addresses change while an outage of the links lasts.
const MAX_PEERS: usize = 64;

/// Requests in progress at another node, and its speed.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLoad {
    /// Requests that are there now.
    pub in_progress: u32,
    /// Moving average of the time to a reply; zero before the first one.
    reply_time: Duration,
    /// When it replied last.
    last_reply: Time,
    /// The node is not asked before this time.
    unable_until: Time,
}

/// Loads of all nodes that were asked, by address.
#[derive(Debug, Default)]
pub struct PeerLoads(HashMap<SocketAddr, PeerLoad>);

impl PeerLoads {
    /// Changes what is known of `peer`.
    pub fn update(&mut self, peer: SocketAddr, change: impl FnOnce(&mut PeerLoad)) {
        change(self.0.entry(peer).or_default());
    }

    /// Forgets the nodes without a request in progress.
    pub fn retain_busy(&mut self) {
        self.0.retain(|_, load| load.in_progress > 0);
    }

    /// Forgets nodes that are not among `nodes` and have no request in progress,
    /// once there are more than [`MAX_PEERS`].
    pub fn forget_unknown(&mut self, nodes: &[NodeEntry]) {
        if self.0.len() <= MAX_PEERS.max(nodes.len()) {
            return;
        }
        let known: HashSet<_> = nodes.iter().map(|node| node.peers).collect();
        self.0
            .retain(|address, load| load.in_progress > 0 || known.contains(address));
    }

    /// Number of nodes that something is known of.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nothing is known of any node.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the node may be asked: it was able to serve its last request, or
    /// that is some time ago.
    #[must_use]
    pub fn may_ask(&self, now: Time, peer: SocketAddr) -> bool {
        self.0
            .get(&peer)
            .is_none_or(|load| now >= load.unable_until)
    }

    /// Expected time to the reply to one more request, relative to the power of
    /// the node.
    #[must_use]
    pub fn expected_time(&self, node: &NodeEntry, is_near: bool) -> f64 {
        let load = self.0.get(&node.peers).copied().unwrap_or_default();
        load.expected_time(node, is_near)
    }
}

impl PeerLoad {
    /// Records that the node could not serve a request.
    pub fn record_unable(&mut self, now: Time) {
        self.unable_until = now + UNABLE_TIME;
    }

    /// Records that a request sent at `sent_at` was lost. If another one was
    /// answered meanwhile, the node itself is well.
    pub fn record_loss(&mut self, sent_at: Time, now: Time) {
        if self.last_reply < sent_at {
            self.unable_until = now + UNABLE_TIME;
        }
    }

    /// Records the reply to a request sent at `sent_at`.
    pub fn record_reply(&mut self, sent_at: Time, now: Time) {
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
