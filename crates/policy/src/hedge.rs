//! The delay after which a call is hedged, learned for each service and each
//! of its shards as a quantile of the latencies seen.

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use heatherrun_kernel::ShardIx;
use heatherrun_kernel::time::micros;

/// Calls, per thousand, that are answered within the delay.
const QUANTILE: u64 = 965;

/// Bounds of the delay.
const LEAST: Duration = Duration::from_millis(2);
const MOST: Duration = Duration::from_secs(1);

/// Longest delay of a shard, in per cent of that of its service. The service
/// sees many more calls and learns faster; a shard whose replica is slow
/// must not learn that this is usual.
const SHARD_PERCENT: u64 = 130;

/// Step of the estimate for one call, per thousand of it, once it is settled.
const STEP: u64 = 50;

/// Calls after which the step is that small.
const SETTLED: u32 = 64;

/// Estimate of one quantile, moved a little by each call.
#[derive(Debug, Default)]
pub struct Quantile {
    micros: AtomicU64,
    calls: AtomicU32,
}

impl Quantile {
    /// The estimate in microseconds; zero while nothing is learned.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.micros.load(Ordering::Relaxed)
    }

    /// Notes the latency of a call in microseconds.
    pub fn note(&self, took: u64) {
        let calls = self.calls.load(Ordering::Relaxed);
        if calls < SETTLED {
            self.calls.store(calls + 1, Ordering::Relaxed);
        }
        let old = self.micros.load(Ordering::Relaxed);
        if old == 0 {
            self.micros.store(took.max(1) * 2, Ordering::Relaxed);
            return;
        }
        let step = STEP.max(u64::from(SETTLED - calls.min(SETTLED)) * 4);
        let new = if took > old {
            old + (old * step * QUANTILE / 1_000_000).max(1)
        } else {
            old - old * step * (1_000 - QUANTILE) / 1_000_000
        };
        self.micros.store(new, Ordering::Relaxed);
    }
}

/// Learned delays of one service.
#[derive(Debug, Default)]
pub struct Hedges {
    service: Quantile,
    shards: Vec<Quantile>,
}

impl Hedges {
    /// Delays of a service with this many shards.
    #[must_use]
    pub fn new(shards: usize) -> Self {
        let mut made = Vec::new();
        made.resize_with(shards, Quantile::default);
        Self {
            service: Quantile::default(),
            shards: made,
        }
    }

    /// Shards for which delays are learned.
    #[must_use]
    pub const fn shards(&self) -> usize {
        self.shards.len()
    }

    /// Notes the latency of a call.
    pub fn note(&self, shard: ShardIx, took: Duration) {
        self.service.note(micros(took));
        if let Some(quantile) = self.shards.get(usize::from(shard.0)) {
            quantile.note(micros(took));
        }
    }

    /// Delay after which a call is hedged; `first` while nothing is learned.
    #[must_use]
    pub fn delay(&self, shard: ShardIx, first: Duration) -> Duration {
        let known = self.shards.get(usize::from(shard.0));
        let own = known.map_or(0, Quantile::get);
        if own == 0 {
            return first;
        }
        let bound = self.service.get() * SHARD_PERCENT / 100;
        Duration::from_micros(own.min(bound)).clamp(LEAST, MOST)
    }
}
