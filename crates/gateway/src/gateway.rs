//! Starts a node that serves routed requests, and shuts it down gracefully.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use heatherrun_kernel::port::Platform;
use heatherrun_kernel::routes::{Name, NodeEntry};
use heatherrun_kernel::time::micros;
use heatherrun_kernel::{Clock, registry, site};
use heatherrun_ports::http_server::{self, Limits, Phase};
use heatherrun_ports::listen::{bind, parse};
use heatherrun_ports::memory::Division;
use heatherrun_routing::extra_calls::ExtraCallLimit;
use heatherrun_routing::rollout;
use heatherrun_schema::v1::{GatewaySettings, NodeSettings};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::rollout::decider::Decider;
use crate::rollout::report;
use crate::roster::RosterWriter;
use crate::state::{Deployment, State};
use crate::store_sync::StoreSync;
use crate::{endpoints, join, link_probe, quota, relay, serve, supervise};

/// Maximum size of a caller's request body; the configuration sets a lower
/// limit.
const MAX_REQUEST_BODY_BYTES: usize = 1 << 20;

/// Maximum size of a request body at the other endpoints.
const MAX_ENDPOINT_BODY_BYTES: usize = 4 * 1024;

/// Time after which an idle connection is closed. Callers reuse a connection
/// for up to four fifths of the configuration's limit, about 15 s, which must
/// stay well below this.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval between checks of the clock.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Mean delay of a timer from which the node counts as busy, and below which it
/// no longer does. The distance keeps nodes from joining and leaving the cell in
/// turn.
const BUSY_DELAY: Duration = Duration::from_millis(25);
const IDLE_DELAY: Duration = Duration::from_millis(5);

/// Inverse weight of one check in the mean delay.
const DELAY_WEIGHT_DIVISOR: u32 = 30;

/// Shortest suspension that open requests are told of.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Interval between checks whether requests of other nodes are finished.
const FORWARD_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time in which the last replies to other nodes are written.
const FORWARD_REPLY_TIME: Duration = Duration::from_millis(20);

/// Part of the stop's time limit, in per cent, during which requests are still
/// accepted: callers keep using the address for a while.
const STOP_ACCEPT_PERCENT: u32 = 70;

/// Part of the stop's time limit, in per cent, after which open requests are
/// answered with the parts received so far; the rest is for delivering these
/// answers. A searcher that is still running a call by then may be abandoned.
const STOP_ANSWER_PERCENT: u32 = 92;

/// A running gateway node.
pub struct Gateway {
    state: Arc<State>,
    phase: watch::Sender<Phase>,
    /// Task that serves callers; it ends once all their connections are closed.
    callers: JoinHandle<()>,
}

/// Listening sockets of one node.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    /// Each with its maximum number of connections.
    endpoints: Vec<(TcpListener, usize)>,
}

/// Applies changed settings to a running node.
pub struct Reloader {
    state: Arc<State>,
}

impl Reloader {
    /// Applies the settings that may change while the node runs: failure
    /// domains, seeds, the lifetime of a directory answer, the limit on extra
    /// calls, and the memory and descriptors for callers. Other changes need a
    /// restart.
    ///
    /// # Errors
    /// When an address is malformed; no setting is changed then.
    pub fn reload(
        &self,
        node_settings: &NodeSettings,
        settings: &GatewaySettings,
    ) -> anyhow::Result<()> {
        let deployment = deployment(settings)?;
        let domains = deployment.regions.len();
        let seeds = deployment.seeds.len();
        self.state.deployment.store(Arc::new(deployment));
        let (memory_mb, max_fds) = (node_settings.memory_mb, node_settings.max_fds);
        let division = Division::new(memory_mb, max_fds);
        self.state.set_division(&division);
        log::info!(domains, seeds, memory_mb, max_fds; "gateway.reloaded");
        Ok(())
    }
}

impl Gateway {
    /// Starts a node with the given settings.
    ///
    /// # Errors
    /// When a plug-in is unknown, an address is malformed, or its port is in
    /// use.
    pub async fn start(
        node_settings: &NodeSettings,
        settings: &GatewaySettings,
    ) -> anyhow::Result<Self> {
        let site = site::find(&settings.site)?;
        let store_address = parse(&node_settings.platform, "platform")?;
        let platform = registry::platform(&settings.site)?(store_address);
        let own_entry = own_entry(node_settings, settings)?;
        let deployment = deployment(settings)?;
        let division = Division::new(node_settings.memory_mb, node_settings.max_fds);
        let mut endpoints = Vec::new();
        for (key, address, connections) in [
            ("ready", &settings.ready, division.checks),
            ("directory", &settings.directory, division.lookups),
            ("scrape", &settings.scrape, division.checks),
        ] {
            if !address.is_empty() {
                let listener = bind(parse(address, key)?).await?;
                endpoints.push((listener, connections));
            }
        }
        let listeners = Listeners {
            callers: bind(own_entry.callers).await?,
            peers: bind(own_entry.peers).await?,
            endpoints,
        };
        let clock = Clock::start_boot();
        let (state, suspicions) = State::new(own_entry, deployment, clock, site, &division);
        let suspicions = Arc::new(tokio::sync::Mutex::new(suspicions));
        let own = Arc::clone(&state);
        supervise::spawn("suspicions", move || {
            relay::broadcast_suspicions(Arc::clone(&own), Arc::clone(&suspicions))
        });
        Ok(Self::serve(state, listeners, &platform, division.peers))
    }

    /// Spawns the servers and the background tasks of the node.
    fn serve(
        state: Arc<State>,
        listeners: Listeners,
        platform: &Platform,
        peer_connections: usize,
    ) -> Self {
        let (phase, phase_receiver) = watch::channel(Phase::Serve);
        let server_state = Arc::clone(&state);
        let callers = http_server::serve_within(
            listeners.callers,
            caller_limits(),
            Arc::clone(&state.capacity),
            phase_receiver.clone(),
            move |received, _| serve::handle_request(Arc::clone(&server_state), received),
        );
        for (listener, connections) in listeners.endpoints {
            let server_state = Arc::clone(&state);
            let limits = Limits {
                connections,
                head_time: IDLE_TIMEOUT,
                ..Limits::new(MAX_ENDPOINT_BODY_BYTES)
            };
            tokio::spawn(http_server::serve(
                listener,
                limits,
                phase_receiver.clone(),
                move |received, _| {
                    let reply = endpoints::handle_request(&server_state, received);
                    std::future::ready(reply)
                },
            ));
        }
        Self::spawn_background(&state, listeners.peers, peer_connections, platform);
        Self {
            state,
            phase,
            callers: tokio::spawn(callers),
        }
    }

    /// Spawns the tasks that keep the state up to date.
    fn spawn_background(
        state: &Arc<State>,
        peers: TcpListener,
        peer_connections: usize,
        platform: &Platform,
    ) {
        let peers = Arc::new(peers);
        let of = |state: &Arc<State>| Arc::clone(state);
        let own = of(state);
        supervise::spawn("clock", move || watch_clock(of(&own)));
        let own = of(state);
        supervise::spawn("link-probe", move || link_probe::run(of(&own)));
        let own = of(state);
        supervise::spawn("relay", move || {
            relay::serve(Arc::clone(&peers), peer_connections, of(&own))
        });
        let own = of(state);
        supervise::spawn("join", move || join::run(of(&own)));
        quota::spawn(state);
        let (own, store) = (of(state), platform.clone());
        supervise::spawn("store-sync", move || {
            StoreSync::new(of(&own), store.clone()).run()
        });
        if state.deployment.load().rollout_limits.is_some() {
            let own = of(state);
            supervise::spawn("rollout-report", move || report::run(of(&own)));
            let (own, store) = (of(state), platform.clone());
            supervise::spawn("rollout-decider", move || {
                Decider::new(of(&own), store.clone()).run()
            });
        }
        let (own, store) = (of(state), platform.clone());
        supervise::spawn("roster", move || {
            RosterWriter::new(of(&own), store.clone()).run()
        });
    }

    /// Address at which this node serves the other nodes.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.state.own_entry.peers
    }

    /// Returns a handle that applies changed settings to this node.
    #[must_use]
    pub fn reloader(&self) -> Reloader {
        Reloader {
            state: Arc::clone(&self.state),
        }
    }

    /// Stops gracefully: the node leaves the directory, keeps serving callers
    /// that still use its address, closes its port and finishes open requests.
    /// Returns false when `limit` passed first, so that a request may be cut
    /// off.
    pub async fn stop(self, limit: Duration) -> bool {
        let end = tokio::time::Instant::now() + limit;
        let answer_delay = limit * STOP_ANSWER_PERCENT / 100;
        self.state.begin_stop(self.state.clock.now() + answer_delay);
        self.phase.send_replace(Phase::Leave);
        tokio::time::sleep(limit * STOP_ACCEPT_PERCENT / 100).await;
        log::info!("stop.closing");
        self.phase.send_replace(Phase::Close);
        let ending = async {
            let ended = self.callers.await;
            while !self.state.forwarder.is_idle() {
                tokio::time::sleep(FORWARD_CHECK_INTERVAL).await;
            }
            tokio::time::sleep(FORWARD_REPLY_TIME).await;
            ended
        };
        tokio::time::timeout_at(end, ending).await.is_ok()
    }
}

/// Tells the open requests each time the machine has slept: their timers, which
/// stood still, are late. Also judges by the delay of its own timer whether the
/// processor is too busy. Never returns.
async fn watch_clock(state: Arc<State>) {
    let mut known = state.clock.suspended();
    let mut delay = Duration::ZERO;
    loop {
        let start = tokio::time::Instant::now();
        tokio::time::sleep(CLOCK_CHECK_INTERVAL).await;
        let late = start.elapsed().saturating_sub(CLOCK_CHECK_INTERVAL);
        delay = (delay * (DELAY_WEIGHT_DIVISOR - 1) + late) / DELAY_WEIGHT_DIVISOR;
        if delay > BUSY_DELAY {
            state.set_busy(true);
        } else if delay < IDLE_DELAY {
            state.set_busy(false);
        }
        let suspended = state.clock.suspended();
        let slept = suspended.saturating_sub(known);
        if slept > MIN_SUSPENSION {
            log::warn!(slept_us = micros(slept), feed_age_us = micros(state.feed_age()); "node.slept");
            state.record_wake();
        }
        known = suspended;
    }
}

/// Limits of the server for callers; its capacity is the node's.
pub(crate) fn caller_limits() -> Limits {
    Limits {
        head_time: IDLE_TIMEOUT,
        ..Limits::new(MAX_REQUEST_BODY_BYTES)
    }
}

/// Builds the entry under which this node registers.
fn own_entry(
    node_settings: &NodeSettings,
    settings: &GatewaySettings,
) -> anyhow::Result<NodeEntry> {
    Ok(NodeEntry {
        name: Name::from(node_settings.name.as_str()),
        callers: parse(&node_settings.callers, "callers")?,
        peers: parse(&node_settings.peers, "peers")?,
        domain: Name::from(node_settings.domain.as_str()),
        region: Name::from(settings.region.as_str()),
        power: settings.cpu_share * settings.cpu_speed,
        busy: false,
    })
}

fn deployment(settings: &GatewaySettings) -> anyhow::Result<Deployment> {
    let mut regions: HashMap<Name, Name> = HashMap::new();
    for domain in &settings.domains {
        let name = Name::from(domain.name.as_str());
        regions.insert(name, Name::from(domain.region.as_str()));
    }
    let mut seeds = Vec::new();
    for seed in &settings.seeds {
        seeds.push(parse(seed, "seeds")?);
    }
    let extra_call_limit = ExtraCallLimit {
        share: settings.extra_share,
        slack: settings.extra_slack,
        window: Duration::from_secs(u64::from(settings.extra_secs)),
    };
    let strict = settings.teams.as_ref().filter(|t| t.strict_revoke);
    let rollout_limits = settings.rollout.as_ref().map(|rollout| rollout::Limits {
        share: rollout.expose_share,
        slack: rollout.expose_slack,
    });
    Ok(Deployment {
        regions,
        rollout_limits,
        extra_call_limit,
        directory_ttl: Duration::from_secs(u64::from(settings.keep_secs)),
        revoke_time: strict.map(|t| Duration::from_millis(t.revoke_ms)),
        seeds,
    })
}
