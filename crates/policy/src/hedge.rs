//! Hedge delays: the time after which a call that has no reply is sent to a
//! second replica. They are learned as a quantile of the observed latencies,
//! per service and per shard.

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use heatherrun_kernel::ShardIx;
use heatherrun_kernel::time::micros;

/// Quantile of the latencies that is estimated, per thousand: this share of
/// calls is answered within the delay.
const QUANTILE_PERMILLE: u64 = 965;

/// Bounds of the hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);
const MAX_HEDGE_DELAY: Duration = Duration::from_secs(1);

/// Maximum delay of a shard, in per cent of the delay of its service. The
/// service sees many more calls and its estimate converges sooner; without the
/// bound, a shard with a slow replica would learn that replica's latency as its
/// normal one.
const MAX_SHARD_PERCENT: u64 = 130;

/// Adjustment of the estimate per call, per thousand of the estimate, once it
/// has settled.
const MIN_STEP_PERMILLE: u64 = 50;

/// Number of calls after which the adjustment has shrunk to its minimum.
const SETTLED_CALLS: u32 = 64;

/// Running estimate of one quantile, adjusted by each call.
#[derive(Debug, Default)]
pub struct Quantile {
    estimate_us: AtomicU64,
    calls: AtomicU32,
}

impl Quantile {
    /// Returns the estimate in microseconds; zero while no latency was
    /// recorded.
    #[must_use]
    pub fn estimate_us(&self) -> u64 {
        self.estimate_us.load(Ordering::Relaxed)
    }

    /// Records the latency of a call in microseconds.
    pub fn record_latency(&self, latency_us: u64) {
        let calls = self.calls.load(Ordering::Relaxed);
        if calls < SETTLED_CALLS {
            self.calls.store(calls + 1, Ordering::Relaxed);
        }
        let old_us = self.estimate_us.load(Ordering::Relaxed);
        if old_us == 0 {
            self.estimate_us
                .store(latency_us.max(1) * 2, Ordering::Relaxed);
            return;
        }
        let step_permille =
            MIN_STEP_PERMILLE.max(u64::from(SETTLED_CALLS - calls.min(SETTLED_CALLS)) * 4);
        let new_us = if latency_us > old_us {
            old_us + (old_us * step_permille * QUANTILE_PERMILLE / 1_000_000).max(1)
        } else {
            old_us - old_us * step_permille * (1_000 - QUANTILE_PERMILLE) / 1_000_000
        };
        self.estimate_us.store(new_us, Ordering::Relaxed);
    }
}

/// Learned hedge delays of one service.
#[derive(Debug, Default)]
pub struct Hedges {
    service: Quantile,
    shards: Vec<Quantile>,
}

impl Hedges {
    /// Creates the delays of a service with this many shards.
    #[must_use]
    pub fn new(shards: usize) -> Self {
        let mut quantiles = Vec::new();
        quantiles.resize_with(shards, Quantile::default);
        Self {
            service: Quantile::default(),
            shards: quantiles,
        }
    }

    /// Number of shards for which delays are learned.
    #[must_use]
    pub const fn shards(&self) -> usize {
        self.shards.len()
    }

    /// Records the latency of a call.
    pub fn record_latency(&self, shard: ShardIx, latency: Duration) {
        self.service.record_latency(micros(latency));
        if let Some(quantile) = self.shards.get(usize::from(shard.0)) {
            quantile.record_latency(micros(latency));
        }
    }

    /// Hedge delay for a call to `shard`; `initial` while no latency of the
    /// shard is known.
    #[must_use]
    pub fn delay(&self, shard: ShardIx, initial: Duration) -> Duration {
        let quantile = self.shards.get(usize::from(shard.0));
        let own_us = quantile.map_or(0, Quantile::estimate_us);
        if own_us == 0 {
            return initial;
        }
        let max_us = self.service.estimate_us() * MAX_SHARD_PERCENT / 100;
        Duration::from_micros(own_us.min(max_us)).clamp(MIN_HEDGE_DELAY, MAX_HEDGE_DELAY)
    }
}
