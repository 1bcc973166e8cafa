//! Messages between nodes, by `tarpc` over TCP.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::StreamExt;
use heatherrun_kernel::control::{Answer, Ask};
use heatherrun_kernel::message::{Batch, BatchReply, Cancel, Collect};
use heatherrun_kernel::port::{PeerError, Peers, async_fn};
use heatherrun_tier::node::Node;
use tarpc::client::RpcError;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};
use tokio::net::TcpListener;

/// Longest wait for a connection to a peer.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Longest wait for an answer beyond the deadline of the work itself.
const GRACE: Duration = Duration::from_millis(200);

/// Longest wait for the answer to a control message.
const CONTROL_TIME: Duration = Duration::from_secs(2);

#[tarpc::service]
trait Peer {
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

/// Serves peers on `listener`, for ever.
pub async fn serve(listener: TcpListener, node: Arc<Node>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let framed = tarpc::tokio_util::codec::LengthDelimitedCodec::builder().new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
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
        });
    }
}

/// Clients of peers by address.
#[derive(Default)]
struct Links {
    clients: Mutex<HashMap<SocketAddr, PeerClient>>,
}

impl Links {
    async fn client(&self, address: SocketAddr) -> Result<PeerClient, PeerError> {
        if let Some(known) = self.lock().get(&address) {
            return Ok(known.clone());
        }
        let connect = serde_transport::tcp::connect(address, Bincode::default);
        let transport = tokio::time::timeout(CONNECT_TIME, connect)
            .await
            .map_err(|_| PeerError::NotSent)?
            .map_err(|_| PeerError::NotSent)?;
        let made = PeerClient::new(client::Config::default(), transport).spawn();
        self.lock().insert(address, made.clone());
        Ok(made)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn settle<T>(&self, address: SocketAddr, result: Result<T, RpcError>) -> Result<T, PeerError> {
        result.map_err(|error| {
            self.lock().remove(&address);
            match error {
                RpcError::Shutdown => PeerError::NotSent,
                _ => PeerError::NoAnswer,
            }
        })
    }
}

fn within(span: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + span;
    context
}

/// The port to peers.
#[must_use]
pub fn peers() -> Peers {
    let links = Arc::new(Links::default());
    let (a, b, c, d) = (
        Arc::clone(&links),
        Arc::clone(&links),
        Arc::clone(&links),
        links,
    );
    Peers {
        search: async_fn(move |(address, batch): (SocketAddr, Batch)| {
            let links = Arc::clone(&a);
            async move {
                let client = links.client(address).await?;
                let context = within(batch.left + GRACE);
                links.settle(address, client.search(context, batch).await)
            }
        }),
        collect: async_fn(move |(address, collect)| {
            let links = Arc::clone(&b);
            async move {
                let client = links.client(address).await?;
                let context = within(CONTROL_TIME);
                links.settle(address, client.collect(context, collect).await)
            }
        }),
        cancel: async_fn(move |(address, cancel)| {
            let links = Arc::clone(&c);
            async move {
                let client = links.client(address).await?;
                let context = within(CONTROL_TIME);
                links.settle(address, client.cancel(context, cancel).await)
            }
        }),
        control: async_fn(move |(address, message)| {
            let links = Arc::clone(&d);
            async move {
                let client = links.client(address).await?;
                let context = within(CONTROL_TIME);
                links.settle(address, client.control(context, message).await)
            }
        }),
    }
}
