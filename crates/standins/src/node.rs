//! One node with its listeners, on threads of its own, so that killing it
//! drops every task and closes every socket at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::port::{Peers, Targets};
use heatherrun_kernel::{Clock, DomainId, NodeId};
use heatherrun_ports::memory::Division;
use heatherrun_ports::serving::{Listeners, Serving};
use heatherrun_ports::{peer_client, platform, target};
use heatherrun_tier::node::Node;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// Any free loopback port.
const ANY: &str = "127.0.0.1:0";

/// Memory and descriptors of a node, as of a VM of the users.
const MEMORY_MB: u32 = 256;
const MAX_FDS: u32 = 4_096;

/// Name of the threads on which nodes run.
pub const NODE_THREAD: &str = "heatherrun-node";

/// What a node is started with.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Start of the process, in Unix milliseconds.
    pub started: u64,
    /// Threads.
    pub threads: usize,
    /// Seconds that callers may keep an address answer.
    pub keep_secs: u32,
    /// Makes the ports to targets and peers.
    pub ports: PortsFn,
}

/// Makes the ports of a node to targets and peers.
pub type PortsFn = fn() -> (Targets, Peers);

/// The ports that the daemon uses.
#[must_use]
pub fn pooled_ports() -> (Targets, Peers) {
    (target::targets(), peer_client::peers())
}

/// One node on threads of its own.
pub struct LocalNode {
    /// Node.
    pub node: Arc<Node>,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    serving: Option<Serving>,
    runtime: Option<Runtime>,
}

impl LocalNode {
    /// Starts a node on threads of its own.
    ///
    /// # Errors
    /// When no port or thread is free.
    pub async fn start(spec: NodeSpec) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(spec.threads)
            .thread_name(NODE_THREAD)
            .enable_all()
            .build()?;
        let mut made = runtime.spawn(open(spec)).await??;
        made.runtime = Some(runtime);
        Ok(made)
    }

    /// Ends the node at once, as a crash would: every task is dropped and
    /// every socket closed.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Stops the node as planned; false when `limit` passed first.
    ///
    /// # Errors
    /// When the node was stopped or killed before.
    pub async fn stop(&mut self, limit: Duration) -> anyhow::Result<bool> {
        let serving = self.serving.take();
        let serving = serving.ok_or_else(|| anyhow::anyhow!("the node was stopped"))?;
        let whole = self.run(serving.stop(limit)).await?;
        self.kill();
        Ok(whole)
    }

    /// Whether the node was neither stopped nor killed.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.runtime.is_some()
    }

    /// Runs `work` on the node's own threads.
    ///
    /// # Errors
    /// When the node was killed.
    pub async fn run<T: Send + 'static>(
        &self,
        work: impl Future<Output = T> + Send + 'static,
    ) -> anyhow::Result<T> {
        let runtime = self.runtime.as_ref();
        let runtime = runtime.ok_or_else(|| anyhow::anyhow!("the node was killed"))?;
        Ok(runtime.spawn(work).await?)
    }
}

impl Drop for LocalNode {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Opens the listeners of a node and serves on them.
async fn open(spec: NodeSpec) -> anyhow::Result<LocalNode> {
    let callers = TcpListener::bind(ANY).await?;
    let peers = TcpListener::bind(ANY).await?;
    let operators = TcpListener::bind(ANY).await?;
    let operator_address = operators.local_addr()?;
    let info = NodeInfo {
        id: NodeId::from_name(&spec.name),
        name: spec.name,
        domain: DomainId::from_name(&spec.domain),
        peers: peers.local_addr()?,
        callers: callers.local_addr()?,
        started: spec.started,
    };
    let caller_address = info.callers;
    let (targets, peers_port) = (spec.ports)();
    let node = Node::new(
        info,
        Clock::start(),
        targets,
        peers_port,
        platform::platform(spec.platform),
        spec.keep_secs,
    );
    let division = Division::new(MEMORY_MB, MAX_FDS);
    let listeners = Listeners {
        callers,
        peers,
        operators,
    };
    let serving = Serving::start(Arc::clone(&node), listeners, &division);
    Ok(LocalNode {
        node,
        domain: spec.domain,
        callers: caller_address,
        operators: operator_address,
        serving: Some(serving),
        runtime: None,
    })
}
