//! The operators' configuration of routes and services, one versioned value,
//! and what targets and nodes register of themselves.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Name of a service, target, route, region or failure domain.
pub type Name = Arc<str>;

/// What may be done with a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run on several targets.
    Idempotent,
    /// It runs at most once.
    Once,
}

/// One service of a weighted split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Service.
    pub service: Name,
    /// Weight beside those of the other parts.
    pub weight: u32,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    /// To one target of a service.
    Service(Name),
    /// To one target of one of several services.
    Split(Vec<Part>),
    /// To one target of each shard; each shard is a service.
    Shards {
        /// Shards.
        services: Vec<Name>,
        /// Records of a merged answer at the most.
        records: usize,
        /// Least share of the shards that makes an answer, from 0 to 1.
        least: f64,
    },
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in its configuration.
    pub name: Name,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path, from slash to slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Targets of one service that may run one request.
    pub attempts: u16,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Regions whose targets may serve it; empty for all.
    pub regions: Vec<Name>,
    /// Where its requests go.
    pub to: Destination,
}

/// Slow start of a service's targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Requests that a cold target bears in a second, from all nodes.
    pub per_sec: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Connections that one of its targets accepts from all nodes.
    pub connections: u16,
    /// Slow start; none when a cold target bears as much as a warm one.
    pub cold: Option<ColdStart>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
}

/// The whole configuration at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Version; it only grows.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// What callers may send.
    pub callers: CallerLimits,
}

/// A target as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Name of its instance.
    pub id: Name,
    /// Service.
    pub service: Name,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Calls it runs at once.
    pub slots: u16,
    /// Whether it leaves.
    pub draining: bool,
    /// How much longer it stays cold.
    pub warmup: Duration,
    /// Unix millisecond of its start; tells incarnations apart.
    pub born: u64,
    /// Count of its reports in this incarnation.
    pub report: u64,
}

/// A node as it registered itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// Name.
    pub name: Name,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Region.
    pub region: Name,
    /// Processing power, in cores.
    pub power: f64,
}

/// What one item of the platform's store says.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// The operators' configuration.
    Config(Box<Config>),
    /// A target is there.
    Target(TargetEntry),
    /// A target is gone.
    TargetGone(Name),
    /// Operators took a failure domain out.
    DomainOut(Name),
    /// Operators brought a failure domain back.
    DomainBack(Name),
    /// Nothing that concerns the tier.
    Other,
}
