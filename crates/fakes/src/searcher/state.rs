//! State of a searcher: who is there, what it bears now, and its record.

use std::{
    collections::{BTreeMap, HashMap},
    f64::consts::TAU,
    sync::Arc,
    time::Duration,
};

use heatherrun_kernel::message::{Failure, TargetCall, Warmth};
use heatherrun_kernel::{Epoch, MapRev, Snapshot};
use rand::RngExt;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::settings::{Counts, Settings, Spread};

/// What a searcher did for one body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// Calls that began to run.
    pub started: u32,
    /// Snapshot and shard map of each call that ran to its end.
    pub ended: Vec<(Snapshot, MapRev)>,
}

pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) counts: Counts,
    pub(super) rng: SmallRng,
    pub(super) runs: HashMap<Arc<[u8]>, Runs>,
    /// Calls there, with the point at which each is dropped.
    here: BTreeMap<u64, Instant>,
    seq: u64,
    down: Option<Instant>,
    /// Calls run to their end since the last cold turn.
    warmed: u32,
    /// First sign of the last cold turn that left for the owner.
    told: Option<Instant>,
    epoch: Epoch,
}

impl State {
    pub(super) fn new(settings: Settings, rng: SmallRng) -> Self {
        Self {
            settings,
            counts: Counts::default(),
            rng,
            runs: HashMap::new(),
            here: BTreeMap::new(),
            seq: 0,
            down: None,
            warmed: 0,
            told: None,
            epoch: Epoch(0),
        }
    }

    pub(super) fn here(&self) -> u16 {
        u16::try_from(self.here.len()).unwrap_or(u16::MAX)
    }

    /// Takes a call in; returns its number, its service time, and whether
    /// it pushed the searcher over.
    pub(super) fn arrive(
        &mut self,
        now: Instant,
        call: &TargetCall,
    ) -> Result<(u64, Duration, bool), Failure> {
        self.counts.arrived += 1;
        self.here.retain(|_, end| *end > now);
        if let Some(failure) = self.refusal(now, call) {
            self.counts.refused += 1;
            return Err(failure);
        }
        self.epoch = self.epoch.max(call.epoch);
        let bears = self.settings.bears_now();
        let over = self.here() >= bears;
        self.count_arrival(now, over);
        if over && self.settings.sheds {
            self.counts.refused += 1;
            return Err(Failure::Busy);
        }
        self.seq += 1;
        self.here.insert(self.seq, now + call.time_left);
        let cold = self.settings.warmth == Warmth::Cold;
        let falls = over && cold && self.settings.cold.falls;
        Ok((self.seq, self.service_time(), falls))
    }

    fn count_arrival(&mut self, now: Instant, over: bool) {
        let there = self.here() + 1;
        if self.settings.warmth != Warmth::Cold {
            self.counts.peak = self.counts.peak.max(there);
            self.counts.breaches += u64::from(over);
            return;
        }
        if over && self.unknowable(now) {
            self.counts.unknowable += 1;
            return;
        }
        self.counts.breaches += u64::from(over);
        self.counts.cold_peak = self.counts.cold_peak.max(there);
    }

    fn unknowable(&self, now: Instant) -> bool {
        self.told
            .is_none_or(|told| now <= told + self.settings.cold.round)
    }

    fn refusal(&mut self, now: Instant, call: &TargetCall) -> Option<Failure> {
        if self.down.is_some_and(|end| now < end) {
            return Some(Failure::NoConnection);
        }
        self.down = None;
        let (oldest, newest) = self.settings.snapshots;
        if self.settings.warmth == Warmth::Draining {
            return Some(Failure::Draining);
        }
        if call.epoch < self.epoch {
            return Some(Failure::StaleEpoch);
        }
        let maps = (self.settings.map, call.map);
        if maps.0 != MapRev(0) && maps.1 != MapRev(0) && maps.0 != maps.1 {
            return Some(Failure::MapChanged);
        }
        if call.snapshot != Snapshot(0) && !(oldest..=newest).contains(&call.snapshot) {
            return Some(Failure::SnapshotGone);
        }
        None
    }

    /// Notes that a reply or refusal leaves for the owner.
    pub(super) fn tell(&mut self, now: Instant) {
        self.told.get_or_insert(now);
    }

    /// Removes a call that ended, was cancelled or lost.
    pub(super) fn leave(&mut self, number: u64) {
        self.here.remove(&number);
    }

    pub(super) fn begin(&mut self, body: &Arc<[u8]>) {
        if self.settings.record {
            self.runs.entry(Arc::clone(body)).or_default().started += 1;
        }
    }

    /// Whether `body` crashes the searcher, which counts it.
    pub(super) fn crashes(&mut self, body: &[u8]) -> bool {
        let crash = self.settings.crash.as_deref();
        let crashes = crash.is_some_and(|prefix| body.starts_with(prefix));
        self.counts.crashes += u64::from(crashes);
        crashes
    }

    pub(super) fn end(&mut self, call: &TargetCall, snapshot: Snapshot, map: MapRev) {
        self.counts.ran += 1;
        if self.settings.record {
            let runs = self.runs.entry(Arc::clone(&call.body)).or_default();
            runs.ended.push((snapshot, map));
        }
        self.warmed += 1;
        let after = self.settings.cold.warm_after;
        if self.settings.warmth == Warmth::Cold && after > 0 && self.warmed >= after {
            self.settings.warmth = Warmth::Warm;
        }
    }

    /// Turns cold without notice.
    pub(super) fn chill(&mut self) {
        self.settings.warmth = Warmth::Cold;
        self.warmed = 0;
        self.told = None;
    }

    /// Loses all calls there and is down for the time of a restart.
    pub(super) fn fall(&mut self, now: Instant) {
        self.chill();
        self.told = (!self.here.is_empty()).then_some(now);
        self.here.clear();
        self.counts.falls += 1;
        self.down = Some(now + self.settings.cold.restart);
    }

    fn service_time(&mut self) -> Duration {
        let mut factor = match self.settings.spread {
            Spread::Uniform => self.rng.random_range(0.5..1.5),
            Spread::Lognormal(sigma) => lognormal(&mut self.rng, sigma),
        };
        factor *= self.settings.slowness;
        if self.settings.warmth == Warmth::Cold {
            factor *= self.settings.cold.slowness;
        }
        let stragglers = self.settings.stragglers;
        if self.rng.random_range(0.0..1.0) < stragglers.share {
            factor *= stragglers.factor;
        }
        let drawn = self.settings.service.mul_f64(factor);
        whole(&mut self.rng, drawn, self.settings.tick)
    }
}

/// A lognormal factor of mean 1.
fn lognormal(rng: &mut SmallRng, sigma: f64) -> f64 {
    let radius: f64 = rng.random_range(f64::EPSILON..1.0);
    let angle: f64 = rng.random_range(0.0..TAU);
    let normal = (-2.0 * radius.ln()).sqrt() * angle.cos();
    (sigma * normal - sigma * sigma / 2.0).exp()
}

/// Rounds `span` to a multiple of `tick`, up or down at random so that the
/// mean stays.
pub fn whole(rng: &mut SmallRng, span: Duration, tick: Duration) -> Duration {
    if tick.is_zero() {
        return span;
    }
    let ticks = span.div_duration_f64(tick);
    let up = rng.random_range(0.0..1.0) < ticks.fract();
    tick.mul_f64(ticks.floor() + f64::from(u8::from(up)))
}
