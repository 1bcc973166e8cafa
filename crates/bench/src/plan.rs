//! Sizes of the tiers that experiments run.

use std::time::Duration;

use heatherrun_fakes::searcher::{Cold, Settings, Spread};
use heatherrun_kernel::Snapshot;

/// Step of the paused clock's timers.
pub const TICK: Duration = Duration::from_millis(1);

/// Mean service time of a search or request.
pub const SERVICE: Duration = Duration::from_millis(10);

/// Standard deviation of the logarithm of service times.
pub const SIGMA: f64 = 0.5;

/// One-way delay within a failure domain.
const NEAR: Duration = Duration::from_micros(250);

/// Longest round trip between an owner and a target, in whole ticks.
const ROUND: Duration = Duration::from_millis(4);

/// Entry VMs.
const NODES: usize = 7;

/// One service.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name.
    pub name: &'static str,
    /// Shards; zero for a pooled service.
    pub shards: u16,
    /// Replicas of each shard, or searchers of a pooled service.
    pub replicas: u16,
    /// Calls a searcher runs at the same time.
    pub slots: u16,
    /// Connections a searcher accepts.
    pub connections: u16,
}

impl ServicePlan {
    /// A sharded service with one replica in each failure domain.
    #[must_use]
    pub const fn sharded(name: &'static str, shards: u16, slots: u16, connections: u16) -> Self {
        Self {
            name,
            shards,
            replicas: 3,
            slots,
            connections,
        }
    }

    /// A pooled service.
    #[must_use]
    pub const fn pooled(name: &'static str, replicas: u16, slots: u16, connections: u16) -> Self {
        Self {
            name,
            shards: 0,
            replicas,
            slots,
            connections,
        }
    }

    /// Requests per second that fill all slots.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        f64::from(self.replicas) * f64::from(self.slots) / SERVICE.as_secs_f64()
    }
}

/// One-way delays.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// Within a failure domain.
    pub near: Duration,
    /// Between failure domains.
    pub far: Duration,
    /// To clients.
    pub client: Duration,
}

/// A tier.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Names of the failure domains.
    pub domains: [&'static str; 3],
    /// Entry VMs, spread over the failure domains.
    pub nodes: usize,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// One-way delays.
    pub delays: Delays,
    /// What all searchers have in common.
    pub searcher: Settings,
    /// Seed of everything random.
    pub seed: u64,
}

impl Plan {
    /// Kernwerk's sizes, with `services`.
    #[must_use]
    pub fn kernwerk(services: Vec<ServicePlan>, seed: u64) -> Self {
        Self::new(
            ["wallis", "ticino", "zurich"],
            Duration::from_micros(1_500),
            services,
            seed,
        )
    }

    /// The cooperative's sizes, with `services`.
    #[must_use]
    pub fn cooperative(services: Vec<ServicePlan>, seed: u64) -> Self {
        Self::new(
            ["cariri", "sao-francisco", "agreste"],
            Duration::from_millis(1),
            services,
            seed,
        )
    }

    fn new(
        domains: [&'static str; 3],
        far: Duration,
        services: Vec<ServicePlan>,
        seed: u64,
    ) -> Self {
        let searcher = Settings {
            service: SERVICE,
            spread: Spread::Lognormal(SIGMA),
            tick: TICK,
            cold: Cold {
                slowness: 2.0,
                warm_after: 50,
                falls: true,
                round: ROUND,
                ..Cold::default()
            },
            lots: 1,
            record: true,
            snapshots: (Snapshot(1), Snapshot(1)),
            ..Settings::default()
        };
        Self {
            domains,
            nodes: NODES,
            services,
            delays: Delays {
                near: NEAR,
                far,
                client: Duration::from_millis(3),
            },
            searcher,
            seed,
        }
    }
}

/// Services of Kernwerk.
#[must_use]
pub fn kernwerk_services() -> Vec<ServicePlan> {
    vec![
        ServicePlan::sharded("buyer-desk", 10, 3, 30),
        ServicePlan::sharded("grower-portal", 15, 3, 30),
        ServicePlan::pooled("lot-viewer", 10, 6, 110),
        ServicePlan::pooled("broker-feed", 4, 6, 110),
    ]
}

/// Services of the cooperative.
#[must_use]
pub fn cooperative_services() -> Vec<ServicePlan> {
    vec![
        ServicePlan::sharded("lotes", 10, 2, 25),
        ServicePlan::sharded("balanca", 15, 2, 25),
        ServicePlan::pooled("recibos", 5, 6, 50),
        ServicePlan::pooled("compradores", 3, 6, 50),
    ]
}

/// The service of 71 shards.
#[must_use]
pub fn wide_service() -> ServicePlan {
    ServicePlan::sharded("wide", 71, 3, 30)
}

/// The tiers of today and one with the service of 71 shards, by name.
#[must_use]
pub fn tiers(seed: u64) -> Vec<(&'static str, Plan)> {
    vec![
        ("kernwerk", Plan::kernwerk(kernwerk_services(), seed)),
        (
            "cooperative",
            Plan::cooperative(cooperative_services(), seed),
        ),
        ("wide", Plan::kernwerk(vec![wide_service()], seed)),
    ]
}
