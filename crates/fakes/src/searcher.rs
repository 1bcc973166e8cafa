//! A searcher: slots, a queue, warmth, snapshots, and faults on demand. It
//! counts each time it was given more than it bears.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use heatherrun_kernel::message::{CallError, CallResult, Failure, Lot, TargetCall};
use heatherrun_kernel::message::{TargetReply, TargetReport, Warmth};
use heatherrun_kernel::{MapRev, Snapshot};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

mod settings;
mod state;

pub use settings::{Cold, Counts, Settings, Spread, Stragglers};
pub use state::{Runs, whole};

use state::State;

/// One searcher.
#[derive(Clone)]
pub struct Searcher {
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    /// Tells all calls there that they are lost, in the order of arrival.
    lost: Arc<Notify>,
}

impl Searcher {
    /// Searcher that behaves as `settings` say.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let slots = Arc::new(Semaphore::new(usize::from(settings.slots)));
        let rng = SmallRng::seed_from_u64(settings.seed);
        Self {
            state: Arc::new(Mutex::new(State::new(settings, rng))),
            slots,
            lost: Arc::default(),
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

    /// Settings as they stand.
    #[must_use]
    pub fn settings(&self) -> Settings {
        self.lock().settings.clone()
    }

    /// What was run for `body`; needs [`Settings::record`].
    #[must_use]
    pub fn runs(&self, body: &[u8]) -> Runs {
        self.lock().runs.get(body).cloned().unwrap_or_default()
    }

    /// Changes how the searcher behaves from now on.
    pub fn change(&self, change: impl FnOnce(&mut Settings)) {
        change(&mut self.lock().settings);
    }

    /// Turns cold without notice and without losing a call.
    pub fn chill(&self) {
        self.lock().chill();
    }

    /// Loses all calls, is down for a while, and comes back cold.
    pub fn restart(&self) {
        self.lock().fall(Instant::now());
        self.lost.notify_waiters();
    }

    /// Load and state as the searcher reports them.
    #[must_use]
    pub fn report(&self) -> TargetReport {
        let state = self.lock();
        TargetReport {
            warmth: state.settings.warmth,
            busy: state.here(),
            oldest: state.settings.snapshots.0,
            newest: state.settings.snapshots.1,
            map: state.settings.map,
        }
    }

    /// Runs one call. Dropping the future cancels it.
    ///
    /// # Errors
    /// Refusals that did not run, lost connections and deadlines that pass;
    /// see [`Failure`].
    pub async fn call(&self, call: TargetCall) -> CallResult {
        let lost = self.lost.notified();
        tokio::pin!(lost);
        lost.as_mut().enable();
        let now = Instant::now();
        let arrived = self.lock().arrive(now, &call);
        let (number, service, falls) = arrived.map_err(|failure| self.refuse(failure))?;
        let here = Here {
            searcher: self,
            number,
        };
        if falls {
            self.restart();
        }
        let end = now + call.time_left;
        let result = tokio::select! {
            biased;
            () = lost => Err(CallError::unknown(Failure::ConnectionLost)),
            result = self.work(&call, service, end) => result,
        };
        drop(here);
        result
    }

    fn refuse(&self, failure: Failure) -> CallError {
        self.lock().tell(Instant::now());
        CallError::not_run(failure)
    }

    async fn work(
        &self,
        call: &TargetCall,
        service: std::time::Duration,
        end: Instant,
    ) -> CallResult {
        let Ok(slot) = tokio::time::timeout_at(end, self.slots.acquire()).await else {
            return Err(self.refuse(Failure::Expired));
        };
        self.lock().begin(&call.body);
        if self.lock().crashes(&call.body) {
            self.restart();
            return Err(CallError::unknown(Failure::ConnectionLost));
        }
        let ran = tokio::time::timeout_at(end, tokio::time::sleep(service)).await;
        drop(slot);
        if ran.is_err() {
            return Err(CallError::unknown(Failure::TimedOut));
        }
        Ok(self.reply(call))
    }

    fn reply(&self, call: &TargetCall) -> TargetReply {
        let report = self.report();
        let snapshot = match call.snapshot {
            Snapshot(0) => report.newest,
            pinned => pinned,
        };
        let map = match report.map {
            MapRev(0) => call.map,
            own => own,
        };
        let lots = {
            let mut state = self.lock();
            state.end(call, snapshot, map);
            state.tell(Instant::now());
            state.settings.lots
        };
        let text = String::from_utf8_lossy(&call.body).into_owned();
        let lot = |rank: u32| Lot {
            id: format!("s{}-{rank}", call.shard),
            score: f64::from(100 - rank) - f64::from(call.shard.0) / 1_000.0,
            text: text.clone(),
        };
        TargetReply {
            snapshot,
            map,
            lots: (0..lots).map(lot).collect(),
            body: call.body.to_vec(),
            report: self.report(),
        }
    }

    /// Whether the searcher reports that it is cold.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.lock().settings.warmth == Warmth::Cold
    }
}

/// Counts a call as there until it is dropped, also when it is cancelled.
struct Here<'a> {
    searcher: &'a Searcher,
    number: u64,
}

impl Drop for Here<'_> {
    fn drop(&mut self) {
        self.searcher.lock().leave(self.number);
    }
}
