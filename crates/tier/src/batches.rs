//! Batches of one query on their way to the owners of its targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use heatherrun_kernel::message::{Batch, BatchCall, BatchReply, Cancel, Collect};
use heatherrun_kernel::port::{PeerError, Peers};
use heatherrun_kernel::{NodeId, QueryId, View};

use crate::owner::Owner;

/// Where a batch went and which of its calls are not back.
#[derive(Clone)]
pub(crate) struct Sending {
    /// Owner.
    pub node: NodeId,
    /// First attempt, which names the batch.
    pub first: u16,
    /// Attempts that are not back.
    pub attempts: Vec<u16>,
}

/// A batch with the reply to it.
pub(crate) type Reply = (Sending, Result<BatchReply, PeerError>);

/// Ways to this node's own owner and to those of peers.
pub(crate) struct Links<'a> {
    /// This node.
    pub me: NodeId,
    /// This node's owner.
    pub owner: &'a Arc<Owner>,
    /// Peers.
    pub peers: &'a Peers,
}

/// Batches of one query.
#[derive(Default)]
pub(crate) struct Batches {
    /// Replies to come.
    pub replies: FuturesUnordered<BoxFuture<'static, Reply>>,
}

impl Batches {
    /// Sends one batch to `node`.
    pub fn send(&self, links: &Links<'_>, view: &View, node: NodeId, batch: Batch) {
        let sending = Sending {
            node,
            first: batch.calls.first().map_or(0, |c| c.attempt),
            attempts: batch.calls.iter().map(|c| c.attempt).collect(),
        };
        if node == links.me {
            let owner = Arc::clone(links.owner);
            let reply = async move { (sending, Ok(owner.search(batch).await)) };
            self.replies.push(Box::pin(reply));
            return;
        }
        let Some(address) = peer_address(view, node) else {
            let reply = async move { (sending, Err(PeerError::NotSent)) };
            self.replies.push(Box::pin(reply));
            return;
        };
        let call = (links.peers.search)((address, batch));
        let reply = async move { (sending, call.await) };
        self.replies.push(Box::pin(reply));
    }

    /// Fetches the calls of a batch that were pending.
    pub fn collect(
        &self,
        links: &Links<'_>,
        view: &View,
        query: QueryId,
        sending: Sending,
        flush: Duration,
    ) {
        let collect = Collect {
            query,
            first: sending.first,
            flush,
        };
        if sending.node == links.me {
            let owner = Arc::clone(links.owner);
            let reply = async move { (sending, Ok(owner.collect(collect).await)) };
            self.replies.push(Box::pin(reply));
            return;
        }
        let Some(address) = peer_address(view, sending.node) else {
            let reply = async move { (sending, Err(PeerError::NoAnswer)) };
            self.replies.push(Box::pin(reply));
            return;
        };
        let call = (links.peers.collect)((address, collect));
        let reply = async move { (sending, call.await) };
        self.replies.push(Box::pin(reply));
    }
}

/// Cancels calls at one owner, without waiting for it.
pub(crate) fn cancel(links: &Links<'_>, view: &View, node: NodeId, cancel: Cancel) {
    if node == links.me {
        let owner = Arc::clone(links.owner);
        tokio::spawn(async move { owner.cancel(cancel).await });
    } else if let Some(address) = peer_address(view, node) {
        tokio::spawn((links.peers.cancel)((address, cancel)));
    }
}

/// Groups `item` with others for the same node.
pub(crate) fn group<T>(groups: &mut Vec<(NodeId, Vec<T>)>, node: NodeId, item: T) {
    match groups.iter_mut().find(|(n, _)| *n == node) {
        Some((_, items)) => items.push(item),
        None => groups.push((node, vec![item])),
    }
}

/// Groups of calls by the node that sends them.
pub(crate) type Groups = Vec<(NodeId, Vec<BatchCall>)>;

/// Address of a node for its peers.
pub(crate) fn peer_address(view: &View, node: NodeId) -> Option<SocketAddr> {
    view.nodes.get(&node).map(|member| member.info.peers)
}
