//! A searcher: slots, a queue, warmth, snapshots, and faults on demand. It
//! counts each time it was given more than it bears.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use heatherrun_kernel::message::{
    CallError, CallResult, Failure, Lot, TargetCall, TargetReply, TargetReport, Warmth,
};
use heatherrun_kernel::{MapRev, ShardIx, Snapshot};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Semaphore;

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
    /// Factor on the service time; tests change it to make the searcher slow.
    pub slowness: f64,
    /// Warmth.
    pub warmth: Warmth,
    /// Snapshots held, oldest and newest.
    pub snapshots: (Snapshot, Snapshot),
    /// Shard map; zero accepts any.
    pub map: MapRev,
    /// Seed of the service times.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shard: ShardIx(0),
            slots: 3,
            bears: 6,
            service: Duration::from_millis(5),
            slowness: 1.0,
            warmth: Warmth::Warm,
            snapshots: (Snapshot(1), Snapshot(1)),
            map: MapRev(0),
            seed: 1,
        }
    }
}

/// What a searcher counted.
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
    /// Most calls that were there at once.
    pub peak: u16,
}

struct State {
    settings: Settings,
    counts: Counts,
    here: u16,
    rng: SmallRng,
}

/// One searcher.
#[derive(Clone)]
pub struct Searcher {
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
}

impl Searcher {
    /// Searcher that behaves as `settings` say.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let slots = Arc::new(Semaphore::new(usize::from(settings.slots)));
        let state = State {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            counts: Counts::default(),
            here: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            slots,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What was counted so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Changes how the searcher behaves from now on.
    pub fn change(&self, change: impl FnOnce(&mut Settings)) {
        change(&mut self.lock().settings);
    }

    /// Load and state as the searcher reports them.
    #[must_use]
    pub fn report(&self) -> TargetReport {
        let state = self.lock();
        TargetReport {
            warmth: state.settings.warmth,
            busy: state.here,
            oldest: state.settings.snapshots.0,
            newest: state.settings.snapshots.1,
            map: state.settings.map,
        }
    }

    /// Runs one call.
    ///
    /// # Errors
    /// Refusals that did not run; see [`Failure`].
    pub async fn call(&self, call: TargetCall) -> CallResult {
        let service = self.arrive(&call).map_err(CallError::not_run)?;
        let here = Here { searcher: self };
        let slot = self.slots.acquire().await;
        tokio::time::sleep(service).await;
        drop(slot);
        drop(here);
        Ok(self.reply(&call))
    }

    fn arrive(&self, call: &TargetCall) -> Result<Duration, Failure> {
        let mut state = self.lock();
        state.counts.arrived += 1;
        let refusal = refusal(&state.settings, call);
        if let Some(failure) = refusal {
            state.counts.refused += 1;
            return Err(failure);
        }
        state.here += 1;
        state.counts.peak = state.counts.peak.max(state.here);
        let bears = match state.settings.warmth {
            Warmth::Cold => (state.settings.bears / 10).max(1),
            _ => state.settings.bears,
        };
        if state.here > bears {
            state.counts.breaches += 1;
        }
        let factor = state.rng.random_range(0.5..1.5) * state.settings.slowness;
        Ok(state.settings.service.mul_f64(factor))
    }

    fn reply(&self, call: &TargetCall) -> TargetReply {
        let report = self.report();
        let snapshot = match call.snapshot {
            Snapshot(0) => report.newest,
            pinned => pinned,
        };
        let text = String::from_utf8_lossy(&call.body).into_owned();
        let lot = |rank: u32| Lot {
            id: format!("s{}-{rank}", call.shard),
            score: f64::from(100 - rank) - f64::from(call.shard.0) / 1_000.0,
            text: text.clone(),
        };
        self.lock().counts.ran += 1;
        TargetReply {
            snapshot,
            map: call.map,
            lots: (0..3).map(lot).collect(),
            body: call.body.to_vec(),
            report,
        }
    }
}

fn refusal(settings: &Settings, call: &TargetCall) -> Option<Failure> {
    let (oldest, newest) = settings.snapshots;
    if settings.warmth == Warmth::Draining {
        return Some(Failure::Draining);
    }
    if settings.map != MapRev(0) && settings.map != call.map {
        return Some(Failure::MapChanged);
    }
    if call.snapshot != Snapshot(0) && !(oldest..=newest).contains(&call.snapshot) {
        return Some(Failure::SnapshotGone);
    }
    None
}

/// Counts a call as there until it is dropped, also when it is cancelled.
struct Here<'a> {
    searcher: &'a Searcher,
}

impl Drop for Here<'_> {
    fn drop(&mut self) {
        self.searcher.lock().here -= 1;
    }
}
