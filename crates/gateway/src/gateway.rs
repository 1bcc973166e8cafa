//! Starts a node that serves routed requests, and stops it as planned.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use heatherrun_kernel::port::Platform;
use heatherrun_kernel::routes::{Name, NodeEntry};
use heatherrun_kernel::{Clock, registry, site};
use heatherrun_ports::http_server::{self, Limits, Phase};
use heatherrun_ports::listen::{bind, parse};
use heatherrun_routing::extra::ExtraBound;
use heatherrun_schema::v1::{GatewaySettings, NodeSettings};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::registration::Member;
use crate::state::{State, Terms};
use crate::store_sync::Sync;
use crate::{endpoints, relay, serve};

/// Longest body read; the configuration's own limit is lower.
const BODY_BYTES: usize = 1 << 20;

/// Longest body of a question.
const QUESTION_BYTES: usize = 4 * 1024;

/// Time that a connection may stay idle. Callers reuse one up to four fifths
/// of the configuration's limit, some 15 s; this is well above it.
const IDLE_TIME: Duration = Duration::from_mins(1);

/// Part of the stop's time for which requests are still taken, in per cent:
/// callers keep the address for a while.
const SERVE_PERCENT: u32 = 70;

/// Part of the stop's time after which requests that are still open are
/// answered with what there is: the rest is for their way back. A searcher that
/// is at work for that long may be left, by the users' pages.
const ANSWER_PERCENT: u32 = 92;

/// A node that serves.
pub struct Gateway {
    state: Arc<State>,
    phase: watch::Sender<Phase>,
    callers: JoinHandle<()>,
}

/// Listeners of one node.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    doors: Vec<TcpListener>,
}

/// Takes changed settings into a node that runs.
pub struct Reloader {
    state: Arc<State>,
}

impl Reloader {
    /// Takes what may change while the node runs: the failure domains, the
    /// seeds and the bound on extra calls. Other changes need a restart.
    ///
    /// # Errors
    /// When an address is malformed; nothing changes then.
    pub fn reload(&self, own: &GatewaySettings) -> anyhow::Result<()> {
        let terms = terms(own)?;
        let domains = terms.regions.len();
        let seeds = terms.seeds.len();
        self.state.terms.store(Arc::new(terms));
        log::info!(domains, seeds; "gateway.reloaded");
        Ok(())
    }
}

impl Gateway {
    /// Starts the node that the settings describe.
    ///
    /// # Errors
    /// When a plug-in is unknown, an address malformed or its port not free.
    pub async fn start(node: &NodeSettings, own: &GatewaySettings) -> anyhow::Result<Self> {
        let site = site::find(&own.site)?;
        let store = parse(&node.platform, "platform")?;
        let platform = registry::platform(&own.site)?(store);
        let me = me(node, own)?;
        let terms = terms(own)?;
        let mut doors = Vec::new();
        for (key, address) in [
            ("ready", &own.ready),
            ("directory", &own.directory),
            ("scrape", &own.scrape),
        ] {
            if !address.is_empty() {
                doors.push(bind(parse(address, key)?).await?);
            }
        }
        let listeners = Listeners {
            callers: bind(me.callers).await?,
            peers: bind(me.peers).await?,
            doors,
        };
        let (state, findings) = State::new(me, terms, Clock::start(), site);
        tokio::spawn(relay::tell(Arc::clone(&state), findings));
        Ok(Self::serve(state, listeners, &platform))
    }

    fn serve(state: Arc<State>, listeners: Listeners, platform: &Platform) -> Self {
        let (phase, phases) = watch::channel(Phase::Serve);
        let limits = Limits {
            head_time: IDLE_TIME,
            ..Limits::new(BODY_BYTES)
        };
        let own = Arc::clone(&state);
        let callers = http_server::serve(
            listeners.callers,
            limits,
            phases.clone(),
            move |received, _| serve::answer(Arc::clone(&own), received),
        );
        for listener in listeners.doors {
            let own = Arc::clone(&state);
            let limits = Limits {
                head_time: IDLE_TIME,
                ..Limits::new(QUESTION_BYTES)
            };
            tokio::spawn(http_server::serve(
                listener,
                limits,
                phases.clone(),
                move |received, _| {
                    let reply = endpoints::answer(&own, received);
                    std::future::ready(reply)
                },
            ));
        }
        tokio::spawn(relay::serve(listeners.peers, Arc::clone(&state)));
        let sync = Sync::new(Arc::clone(&state), platform.clone());
        tokio::spawn(sync.run());
        tokio::spawn(Member::new(Arc::clone(&state), platform.clone()).run());
        Self {
            state,
            phase,
            callers: tokio::spawn(callers),
        }
    }

    /// Address for other nodes.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.state.me.peers
    }

    /// What takes changed settings into this node.
    #[must_use]
    pub fn reloader(&self) -> Reloader {
        Reloader {
            state: Arc::clone(&self.state),
        }
    }

    /// Stops as planned: the node is not named any more, serves callers that
    /// kept its address, closes its port and finishes what is open. False
    /// when `limit` passed first, so that a request may be cut.
    pub async fn stop(self, limit: Duration) -> bool {
        let end = tokio::time::Instant::now() + limit;
        let last = limit * ANSWER_PERCENT / 100;
        self.state.begin_stop(self.state.clock.now() + last);
        self.phase.send_replace(Phase::Leave);
        tokio::time::sleep(limit * SERVE_PERCENT / 100).await;
        log::info!("stop.closing");
        self.phase.send_replace(Phase::Close);
        tokio::time::timeout_at(end, self.callers).await.is_ok()
    }
}

fn me(node: &NodeSettings, own: &GatewaySettings) -> anyhow::Result<NodeEntry> {
    Ok(NodeEntry {
        name: Name::from(node.name.as_str()),
        callers: parse(&node.callers, "callers")?,
        peers: parse(&node.peers, "peers")?,
        domain: Name::from(node.domain.as_str()),
        region: Name::from(own.region.as_str()),
        power: own.cpu_share * own.cpu_speed,
    })
}

fn terms(own: &GatewaySettings) -> anyhow::Result<Terms> {
    let mut regions: HashMap<Name, Name> = HashMap::new();
    for domain in &own.domains {
        let name = Name::from(domain.name.as_str());
        regions.insert(name, Name::from(domain.region.as_str()));
    }
    let mut seeds = Vec::new();
    for seed in &own.seeds {
        seeds.push(parse(seed, "seeds")?);
    }
    let extra = ExtraBound {
        share: own.extra_share,
        slack: own.extra_slack,
        window: Duration::from_secs(u64::from(own.extra_secs)),
    };
    Ok(Terms {
        regions,
        extra,
        keep: Duration::from_secs(u64::from(own.keep_secs)),
        seeds,
    })
}
