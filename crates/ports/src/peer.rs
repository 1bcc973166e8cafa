//! Server side of the messages between nodes, over `tarpc` and TCP.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use heatherrun_kernel::control::{ControlAnswer, ControlRequest};
use heatherrun_kernel::message::{Batch, BatchReply, Cancel, Collect};
use heatherrun_tier::node::Node;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tarpc::{context, serde_transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Maximum size of a message, in bytes, in either direction.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Maximum number of connections from peers; further ones are closed.
const MAX_CONNECTIONS: usize = 4_096;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// RPC service that nodes offer each other.
#[tarpc::service]
pub(crate) trait Peer {
    async fn search(batch: Batch) -> BatchReply;
    async fn collect(collect: Collect) -> BatchReply;
    async fn cancel(cancel: Cancel);
    async fn control(message: ControlRequest) -> ControlAnswer;
}

/// Passes the messages of peers to the node.
#[derive(Clone)]
struct PeerServer {
    node: Arc<Node>,
}

impl Peer for PeerServer {
    async fn search(self, _: context::Context, batch: Batch) -> BatchReply {
        self.node.owner.search(batch).await
    }

    async fn collect(self, _: context::Context, collect: Collect) -> BatchReply {
        self.node.owner.collect(collect).await
    }

    async fn cancel(self, _: context::Context, cancel: Cancel) {
        self.node.owner.cancel(cancel).await;
    }

    async fn control(self, _: context::Context, message: ControlRequest) -> ControlAnswer {
        self.node.answer(&message)
    }
}

/// Splits a connection into length-delimited frames of bounded size.
pub fn frames(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let _ = stream.set_nodelay(true);
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(stream)
}

/// Serves peers on `listener` and never returns.
pub async fn serve(listener: TcpListener, node: Arc<Node>) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            continue;
        };
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let server = PeerServer {
            node: Arc::clone(&node),
        };
        tokio::spawn(async move {
            let channel = BaseChannel::with_defaults(transport);
            channel
                .execute(server.serve())
                .for_each(|response| async {
                    tokio::spawn(response);
                })
                .await;
            drop(slot);
        });
    }
}
