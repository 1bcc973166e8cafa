//! Ports of the linear baseline in the tier's own shape: every message and
//! every call goes over a connection of its own, and a batch is taken apart
//! into its calls.

use std::net::SocketAddr;

use futures::future::join_all;
use heatherrun_kernel::message::{Batch, BatchReply};
use heatherrun_kernel::port::{PeerError, Peers, Targets, async_fn};
use heatherrun_ports::{peer_client, target};

/// Ports that keep no connection and send no batch.
pub fn ports() -> (Targets, Peers) {
    let targets = Targets {
        call: async_fn(|call| async move { (target::unkept_targets().call)(call).await }),
        cancel: async_fn(|cancel| async move { (target::unkept_targets().cancel)(cancel).await }),
        report: async_fn(|ask| async move { (target::unkept_targets().report)(ask).await }),
    };
    let peers = Peers {
        search: async_fn(|(address, batch)| search(address, batch)),
        collect: async_fn(|ask| async move { (peer_client::peers().collect)(ask).await }),
        cancel: async_fn(|ask| async move { (peer_client::peers().cancel)(ask).await }),
        control: async_fn(|ask| async move { (peer_client::peers().control)(ask).await }),
    };
    (targets, peers)
}

/// Sends each call of a batch by itself, and waits for all.
async fn search(address: SocketAddr, batch: Batch) -> Result<BatchReply, PeerError> {
    let mut calls = Vec::with_capacity(batch.calls.len());
    for call in &batch.calls {
        let mut single = batch.clone();
        single.calls = vec![*call];
        single.flush = single.time_left;
        calls.push(async move { (peer_client::peers().search)((address, single)).await });
    }
    let mut whole = BatchReply::default();
    for reply in join_all(calls).await {
        let reply = reply?;
        whole.done.extend(reply.done);
        whole.revision = reply.revision;
    }
    Ok(whole)
}
