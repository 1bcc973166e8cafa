//! Messages between nodes, by `tarpc` over TCP: the sending side.
//!
//! Each peer has several links, so that a long message does not hold up
//! others; control messages have one of their own.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use heatherrun_kernel::control::Ask;
use heatherrun_kernel::message::{Batch, Cancel, Collect};
use heatherrun_kernel::port::{PeerError, Peers, async_fn};
use heatherrun_kernel::registry::{Make, Plugin, inventory};
use tarpc::client::{self, NewClient, RpcError};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{context, serde_transport};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::peer::{PeerClient, frames};

/// Longest wait for a connection to a peer.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Longest wait for an answer beyond the deadline of the work itself.
const GRACE: Duration = Duration::from_millis(200);

/// Longest wait for the rest of a batch; the entry gives up earlier, at its
/// caller's deadline.
const COLLECT_TIME: Duration = Duration::from_mins(1);

/// Longest wait for the answer to a control message.
const CONTROL_TIME: Duration = Duration::from_secs(2);

/// Links to one peer for the work of requests.
const LINKS: usize = 2;

/// One connection to a peer.
struct Link {
    client: PeerClient,
    closed: Arc<AtomicBool>,
}

/// Place of one link, which is made when it is first used and again after a
/// loss.
#[derive(Default)]
struct Slot {
    link: ArcSwapOption<Link>,
    making: Mutex<()>,
}

/// Links to one peer.
#[derive(Default)]
struct Remote {
    work: [Slot; LINKS],
    control: Slot,
    turn: AtomicUsize,
}

/// Links by address; finding one takes no lock.
#[derive(Default)]
struct Links {
    remotes: ArcSwap<HashMap<SocketAddr, Arc<Remote>>>,
}

impl Links {
    fn remote(&self, address: SocketAddr) -> Arc<Remote> {
        if let Some(known) = self.remotes.load().get(&address) {
            return Arc::clone(known);
        }
        let made = Arc::<Remote>::default();
        self.remotes.rcu(|old| {
            let mut next = HashMap::clone(old);
            next.entry(address).or_insert_with(|| Arc::clone(&made));
            next
        });
        self.remotes.load().get(&address).map_or(made, Arc::clone)
    }
}

impl Remote {
    fn next_work(&self) -> &Slot {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        &self.work[turn % LINKS]
    }
}

impl Slot {
    fn open(&self) -> Option<Arc<Link>> {
        let link = self.link.load_full();
        link.filter(|link| !link.closed.load(Ordering::Acquire))
    }

    /// The open link, or a new one; nothing has been sent when it fails.
    async fn link(&self, address: SocketAddr) -> Result<Arc<Link>, PeerError> {
        if let Some(link) = self.open() {
            return Ok(link);
        }
        let _making = self.making.lock().await;
        if let Some(link) = self.open() {
            return Ok(link);
        }
        let connecting = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| PeerError::NotSent)?;
        let made = Arc::new(Link::start(stream.map_err(|_| PeerError::NotSent)?));
        self.link.store(Some(Arc::clone(&made)));
        Ok(made)
    }
}

impl Link {
    fn start(stream: TcpStream) -> Self {
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let NewClient { client, dispatch } = PeerClient::new(client::Config::default(), transport);
        let closed = Arc::new(AtomicBool::new(false));
        let ended = Arc::clone(&closed);
        tokio::spawn(async move {
            let _ = dispatch.await;
            ended.store(true, Ordering::Release);
        });
        Self { client, closed }
    }

    /// Reads the outcome of a message. The library has no error of its own
    /// for a message that never left, so every failure of a link that was
    /// found open leaves it unknown. A link that gave no answer in time is
    /// not used for new messages.
    fn settle<T>(&self, result: Result<T, RpcError>) -> Result<T, PeerError> {
        result.map_err(|error| {
            log::debug!(error:?; "peer.no-answer");
            if matches!(error, RpcError::DeadlineExceeded) {
                self.closed.store(true, Ordering::Release);
            }
            PeerError::NoAnswer
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
            let remote = a.remote(address);
            async move {
                let link = remote.next_work().link(address).await?;
                let context = within(batch.left + GRACE);
                link.settle(link.client.search(context, batch).await)
            }
        }),
        collect: async_fn(move |(address, collect): (SocketAddr, Collect)| {
            let remote = b.remote(address);
            async move {
                let link = remote.next_work().link(address).await?;
                let context = within(COLLECT_TIME);
                link.settle(link.client.collect(context, collect).await)
            }
        }),
        cancel: async_fn(move |(address, cancel): (SocketAddr, Cancel)| {
            let remote = c.remote(address);
            async move {
                let link = remote.next_work().link(address).await?;
                let context = within(CONTROL_TIME);
                link.settle(link.client.cancel(context, cancel).await)
            }
        }),
        control: async_fn(move |(address, message): (SocketAddr, Ask)| {
            let remote = d.remote(address);
            async move {
                let link = remote.control.link(address).await?;
                let context = within(CONTROL_TIME);
                let result = link.client.control(context, message).await;
                link.settle(result)
            }
        }),
    }
}

inventory::submit! {
    Plugin {
        name: "tarpc",
        about: "messages to other nodes by tarpc over TCP",
        make: Make::Peers(peers),
    }
}
