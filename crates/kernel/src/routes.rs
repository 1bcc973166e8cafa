//! Configuration of the gateway: the operators' routes and services, which form
//! one versioned value, and the entries under which targets and nodes register
//! themselves in the platform's store.

use std::{borrow::Borrow, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Name of a service, target, route, region or failure domain.
pub type Name = Arc<str>;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run several times, also on different targets.
    Idempotent,
    /// It runs at most once.
    Once,
}

/// One service of a weighted traffic split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitPart {
    /// Service that receives this part of the requests.
    pub service: Name,
    /// Weight relative to the other parts.
    pub weight: u32,
}

/// Destination of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    /// Each request goes to one target of a service.
    Service(Name),
    /// Each request goes to one target of one of several services, chosen by
    /// weight.
    Split(Vec<SplitPart>),
    /// Each request goes to one target of each shard; each shard is a service.
    Shards {
        /// Services that hold the shards.
        services: Vec<Name>,
        /// Maximum number of records in a merged answer.
        max_records: usize,
        /// Minimum share of the shards that an answer must cover, from 0 to 1.
        min_coverage: f64,
    },
}

/// A rule that assigns requests to a destination by host and path.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique within the configuration.
    pub name: Name,
    /// Host in the request.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Maximum number of targets of one service that may run one request.
    pub attempts: u16,
    /// Maximum time until the caller gets an answer.
    pub timeout: Duration,
    /// Latency objective.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Regions whose targets may serve the route; empty allows all.
    pub regions: Vec<Name>,
    /// Whether requests need no key, although other routes require one.
    pub is_public: bool,
    /// Destination of the requests.
    pub to: Destination,
}

/// A team whose callers authenticate with a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name, unique within the configuration.
    pub name: Name,
    /// Keys of its callers.
    pub keys: Vec<ApiKey>,
    /// Requests per second that it may send to all nodes together; `None`
    /// without a limit.
    pub per_sec: Option<f64>,
    /// Requests that it may send at once beyond that rate.
    pub burst: f64,
    /// Priority, which goes before that of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// Regions whose targets may serve it; empty allows all.
    pub regions: Vec<Name>,
}

/// A secret with which a caller authenticates. Its `Debug` output has only a
/// prefix of its hash.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Wraps a key.
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self(Arc::from(key))
    }

    /// The secret itself, for comparison with what a caller sent.
    #[must_use]
    pub fn secret(&self) -> &str {
        &self.0
    }
}

/// Allows a lookup by what a caller sent.
impl Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Sixteen bits tell keys apart, but do not identify one.
        write!(f, "ApiKey(#{:04x})", xxh3_64(self.0.as_bytes()) >> 48)
    }
}

/// Slow start of a service's targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Capacity of a cold target in requests per second, from all nodes
    /// together.
    pub per_sec: f64,
}

/// A group of targets that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique within the configuration.
    pub name: Name,
    /// Maximum number of connections that each target accepts from all nodes
    /// together.
    pub connections: u16,
    /// Slow start; none when a cold target has the capacity of a warm one.
    pub cold: Option<ColdStart>,
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
}

/// The whole gateway configuration at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Version, which increases monotonically.
    pub version: u64,
    /// Routes, each with its destination.
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    pub services: Vec<Service>,
    /// Limits on requests of callers.
    pub callers: CallerLimits,
    /// Teams; `None` if requests need no key. With an empty list they need one
    /// on each route that is not public, and there is none.
    pub teams: Option<Vec<Team>>,
}

impl Config {
    /// The teams, if there are any.
    #[must_use]
    pub fn teams(&self) -> &[Team] {
        self.teams.as_deref().unwrap_or_default()
    }
}

/// A target's registration of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Name of the target instance.
    pub id: Name,
    /// Service that the target belongs to.
    pub service: Name,
    /// Address that accepts calls.
    pub address: SocketAddr,
    /// Failure domain that the target runs in.
    pub domain: Name,
    /// Number of calls that it runs concurrently.
    pub slots: u16,
    /// Whether the target is shutting down.
    pub draining: bool,
    /// Remaining duration of the target's slow start.
    pub warmup: Duration,
    /// Start of the process in Unix milliseconds, which distinguishes
    /// incarnations.
    pub born: u64,
    /// Sequence number of the report within the incarnation.
    pub report_seq: u64,
    /// Version of the service that it runs; empty when it names none.
    pub version: Name,
}

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Version to move to.
    pub version: Name,
    /// Time from the order to its deadline.
    pub duration: Duration,
}

/// Progress of a roll-out as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// The version is under test.
    Running,
    /// All calls go to the version.
    Succeeded,
    /// The version was judged bad and receives no calls.
    RolledBack,
}

/// What the tier publishes of the roll-out of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Progress.
    pub outcome: RolloutOutcome,
    /// Version that the order named.
    pub version: Name,
}

/// What a node tells others of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// Name of the VM.
    pub name: Name,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Failure domain that the node runs in.
    pub domain: Name,
    /// Region that the node runs in.
    pub region: Name,
    /// Processing capacity, in cores of the usual speed.
    pub power: f64,
    /// Whether its threads wait long for the processor.
    pub busy: bool,
}

/// Content of one item of the platform's store, or of its deletion.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreItem {
    /// The operators' configuration.
    Config(Box<Config>),
    /// A target registered or reported its state.
    Target(TargetEntry),
    /// The entry of a target was deleted.
    TargetRemoved(Name),
    /// Operators took a failure domain out of service.
    DomainOut(Name),
    /// Operators returned a failure domain to service.
    DomainBack(Name),
    /// The order to roll out a version of a service; none when it was
    /// withdrawn.
    Rollout {
        /// Service to move.
        service: Name,
        /// The order.
        order: Option<RolloutOrder>,
    },
    /// The published status of a roll-out, or its deletion.
    RolloutStatus {
        /// Service that it is about.
        service: Name,
        /// The status.
        status: Option<RolloutStatus>,
    },
    /// An item that the tier does not use.
    Other,
}
