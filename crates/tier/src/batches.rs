//! Sends the calls of one query, in batches, to the owners of its targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use heatherrun_kernel::message::{Batch, BatchCall, BatchReply, Cancel, Collect};
use heatherrun_kernel::port::{PeerError, Peers};
use heatherrun_kernel::{NodeId, QueryId, View};

use crate::owner::Owner;

/// A batch that was sent, with its calls that have no outcome yet.
#[derive(Clone)]
pub(crate) struct SentBatch {
    /// Node that the batch was sent to.
    pub node: NodeId,
    /// First attempt of the batch, which identifies it.
    pub first_attempt: u16,
    /// Attempts without an outcome.
    pub attempts: Vec<u16>,
}

/// A sent batch with the reply to it.
pub(crate) type SentReply = (SentBatch, Result<BatchReply, PeerError>);

/// Access to this node's own owner and to the owners on peers.
pub(crate) struct OwnerLinks<'a> {
    /// This node.
    pub own_id: NodeId,
    /// This node's owner.
    pub owner: &'a Arc<Owner>,
    /// Port to the peers.
    pub peers: &'a Peers,
}

/// Batches of one query.
#[derive(Default)]
pub(crate) struct Batches {
    /// Replies that are awaited.
    pub pending_replies: FuturesUnordered<BoxFuture<'static, SentReply>>,
}

impl Batches {
    /// Sends one batch to `node`.
    pub fn send(&self, links: &OwnerLinks<'_>, view: &View, node: NodeId, batch: Batch) {
        let sent_batch = SentBatch {
            node,
            first_attempt: batch.calls.first().map_or(0, |c| c.attempt),
            attempts: batch.calls.iter().map(|c| c.attempt).collect(),
        };
        if node == links.own_id {
            let owner = Arc::clone(links.owner);
            let reply = async move { (sent_batch, Ok(owner.search(batch).await)) };
            self.pending_replies.push(Box::pin(reply));
            return;
        }
        let Some(address) = peer_address(view, node) else {
            let reply = async move { (sent_batch, Err(PeerError::NotSent)) };
            self.pending_replies.push(Box::pin(reply));
            return;
        };
        let call = (links.peers.search)((address, batch));
        let reply = async move { (sent_batch, call.await) };
        self.pending_replies.push(Box::pin(reply));
    }

    /// Fetches outcomes of calls that were pending in the last reply to a
    /// batch. The owner returns what is done after `flush`.
    pub fn collect(
        &self,
        links: &OwnerLinks<'_>,
        view: &View,
        query: QueryId,
        sent_batch: SentBatch,
        flush: Duration,
    ) {
        let collect = Collect {
            query,
            first: sent_batch.first_attempt,
            flush,
        };
        if sent_batch.node == links.own_id {
            let owner = Arc::clone(links.owner);
            let reply = async move { (sent_batch, Ok(owner.collect(collect).await)) };
            self.pending_replies.push(Box::pin(reply));
            return;
        }
        let Some(address) = peer_address(view, sent_batch.node) else {
            let reply = async move { (sent_batch, Err(PeerError::NoAnswer)) };
            self.pending_replies.push(Box::pin(reply));
            return;
        };
        let call = (links.peers.collect)((address, collect));
        let reply = async move { (sent_batch, call.await) };
        self.pending_replies.push(Box::pin(reply));
    }
}

/// Cancels calls at one owner without waiting for its reply.
pub(crate) fn cancel_calls(links: &OwnerLinks<'_>, view: &View, node: NodeId, cancel: Cancel) {
    if node == links.own_id {
        let owner = Arc::clone(links.owner);
        tokio::spawn(async move { owner.cancel(cancel).await });
    } else if let Some(address) = peer_address(view, node) {
        tokio::spawn((links.peers.cancel)((address, cancel)));
    }
}

/// Adds `item` to the group of `node`.
pub(crate) fn add_to_group<T>(by_node: &mut Vec<(NodeId, Vec<T>)>, node: NodeId, item: T) {
    match by_node.iter_mut().find(|(owner, _)| *owner == node) {
        Some((_, items)) => items.push(item),
        None => by_node.push((node, vec![item])),
    }
}

/// Calls grouped by the node that owns their targets.
pub(crate) type CallsByNode = Vec<(NodeId, Vec<BatchCall>)>;

/// Address at which peers reach a node.
pub(crate) fn peer_address(view: &View, node: NodeId) -> Option<SocketAddr> {
    view.nodes.get(&node).map(|member| member.info.peers)
}
