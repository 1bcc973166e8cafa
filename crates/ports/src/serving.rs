//! Starts all servers of a node and shuts them down in a planned stop.
//!
//! A planned stop has these steps: the node is no longer listed in the addresses
//! for callers and hands over the units that it owns; callers that still cache its
//! address are served, and each of their connections is closed after its next
//! response; once no caller can cache the address any more, the port closes and
//! the last requests are finished.

use std::{sync::Arc, time::Duration};

use heatherrun_tier::node::Node;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http_server::{Limits, Phase};
use crate::memory::Division;
use crate::{caller, operator, peer};

/// Interval at which the start of a planned stop is polled.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Bound listeners of one node.
#[derive(Debug)]
pub struct Listeners {
    /// Listener for callers.
    pub callers: TcpListener,
    /// Listener for other nodes.
    pub peers: TcpListener,
    /// Listener for operators.
    pub operators: TcpListener,
}

/// A node that serves on its sockets.
pub struct Serving {
    node: Arc<Node>,
    phase: watch::Sender<Phase>,
    callers: JoinHandle<()>,
    operators: JoinHandle<()>,
}

impl Serving {
    /// Spawns the servers on `listeners` and the node's control task. The servers
    /// keep to their parts of the process's memory and descriptors.
    #[must_use]
    pub fn start(node: Arc<Node>, listeners: Listeners, division: &Division) -> Self {
        let (phase, phase_receiver) = watch::channel(Phase::Serve);
        tokio::spawn(peer::serve(listeners.peers, Arc::clone(&node)));
        let within = |limits: Limits, connections| Limits {
            connections,
            body_memory: division.bodies,
            ..limits
        };
        let operator_server = operator::serve(
            listeners.operators,
            within(operator::limits(), division.checks),
            Arc::clone(&node),
            phase_receiver.clone(),
        );
        let caller_server = caller::serve(
            listeners.callers,
            within(caller::limits(), division.callers),
            Arc::clone(&node),
            phase_receiver,
        );
        let control_node = Arc::clone(&node);
        tokio::spawn(async move { control_node.follow().await });
        Self {
            node,
            phase,
            callers: tokio::spawn(caller_server),
            operators: tokio::spawn(operator_server),
        }
    }

    /// Waits until an operator or the platform starts a planned stop of `node`.
    pub async fn stop_begun(node: Arc<Node>) {
        while !node.is_stopping() {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Runs the planned stop. Returns false when `limit` passed first; ending
    /// the process may then interrupt a request.
    pub async fn stop(self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.finish(limit))
            .await
            .unwrap_or(false)
    }

    async fn finish(self, limit: Duration) -> bool {
        self.node.begin_stop();
        self.phase.send_replace(Phase::Leave);
        let completed = self.node.stopped(limit).await;
        log::info!(node = self.node.info.name.as_str(), whole = completed; "stop.closing");
        self.phase.send_replace(Phase::Close);
        let _ = self.callers.await;
        let _ = self.operators.await;
        completed
    }
}
