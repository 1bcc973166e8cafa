//! Finds the route of a request, and the service of a split.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use heatherrun_kernel::routes::{Config, Name, Part, Route, Service};

/// Step of the golden-ratio sequence: consecutive points spread evenly, so
/// that each part's share holds over any short run of requests.
const GOLDEN_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// A configuration, indexed by host and by service.
#[derive(Debug)]
pub struct Table {
    config: Arc<Config>,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    services: HashMap<Name, usize>,
    turn: AtomicU64,
}

impl Table {
    /// Index of `config`; `seed` sets where splits begin.
    #[must_use]
    pub fn new(config: Arc<Config>, seed: u64) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (ix, route) in config.routes.iter().enumerate() {
            hosts.entry(host_key(&route.host)).or_default().push(ix);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|ix| std::cmp::Reverse(config.routes[*ix].prefix.len()));
        }
        let services = config.services.iter().enumerate();
        let services = services.map(|(ix, s)| (Arc::clone(&s.name), ix)).collect();
        Self {
            config,
            hosts,
            services,
            turn: AtomicU64::new(seed),
        }
    }

    /// Configuration.
    #[must_use]
    pub const fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Route with the longest prefix that begins `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(&host_key(host))?;
        let routes = routes.iter().map(|ix| &self.config.routes[*ix]);
        routes.into_iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|ix| &self.config.services[*ix])
    }

    /// The part of a split that the next request goes to.
    #[must_use]
    pub fn part<'a>(&self, parts: &'a [Part]) -> Option<&'a Part> {
        let total: u64 = parts.iter().map(|p| u64::from(p.weight)).sum();
        if total == 0 {
            return None;
        }
        let point = self.turn.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        let mut point = u64::try_from((u128::from(point) * u128::from(total)) >> 64).unwrap_or(0);
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

/// Host as routes compare it: without its port, in lower case.
fn host_key(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
