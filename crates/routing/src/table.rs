//! Lookup of the route of a request, and the choice among the services of a
//! traffic split.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use heatherrun_kernel::routes::{Config, Name, Route, Service, SplitPart, Team};

use crate::teams::KeyIndex;

/// Step of the golden-ratio sequence, a 64-bit fraction: consecutive points
/// spread evenly, so that each part's share holds over any short run of
/// requests.
const GOLDEN_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// A configuration with lookup by host, by service and by key.
#[derive(Debug)]
pub struct RouteTable {
    config: Arc<Config>,
    /// Indices of the routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Indices of the services by name.
    services: HashMap<Name, usize>,
    /// Teams by key.
    keys: KeyIndex,
    /// Position in the golden-ratio sequence that chooses parts of splits.
    split_position: AtomicU64,
}

impl RouteTable {
    /// Indexes `config`; `seed` is the starting point of traffic splits.
    #[must_use]
    pub fn new(config: Arc<Config>, seed: u64) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (ix, route) in config.routes.iter().enumerate() {
            hosts
                .entry(normalize_host(&route.host))
                .or_default()
                .push(ix);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|ix| std::cmp::Reverse(config.routes[*ix].prefix.len()));
        }
        let services = config.services.iter().enumerate();
        let services = services.map(|(ix, s)| (Arc::clone(&s.name), ix)).collect();
        let keys = KeyIndex::new(config.teams());
        Self {
            config,
            hosts,
            services,
            keys,
            split_position: AtomicU64::new(seed),
        }
    }

    /// The indexed configuration.
    #[must_use]
    pub const fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Route of the host with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(&normalize_host(host))?;
        let routes = routes.iter().map(|ix| &self.config.routes[*ix]);
        routes.into_iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Service with the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|ix| &self.config.services[*ix])
    }

    /// Whether requests need a key, also if no team has one.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.config.teams.is_some()
    }

    /// Whether some team has a key.
    #[must_use]
    pub fn has_keys(&self) -> bool {
        self.config.teams().iter().any(|t| !t.keys.is_empty())
    }

    /// Team that the key belongs to.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.keys.team(key).map(|ix| &self.config.teams()[ix.0])
    }

    /// Names of the teams that share a key, in pairs.
    pub fn shared_keys(&self) -> impl Iterator<Item = (&Name, &Name)> {
        let name = |ix: usize| &self.config.teams()[ix].name;
        let pairs = self.keys.shared().iter();
        pairs.map(move |(first, later)| (name(first.0), name(later.0)))
    }

    /// Chooses the part of a traffic split for the next request; `None` if the
    /// weights add up to zero.
    #[must_use]
    pub fn choose_part<'a>(&self, parts: &'a [SplitPart]) -> Option<&'a SplitPart> {
        let total: u64 = parts.iter().map(|p| u64::from(p.weight)).sum();
        if total == 0 {
            return None;
        }
        let position = self
            .split_position
            .fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        let mut point =
            u64::try_from((u128::from(position) * u128::from(total)) >> 64).unwrap_or(0);
        for part in parts {
            let weight = u64::from(part.weight);
            if point < weight {
                return Some(part);
            }
            point -= weight;
        }
        None
    }
}

/// Normalizes a host for comparison: without port, in lower case.
fn normalize_host(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
