//! What nodes tell each other, by `tarpc`: items of the store, so that few
//! nodes read the store itself, and a node that it turns away still learns.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures::StreamExt;
use heatherrun_kernel::control::Suspicion;
use heatherrun_ports::peer::frames;
use heatherrun_routing::feed::Delta;
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Receiver;

use crate::state::State;

/// Longest wait for another node. A node further away answers in some 45 ms;
/// one that runs at a fifth of its speed still makes it.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What a node tells another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pulled {
    /// What the other one lacks.
    pub delta: Delta,
    /// Time since all was known, in microseconds.
    pub age: u64,
}

/// Messages between nodes.
#[tarpc::service]
pub trait Relay {
    /// Items that changed after a revision.
    async fn changes(after: u64) -> Pulled;
    /// A request that crashed a target.
    async fn crashed(suspicion: Suspicion);
}

#[derive(Clone)]
struct Server {
    state: Arc<State>,
}

impl Relay for Server {
    async fn changes(self, _: context::Context, after: u64) -> Pulled {
        let (delta, age) = self.state.since(after);
        Pulled {
            delta,
            age: heatherrun_kernel::time::micros(age),
        }
    }

    async fn crashed(self, _: context::Context, suspicion: Suspicion) {
        let now = self.state.clock.now();
        self.state.crashes.told(now, suspicion);
    }
}

/// Serves other nodes on `listener`, for ever.
pub async fn serve(listener: TcpListener, state: Arc<State>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let server = Server {
            state: Arc::clone(&state),
        };
        tokio::spawn(async move {
            let channel = BaseChannel::with_defaults(transport);
            let answers = channel.execute(server.serve());
            answers.for_each(|answer| answer).await;
        });
    }
}

/// Context of a question whose answer is awaited now.
fn soon() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + ANSWER_TIME;
    context
}

/// Tells all other nodes what `findings` gives, for ever.
pub async fn tell(state: Arc<State>, mut findings: Receiver<Suspicion>) {
    let peers = Peers::default();
    while let Some(suspicion) = findings.recv().await {
        let nodes = state.nodes.load_full();
        let others = nodes.iter().filter(|n| n.name != state.me.name);
        let told = others.map(|n| peers.crashed(n.peers, suspicion));
        let told = futures::future::join_all(told).await;
        let missed = told.iter().filter(|told| !**told).count();
        if missed > 0 {
            log::warn!(print = suspicion.print, nodes = missed; "request.marks-untold");
        }
    }
}

/// Connections to other nodes.
#[derive(Default)]
pub struct Peers {
    clients: Mutex<HashMap<SocketAddr, RelayClient>>,
}

impl Peers {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, RelayClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the node at `address` for what changed after a revision; none
    /// when it does not answer in time.
    pub async fn changes(&self, address: SocketAddr, after: u64) -> Option<Pulled> {
        let asked = tokio::time::timeout(ANSWER_TIME, self.ask(address, after)).await;
        let answer = asked.ok().flatten();
        if answer.is_none() {
            self.lock().remove(&address);
        }
        answer
    }

    async fn ask(&self, address: SocketAddr, after: u64) -> Option<Pulled> {
        let client = self.client(address).await?;
        client.changes(soon(), after).await.ok()
    }

    /// Tells the node at `address` of a request that crashed a target; false
    /// when it does not answer in time.
    pub async fn crashed(&self, address: SocketAddr, suspicion: Suspicion) -> bool {
        let tell = async {
            let client = self.client(address).await?;
            client.crashed(soon(), suspicion).await.ok()
        };
        let told = tokio::time::timeout(ANSWER_TIME, tell).await;
        let told = told.ok().flatten().is_some();
        if !told {
            self.lock().remove(&address);
        }
        told
    }

    async fn client(&self, address: SocketAddr) -> Option<RelayClient> {
        let known = self.lock().get(&address).cloned();
        match known {
            Some(client) => Some(client),
            None => self.connect(address).await,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<RelayClient> {
        let stream = TcpStream::connect(address).await.ok()?;
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let client = RelayClient::new(client::Config::default(), transport).spawn();
        self.lock().insert(address, client.clone());
        Some(client)
    }
}
