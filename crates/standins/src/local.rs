//! A whole tier in one process: platform, searchers and nodes on free
//! loopback ports, for examples, tests and the wire experiment.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;

use heatherrun_fakes::searcher::{Searcher, Settings};
use heatherrun_fakes::store::Store;
use heatherrun_kernel::port::{Vm, VmState};
use heatherrun_kernel::{Revision, ShardIx};
use heatherrun_ports::http_server::Phase;
use heatherrun_schema::v1::{self, Operator};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::node::{LocalNode, NodeSpec, PortsFn, pooled_ports};
use crate::searcher::Intake;

/// Any free loopback port.
const ANY: &str = "127.0.0.1:0";

/// Seconds that callers may keep an address answer.
const KEEP_SECS: u32 = 5;

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
        Self::start_fenced(name, domain, settings, true).await
    }

    /// Starts a searcher that refuses calls of an older epoch than it has
    /// seen only when it is `fenced`.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn start_fenced(
        name: &str,
        domain: &str,
        settings: Settings,
        fenced: bool,
    ) -> anyhow::Result<Self> {
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
        let intake = Intake {
            connections: config.connections as usize,
            fenced,
        };
        let serving = crate::searcher::serve(listener, searcher.clone(), intake, stopped);
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
    /// Whether searchers started from now on refuse older epochs; those that
    /// several tiers share cannot.
    pub fenced: bool,
    /// Seconds that callers may keep an address answer of such a node.
    pub keep_secs: u32,
    /// Ports of such a node to targets and peers.
    pub ports: PortsFn,
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
            fenced: true,
            keep_secs: KEEP_SECS,
            ports: pooled_ports,
            _stop: stop,
        })
    }

    /// Starts `nodes` nodes spread over `domains`, applies `services` as the
    /// first configuration, and waits until it is in force.
    ///
    /// # Errors
    /// When no port is free or the configuration is refused.
    pub async fn serve(
        &mut self,
        nodes: usize,
        domains: &[&str],
        services: Vec<v1::Service>,
    ) -> anyhow::Result<()> {
        for n in 0..nodes {
            let domain = domains[n % domains.len()];
            self.add_node(&format!("entry-{n}"), domain).await?;
        }
        let domain = |name: &&str| v1::FailureDomain {
            name: (*name).to_owned(),
            region: "alps".to_owned(),
            out: false,
        };
        let config = v1::TierConfig {
            domains: domains.iter().map(domain).collect(),
            services,
        };
        let request = v1::ApplyRequest {
            config: Some(config),
            ..v1::ApplyRequest::default()
        };
        self.nodes[0].node.apply(request).await?;
        self.settle().await;
        Ok(())
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
        let searcher = LocalSearcher::start_fenced(label, domain, settings, self.fenced).await?;
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
        let spec = NodeSpec {
            name: name.to_owned(),
            domain: domain.to_owned(),
            platform: self.platform,
            started: unix_ms(),
            threads: self.threads,
            keep_secs: self.keep_secs,
            ports: self.ports,
        };
        self.nodes.push(LocalNode::start(spec).await?);
        self.list_vms();
        Ok(())
    }

    /// Lists the nodes that run as live VMs.
    pub fn list_vms(&self) {
        let mut vms = Vec::new();
        for local in &self.nodes {
            if !local.is_running() {
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

    /// Waits until each node has a configuration and an owner for each target.
    pub async fn settle(&self) {
        self.settle_at(0).await;
    }

    /// Waits until each node has `revision` in force and an owner for each
    /// target.
    pub async fn settle_at(&self, revision: u64) {
        for local in &self.nodes {
            let node = Arc::clone(&local.node);
            let _ = local
                .run(async move { node.refresh(Revision(revision)).await })
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

/// Milliseconds since the start of the Unix epoch.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
