//! What nodes tell each other, by `tarpc`: items of the store, so that few
//! nodes read the store itself, and a node that it turns away still learns.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures::StreamExt;
use heatherrun_ports::peer::frames;
use heatherrun_routing::feed::Delta;
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};
use tokio::net::{TcpListener, TcpStream};

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
        let known = self.lock().get(&address).cloned();
        let client = match known {
            Some(client) => client,
            None => self.connect(address).await?,
        };
        let mut context = context::current();
        context.deadline = Instant::now() + ANSWER_TIME;
        client.changes(context, after).await.ok()
    }

    async fn connect(&self, address: SocketAddr) -> Option<RelayClient> {
        let stream = TcpStream::connect(address).await.ok()?;
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let client = RelayClient::new(client::Config::default(), transport).spawn();
        self.lock().insert(address, client.clone());
        Some(client)
    }
}
