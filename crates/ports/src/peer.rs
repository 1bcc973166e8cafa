//! Messages between nodes, by `tarpc` over TCP: the serving side.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use heatherrun_kernel::control::{Answer, Ask};
use heatherrun_kernel::message::{Batch, BatchReply, Cancel, Collect};
use heatherrun_tier::node::Node;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tarpc::{context, serde_transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Longest message, in bytes.
const MESSAGE_BYTES: usize = 16 << 20;

/// Connections of peers at the most.
const CONNECTIONS: usize = 4_096;

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Messages that nodes send each other.
#[tarpc::service]
pub(crate) trait Peer {
    async fn search(batch: Batch) -> BatchReply;
    async fn collect(collect: Collect) -> BatchReply;
    async fn cancel(cancel: Cancel);
    async fn control(message: Ask) -> Answer;
}

/// Serves the messages of peers.
#[derive(Clone)]
struct Server {
    node: Arc<Node>,
}

impl Peer for Server {
    async fn search(self, _: context::Context, batch: Batch) -> BatchReply {
        self.node.owner.search(batch).await
    }

    async fn collect(self, _: context::Context, collect: Collect) -> BatchReply {
        self.node.owner.collect(collect).await
    }

    async fn cancel(self, _: context::Context, cancel: Cancel) {
        self.node.owner.cancel(cancel).await;
    }

    async fn control(self, _: context::Context, message: Ask) -> Answer {
        self.node.answer(&message)
    }
}

/// Frames of one connection, in both directions of bounded length.
pub fn frames(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let _ = stream.set_nodelay(true);
    LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_BYTES)
        .new_framed(stream)
}

/// Serves peers on `listener`, for ever.
pub async fn serve(listener: TcpListener, node: Arc<Node>) {
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            continue;
        };
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let server = Server {
            node: Arc::clone(&node),
        };
        tokio::spawn(async move {
            let channel = BaseChannel::with_defaults(transport);
            channel
                .execute(server.serve())
                .for_each(|answer| async {
                    tokio::spawn(answer);
                })
                .await;
            drop(place);
        });
    }
}
