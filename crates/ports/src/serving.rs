//! All servers of one node, and its planned stop on their sockets.
//!
//! A planned stop takes these steps: the node is not offered to callers any
//! more and hands its units over; callers who kept its address are still
//! served, and each connection is told to close; once no caller can hold the
//! address any more, the port closes and the last requests are finished.

use std::{sync::Arc, time::Duration};

use heatherrun_tier::node::Node;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http_server::Phase;
use crate::{caller, operator, peer};

/// Time between two looks at whether a stop has begun.
const LOOK: Duration = Duration::from_millis(50);

/// Listeners of one node.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For other nodes.
    pub peers: TcpListener,
    /// For operators.
    pub operators: TcpListener,
}

/// One node that serves on its sockets.
pub struct Serving {
    node: Arc<Node>,
    phase: watch::Sender<Phase>,
    callers: JoinHandle<()>,
    operators: JoinHandle<()>,
}

impl Serving {
    /// Serves on `listeners` and runs the node's control side.
    #[must_use]
    pub fn start(node: Arc<Node>, listeners: Listeners) -> Self {
        let (phase, phases) = watch::channel(Phase::Serve);
        tokio::spawn(peer::serve(listeners.peers, Arc::clone(&node)));
        let operating = operator::serve(listeners.operators, Arc::clone(&node), phases.clone());
        let calling = caller::serve(listeners.callers, Arc::clone(&node), phases);
        let following = Arc::clone(&node);
        tokio::spawn(async move { following.follow().await });
        Self {
            node,
            phase,
            callers: tokio::spawn(calling),
            operators: tokio::spawn(operating),
        }
    }

    /// Waits until an operator or the platform has begun the planned stop of
    /// `node`.
    pub async fn stop_begun(node: Arc<Node>) {
        while !node.is_stopping() {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Stops as planned; false when `limit` passed first, so that a request
    /// may be cut by ending the process.
    pub async fn stop(self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.finish(limit))
            .await
            .unwrap_or(false)
    }

    async fn finish(self, limit: Duration) -> bool {
        self.node.begin_stop();
        self.phase.send_replace(Phase::Leave);
        let whole = self.node.stopped(limit).await;
        log::info!(node = self.node.info.name.as_str(), whole; "stop.closing");
        self.phase.send_replace(Phase::Close);
        let _ = self.callers.await;
        let _ = self.operators.await;
        whole
    }
}
