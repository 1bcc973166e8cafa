//! How a searcher behaves, and what it counts.

use std::time::Duration;

use heatherrun_kernel::message::Warmth;
use heatherrun_kernel::{MapRev, ShardIx, Snapshot};

/// Distribution of service times around their mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spread {
    /// Between half and one and a half of the mean, all alike.
    Uniform,
    /// Lognormal with this standard deviation of the logarithm.
    Lognormal(f64),
}

/// Calls that take longer than others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stragglers {
    /// Part of the calls, 0 to 1.
    pub share: f64,
    /// Factor on their service time.
    pub factor: f64,
}

/// How a searcher behaves when it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// A cold searcher bears its warm limit divided by this, at least 1.
    pub divisor: u16,
    /// Factor on the service time.
    pub slowness: f64,
    /// Calls run to their end that make it warm; zero leaves it cold.
    pub warm_after: u32,
    /// Whether it restarts when it is pushed past what it bears.
    pub falls: bool,
    /// Time that a restart takes.
    pub restart: Duration,
    /// Round trip to the owner: an arrival this soon after the first sign
    /// of a cold turn was sent before the owner could know.
    pub round: Duration,
}

impl Default for Cold {
    fn default() -> Self {
        Self {
            divisor: 10,
            slowness: 1.0,
            warm_after: 0,
            falls: false,
            restart: Duration::from_secs(1),
            round: Duration::ZERO,
        }
    }
}

/// How a searcher behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Shard it holds.
    pub shard: ShardIx,
    /// Calls it runs at the same time when warm.
    pub slots: u16,
    /// Calls that may be there at once, in slots and waiting, when warm.
    pub bears: u16,
    /// Mean service time of a call.
    pub service: Duration,
    /// Distribution of the service times.
    pub spread: Spread,
    /// Calls that take longer.
    pub stragglers: Stragglers,
    /// Service times are whole multiples of this, right on average; zero
    /// leaves them as drawn.
    pub tick: Duration,
    /// Factor on the service time; tests change it to make the searcher slow.
    pub slowness: f64,
    /// Warmth.
    pub warmth: Warmth,
    /// Behaviour when cold.
    pub cold: Cold,
    /// Whether it refuses calls past what it bears.
    pub sheds: bool,
    /// Beginning of the bodies that crash it.
    pub crash: Option<Vec<u8>>,
    /// Lots in each reply.
    pub lots: u32,
    /// Whether it keeps a record of every body that it ran.
    pub record: bool,
    /// Snapshots held, oldest and newest.
    pub snapshots: (Snapshot, Snapshot),
    /// Shard map; zero accepts any, and a call of map zero is accepted by any.
    pub map: MapRev,
    /// Seed of the service times.
    pub seed: u64,
}

impl Settings {
    /// Calls that may be there at once at its present warmth.
    #[must_use]
    pub fn bears_now(&self) -> u16 {
        match self.warmth {
            Warmth::Cold => (self.bears / self.cold.divisor.max(1)).max(1),
            _ => self.bears,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shard: ShardIx(0),
            slots: 3,
            bears: 6,
            service: Duration::from_millis(5),
            spread: Spread::Uniform,
            stragglers: Stragglers::default(),
            tick: Duration::ZERO,
            slowness: 1.0,
            warmth: Warmth::Warm,
            cold: Cold::default(),
            sheds: false,
            crash: None,
            lots: 3,
            record: false,
            snapshots: (Snapshot(1), Snapshot(1)),
            map: MapRev(0),
            seed: 1,
        }
    }
}

/// What a searcher counted.
///
/// An arrival past what the searcher bears is a breach, unless the searcher
/// turned cold and the owner could not yet know: until the first reply,
/// refusal or lost connection after the turn has had time to reach the owner
/// and the owner's next call to come back. Those count as unknowable. A call
/// that ran past its deadline tells the owner nothing of warmth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls that arrived.
    pub arrived: u64,
    /// Calls that ran to their end.
    pub ran: u64,
    /// Calls refused.
    pub refused: u64,
    /// Arrivals past what the searcher bears.
    pub breaches: u64,
    /// Arrivals past what it bears that the owner could not know of.
    pub unknowable: u64,
    /// Restarts because it was pushed too far or crashed.
    pub falls: u64,
    /// Crashes by the request that crashes it.
    pub crashes: u64,
    /// Most calls that were there at once while it was not cold.
    pub peak: u16,
    /// Most calls that were there at once while it was cold, unknowable
    /// arrivals left out.
    pub cold_peak: u16,
}
