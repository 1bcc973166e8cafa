//! A whole tier in one process: platform, searchers and nodes on free
//! loopback ports, for examples, tests and the wire experiment.

use std::net::SocketAddr;
use std::sync::Arc;

use heatherrun_fakes::searcher::{Searcher, Settings};
use heatherrun_fakes::store::Store;
use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::port::{Vm, VmState};
use heatherrun_kernel::{Clock, DomainId, NodeId, Revision, ShardIx};
use heatherrun_ports::http_server::Phase;
use heatherrun_ports::{caller, operator, peer, peer_client, platform, target};
use heatherrun_schema::v1;
use heatherrun_tier::node::Node;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Any free loopback port.
const ANY: &str = "127.0.0.1:0";

/// Name of the threads on which nodes run.
pub const NODE_THREAD: &str = "heatherrun-node";

/// Seconds that callers may keep an address answer.
const KEEP_SECS: u32 = 5;

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
    /// Moves the server for callers on; see [`Phase`].
    pub phase: watch::Sender<Phase>,
    /// Ends when the server for callers has finished its last request.
    pub served: Option<JoinHandle<()>>,
    runtime: Option<Runtime>,
}

impl LocalNode {
    /// Starts a node called `name` in `domain` on `threads` threads.
    async fn start(
        name: &str,
        domain: &str,
        platform: SocketAddr,
        started: u64,
        threads: usize,
    ) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name(NODE_THREAD)
            .enable_all()
            .build()?;
        let (name, domain) = (name.to_owned(), domain.to_owned());
        let making = runtime.spawn(async move { open(&name, &domain, platform, started).await });
        let mut made = making.await??;
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
async fn open(
    name: &str,
    domain: &str,
    platform: SocketAddr,
    started: u64,
) -> anyhow::Result<LocalNode> {
    let callers = TcpListener::bind(ANY).await?;
    let peers = TcpListener::bind(ANY).await?;
    let operators = TcpListener::bind(ANY).await?;
    let operator_address = operators.local_addr()?;
    let info = NodeInfo {
        id: NodeId::of(name),
        name: name.to_owned(),
        domain: DomainId::of(domain),
        peers: peers.local_addr()?,
        callers: callers.local_addr()?,
        started,
    };
    let caller_address = info.callers;
    let node = Node::new(
        info,
        Clock::start(),
        target::targets(),
        peer_client::peers(),
        platform::platform(platform),
        KEEP_SECS,
    );
    let (phase, phases) = watch::channel(Phase::Serve);
    tokio::spawn(peer::serve(peers, Arc::clone(&node)));
    let operating = operator::serve(operators, Arc::clone(&node), phases.clone());
    tokio::spawn(operating);
    let serving = caller::serve(callers, Arc::clone(&node), phases);
    let served = tokio::spawn(serving);
    let following = Arc::clone(&node);
    tokio::spawn(async move { following.follow().await });
    Ok(LocalNode {
        node,
        domain: domain.to_owned(),
        callers: caller_address,
        operators: operator_address,
        phase,
        served: Some(served),
        runtime: None,
    })
}

/// One searcher with its listener.
pub struct LocalSearcher {
    /// Searcher.
    pub searcher: Searcher,
    /// Its part of the configuration.
    pub config: v1::Searcher,
    task: JoinHandle<()>,
    _stop: watch::Sender<Phase>,
}

impl LocalSearcher {
    /// Starts a searcher called `name` in `domain`.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn start(name: &str, domain: &str, settings: Settings) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(ANY).await?;
        let config = v1::Searcher {
            name: name.to_owned(),
            address: listener.local_addr()?.to_string(),
            domain: domain.to_owned(),
            slots: u32::from(settings.slots),
            connections: u32::from(settings.slots) * 10,
        };
        let searcher = Searcher::new(settings);
        let (stop, stopped) = watch::channel(Phase::Serve);
        let serving = crate::searcher::serve(listener, searcher.clone(), stopped);
        Ok(Self {
            searcher,
            config,
            task: tokio::spawn(serving),
            _stop: stop,
        })
    }

    /// Ends the searcher's listener at once.
    pub fn kill(&self) {
        self.task.abort();
    }
}

/// The tier.
pub struct LocalTier {
    /// Platform.
    pub store: Store,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Searchers.
    pub searchers: Vec<LocalSearcher>,
    /// Nodes.
    pub nodes: Vec<LocalNode>,
    /// Threads of each node that is started from now on.
    pub threads: usize,
    _stop: watch::Sender<Phase>,
}

impl LocalTier {
    /// Starts the platform alone.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn start() -> anyhow::Result<Self> {
        let store = Store::default();
        let listener = TcpListener::bind(ANY).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(Phase::Serve);
        tokio::spawn(crate::platform::serve(listener, store.clone(), stopped));
        Ok(Self {
            store,
            platform: address,
            searchers: Vec::new(),
            nodes: Vec::new(),
            threads: 1,
            _stop: stop,
        })
    }

    /// Starts the searchers of a sharded service, one replica in each of
    /// `domains`, and returns the service's configuration.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn add_sharded(
        &mut self,
        name: &str,
        shards: u16,
        domains: &[&str],
        settings: &Settings,
    ) -> anyhow::Result<v1::Service> {
        let mut made = Vec::new();
        for shard in 0..shards {
            made.push(self.add_shard(name, shard, domains, settings).await?);
        }
        Ok(service(
            name,
            v1::service::Kind::Sharded(v1::Sharded { shards: made }),
        ))
    }

    /// Starts the searchers of a sharded service without replicas, shard by
    /// shard in the next one of `domains`.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn add_spread(
        &mut self,
        name: &str,
        shards: u16,
        domains: &[&str],
        settings: &Settings,
    ) -> anyhow::Result<v1::Service> {
        let mut made = Vec::new();
        for shard in 0..shards {
            let at = usize::from(shard) % domains.len();
            let domains = &domains[at..=at];
            made.push(self.add_shard(name, shard, domains, settings).await?);
        }
        Ok(service(
            name,
            v1::service::Kind::Sharded(v1::Sharded { shards: made }),
        ))
    }

    async fn add_shard(
        &mut self,
        name: &str,
        shard: u16,
        domains: &[&str],
        settings: &Settings,
    ) -> anyhow::Result<v1::Shard> {
        let mut replicas = Vec::new();
        for domain in domains {
            let mut own = settings.clone();
            own.shard = ShardIx(shard);
            let label = format!("{name}-{shard}-{domain}");
            replicas.push(self.add_searcher(&label, domain, own).await?);
        }
        Ok(v1::Shard {
            index: u32::from(shard),
            replicas,
        })
    }

    async fn add_searcher(
        &mut self,
        label: &str,
        domain: &str,
        mut settings: Settings,
    ) -> anyhow::Result<v1::Searcher> {
        settings.seed += self.searchers.len() as u64;
        let searcher = LocalSearcher::start(label, domain, settings).await?;
        let config = searcher.config.clone();
        self.searchers.push(searcher);
        Ok(config)
    }

    /// Starts the searchers of a pooled service, one in each of `domains`,
    /// and returns the service's configuration.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn add_pooled(
        &mut self,
        name: &str,
        domains: &[&str],
        settings: &Settings,
    ) -> anyhow::Result<v1::Service> {
        let mut searchers = Vec::new();
        for domain in domains {
            let label = format!("{name}-{domain}");
            let made = self.add_searcher(&label, domain, settings.clone());
            searchers.push(made.await?);
        }
        Ok(service(
            name,
            v1::service::Kind::Pooled(v1::Pooled { searchers }),
        ))
    }

    /// Starts a node called `name` in `domain` and lists it as a live VM.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn add_node(&mut self, name: &str, domain: &str) -> anyhow::Result<()> {
        let started = self.nodes.len() as u64 + 1;
        let made = LocalNode::start(name, domain, self.platform, started, self.threads).await?;
        self.nodes.push(made);
        self.list_vms();
        Ok(())
    }

    /// Lists the nodes that run as live VMs.
    pub fn list_vms(&self) {
        let mut vms = Vec::new();
        for local in &self.nodes {
            if local.runtime.is_none() {
                continue;
            }
            let info = &local.node.info;
            vms.push(Vm {
                name: info.name.clone(),
                domain: local.domain.clone(),
                peers: info.peers,
                callers: info.callers,
                state: VmState::Live,
            });
        }
        self.store.set_vms(vms);
    }

    /// Makes each node take the newest state of the platform now.
    pub async fn settle(&self) {
        for local in &self.nodes {
            let node = Arc::clone(&local.node);
            let _ = local
                .run(async move { node.refresh(Revision(0)).await })
                .await;
        }
    }
}

fn service(name: &str, kind: v1::service::Kind) -> v1::Service {
    v1::Service {
        name: name.to_owned(),
        kind: Some(kind),
        limits: Some(v1::Limits::default()),
        objectives: Some(v1::Objectives::default()),
    }
}
