//! Counts on a node what each request came to. Counting takes no lock:
//! sheets and causes are found by read-copy-update, counts are atomics; once
//! in a minute one request moves them into the history.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use heatherrun_kernel::view::Service;
use heatherrun_kernel::{ServiceId, Time};
use heatherrun_schema::v1;

use crate::history::{BUCKET_SECS, Counts, History};
use crate::objective::Objective;
use crate::window::{self, WINDOWS};

/// Time over which causes are counted, in seconds.
pub const CAUSE_SECS: u64 = window::BUDGET_SECS;

/// Minutes of one bucket of causes.
const CAUSE_MINUTES: u64 = 30;

/// Causes told apart for one service; what comes later counts as
/// [`OTHER_CAUSE`].
const MOST_CAUSES: usize = 256;

/// Name of the causes that are not told apart.
pub const OTHER_CAUSE: &str = "other";

/// Length of one span of a series, in seconds.
pub const SERIES_SECS: u64 = 300;

/// Spans of a series: one day.
pub const SERIES_SPANS: usize = 288;

/// What one request came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It was answered.
    Answered {
        /// Time from its admission to its answer.
        took: Duration,
        /// True when every shard was reached.
        whole: bool,
    },
    /// It was refused.
    Refused,
}

/// What a bad event is blamed on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Blame {
    /// Objective that was missed.
    pub objective: Objective,
    /// Failure domain of the target; empty when none is to blame.
    pub domain: String,
    /// Target; empty when none is to blame.
    pub target: String,
    /// Cause.
    pub cause: String,
}

/// Counts of one objective in the present minute: the good ones in the upper
/// half, all in the lower half, so that both move at once.
#[derive(Debug, Default)]
struct Live(AtomicU64);

/// Bits of the lower half.
const HALF: u32 = 32;

impl Live {
    fn add(&self, good: bool) {
        let both = u64::from(good) << HALF | 1;
        self.0.fetch_add(both, Ordering::Relaxed);
    }

    fn read(&self) -> Counts {
        split(self.0.load(Ordering::Relaxed))
    }

    fn take(&self) -> Counts {
        split(self.0.swap(0, Ordering::Relaxed))
    }
}

const fn split(both: u64) -> Counts {
    Counts {
        good: both >> HALF,
        total: both & (u32::MAX as u64),
    }
}

/// Counts of one service.
#[derive(Debug)]
struct Sheet {
    minute: AtomicU64,
    live: [Live; Objective::ALL.len()],
    causes: ArcSwap<HashMap<Blame, Arc<AtomicU64>>>,
    past: Mutex<Past>,
}

/// Counts of the minutes before the present one.
#[derive(Debug, Default)]
struct Past {
    counts: [History; Objective::ALL.len()],
    causes: HashMap<Blame, History>,
}

impl Sheet {
    fn new(minute: u64) -> Self {
        Self {
            minute: AtomicU64::new(minute),
            live: Default::default(),
            causes: ArcSwap::default(),
            past: Mutex::default(),
        }
    }

    fn past(&self) -> MutexGuard<'_, Past> {
        self.past.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Moves the counts of an earlier minute into the history. Of several
    /// callers in a new minute one does it.
    fn roll(&self, minute: u64) {
        let seen = self.minute.load(Ordering::Acquire);
        let order = (Ordering::AcqRel, Ordering::Relaxed);
        let won = seen < minute
            && self
                .minute
                .compare_exchange(seen, minute, order.0, order.1)
                .is_ok();
        if !won {
            return;
        }
        let mut past = self.past();
        for (live, history) in self.live.iter().zip(&mut past.counts) {
            history.add(seen, live.take());
        }
        for (blame, count) in self.causes.load().iter() {
            let total = count.swap(0, Ordering::Relaxed);
            if total > 0 {
                let history = past.causes.entry(blame.clone()).or_default();
                let bucket = seen - seen % CAUSE_MINUTES;
                history.add(bucket, Counts { good: 0, total });
            }
        }
        self.forget_causes(&mut past, minute);
    }

    /// Drops causes that were not seen for the time they are counted over.
    fn forget_causes(&self, past: &mut Past, minute: u64) {
        let before = past.causes.len();
        past.causes
            .retain(|_, history| history.window(minute, CAUSE_SECS).total > 0);
        if past.causes.len() == before {
            return;
        }
        let kept = |blame: &Blame, count: &AtomicU64| {
            past.causes.contains_key(blame) || count.load(Ordering::Relaxed) > 0
        };
        self.causes.rcu(|causes| {
            let mut next = HashMap::clone(causes);
            next.retain(|blame, count| kept(blame, count));
            next
        });
    }

    fn blame(&self, blame: Blame) {
        if let Some(count) = self.causes.load().get(&blame) {
            count.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let full = self.causes.load().len() >= MOST_CAUSES;
        let key = if full { other(blame.objective) } else { blame };
        let made = Arc::new(AtomicU64::new(0));
        self.causes.rcu(|causes| {
            let mut next = HashMap::clone(causes);
            next.entry(key.clone()).or_insert_with(|| Arc::clone(&made));
            next
        });
        if let Some(count) = self.causes.load().get(&key) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts of one objective, those of the present minute included.
    fn history(&self, objective: Objective, minute: u64) -> History {
        let ix = objective as usize;
        let mut history = self.past().counts[ix].clone();
        history.add(minute, self.live[ix].read());
        history
    }

    fn blames(&self, minute: u64) -> Vec<v1::BurnCause> {
        let mut counts: HashMap<Blame, u64> = HashMap::new();
        for (blame, history) in &self.past().causes {
            counts.insert(blame.clone(), history.window(minute, CAUSE_SECS).total);
        }
        for (blame, live) in self.causes.load().iter() {
            *counts.entry(blame.clone()).or_default() += live.load(Ordering::Relaxed);
        }
        let mut sorted: Vec<_> = counts.into_iter().filter(|(_, n)| *n > 0).collect();
        sorted.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        let cause = |(blame, count): (Blame, u64)| v1::BurnCause {
            objective: blame.objective.name().to_owned(),
            domain: blame.domain,
            target: blame.target,
            cause: blame.cause,
            count,
            window_secs: CAUSE_SECS,
        };
        sorted.into_iter().map(cause).collect()
    }
}

fn other(objective: Objective) -> Blame {
    Blame {
        objective,
        domain: String::new(),
        target: String::new(),
        cause: OTHER_CAUSE.to_owned(),
    }
}

const fn minute(now: Time) -> u64 {
    now.0 / (BUCKET_SECS * 1_000_000)
}

/// Counts of all services of one node since its start.
#[derive(Debug, Default)]
pub struct Recorder {
    sheets: ArcSwap<HashMap<ServiceId, Arc<Sheet>>>,
}

impl Recorder {
    fn sheet(&self, service: ServiceId, minute: u64) -> Arc<Sheet> {
        if let Some(sheet) = self.sheets.load().get(&service) {
            sheet.roll(minute);
            return Arc::clone(sheet);
        }
        let made = Arc::new(Sheet::new(minute));
        self.sheets.rcu(|sheets| {
            let mut next = HashMap::clone(sheets);
            next.entry(service).or_insert_with(|| Arc::clone(&made));
            next
        });
        self.sheets.load().get(&service).map_or(made, Arc::clone)
    }

    /// Counts one request of `service` that came to `event`.
    pub fn record(&self, now: Time, service: &Service, event: Event) {
        let sheet = self.sheet(service.id, minute(now));
        let live = |objective: Objective| &sheet.live[objective as usize];
        let Event::Answered { took, whole } = event else {
            live(Objective::Served).add(false);
            return;
        };
        live(Objective::Served).add(true);
        if service.sharded {
            live(Objective::Coverage).add(whole);
        }
        if service.objectives.latency_ppm > 0 {
            live(Objective::Latency).add(within(took, &service.objectives));
        }
    }

    /// Counts what a bad event is blamed on, when its objective is declared.
    pub fn blame(&self, now: Time, service: &Service, blame: Blame) {
        if blame.objective.target_ppm(&service.objectives) > 0 {
            self.sheet(service.id, minute(now)).blame(blame);
        }
    }

    /// Burn of one service; a node covers no more than the time since its
    /// clock started.
    #[must_use]
    pub fn burn(&self, now: Time, service: &Service) -> v1::ServiceBurn {
        let minute = minute(now);
        let sheet = self.sheet(service.id, minute);
        let covered = now.since(Time(0)).as_secs();
        let mut made = v1::ServiceBurn {
            service: service.name.clone(),
            causes: sheet.blames(minute),
            ..v1::ServiceBurn::default()
        };
        for objective in Objective::ALL {
            let ppm = objective.target_ppm(&service.objectives);
            let counted = service.sharded || objective != Objective::Coverage;
            if ppm == 0 || !counted {
                continue;
            }
            let history = sheet.history(objective, minute);
            for secs in WINDOWS {
                let counts = history.window(minute, secs);
                made.windows
                    .push(window::burn(objective, ppm, secs, covered, counts));
            }
            made.series.push(series(objective, &history, minute));
        }
        made
    }
}

/// Whether an answer after `took` meets the latency bound.
#[must_use]
pub fn within(took: Duration, objectives: &v1::Objectives) -> bool {
    took <= Duration::from_millis(u64::from(objectives.latency_ms))
}

fn series(objective: Objective, history: &History, minute: u64) -> v1::BurnSeries {
    let spans = history.series(minute, SERIES_SECS, SERIES_SPANS);
    v1::BurnSeries {
        objective: objective.name().to_owned(),
        bucket_secs: SERIES_SECS,
        good: spans.iter().map(|c| c.good).collect(),
        total: spans.iter().map(|c| c.total).collect(),
    }
}
