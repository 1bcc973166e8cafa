//! Counts the outcome of each request on a node. Counting takes no lock: the
//! maps of services and causes are updated by read-copy-update, and the counts
//! are atomics. Once a minute, one request moves the counts into the history.

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

/// Window over which causes are counted, in seconds.
pub const CAUSE_SECS: u64 = window::BUDGET_SECS;

/// Length of one bucket in the history of a cause, in minutes.
const CAUSE_BUCKET_MINUTES: u64 = 30;

/// Maximum number of distinct causes of one service; further ones are counted
/// as [`OTHER_CAUSE`].
const MAX_CAUSES: usize = 256;

/// Name under which causes are counted together once a service has the
/// maximum number of distinct ones.
pub const OTHER_CAUSE: &str = "other";

/// Length of one span of a series, in seconds.
pub const SERIES_SECS: u64 = 300;

/// Number of spans of a series: one day.
pub const SERIES_SPANS: usize = 288;

/// Outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request was answered.
    Answered {
        /// Time from its admission to its answer.
        took: Duration,
        /// Whether the answer covers every shard.
        whole: bool,
    },
    /// The request was refused.
    Refused,
}

/// What a bad event is attributed to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Blame {
    /// Objective that was missed.
    pub objective: Objective,
    /// Failure domain of the target; empty when no target caused the event.
    pub domain: String,
    /// Target that caused the event; empty when none did.
    pub target: String,
    /// Name of the cause, such as `straggler`.
    pub cause: String,
}

/// Counts of one objective in the current minute: good events in the upper 32
/// bits, all events in the lower 32, so that both change in one atomic step.
#[derive(Debug, Default)]
struct MinuteCounter(AtomicU64);

/// Width of the lower half, which counts all events.
const TOTAL_BITS: u32 = 32;

impl MinuteCounter {
    fn add(&self, good: bool) {
        let packed = u64::from(good) << TOTAL_BITS | 1;
        self.0.fetch_add(packed, Ordering::Relaxed);
    }

    fn read(&self) -> Counts {
        unpack_counts(self.0.load(Ordering::Relaxed))
    }

    fn read_and_reset(&self) -> Counts {
        unpack_counts(self.0.swap(0, Ordering::Relaxed))
    }
}

const fn unpack_counts(packed: u64) -> Counts {
    Counts {
        good: packed >> TOTAL_BITS,
        total: packed & (u32::MAX as u64),
    }
}

/// Counters of one service. `minute` is the minute that `live` and `causes`
/// count; earlier minutes are in `past`.
#[derive(Debug)]
struct ServiceCounters {
    minute: AtomicU64,
    live: [MinuteCounter; Objective::ALL.len()],
    causes: ArcSwap<HashMap<Blame, Arc<AtomicU64>>>,
    past: Mutex<PastCounts>,
}

/// Counts of the minutes before the current one.
#[derive(Debug, Default)]
struct PastCounts {
    counts: [History; Objective::ALL.len()],
    causes: HashMap<Blame, History>,
}

impl ServiceCounters {
    fn new(minute: u64) -> Self {
        Self {
            minute: AtomicU64::new(minute),
            live: Default::default(),
            causes: ArcSwap::default(),
            past: Mutex::default(),
        }
    }

    fn past(&self) -> MutexGuard<'_, PastCounts> {
        self.past.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Moves the counts of an earlier minute into the history. Of several
    /// concurrent callers in a new minute, only one does so.
    fn start_minute(&self, minute: u64) {
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
            history.add(seen, live.read_and_reset());
        }
        for (blame, count) in self.causes.load().iter() {
            let total = count.swap(0, Ordering::Relaxed);
            if total > 0 {
                let history = past.causes.entry(blame.clone()).or_default();
                let bucket = seen - seen % CAUSE_BUCKET_MINUTES;
                history.add(bucket, Counts { good: 0, total });
            }
        }
        self.remove_expired_causes(&mut past, minute);
    }

    /// Removes causes without events in the last [`CAUSE_SECS`].
    fn remove_expired_causes(&self, past: &mut PastCounts, minute: u64) {
        let before = past.causes.len();
        past.causes
            .retain(|_, history| history.window(minute, CAUSE_SECS).total > 0);
        if past.causes.len() == before {
            return;
        }
        let is_kept = |blame: &Blame, count: &AtomicU64| {
            past.causes.contains_key(blame) || count.load(Ordering::Relaxed) > 0
        };
        self.causes.rcu(|causes| {
            let mut next = HashMap::clone(causes);
            next.retain(|blame, count| is_kept(blame, count));
            next
        });
    }

    /// Counts one bad event; a new cause counts as [`OTHER_CAUSE`] when the
    /// service already has [`MAX_CAUSES`].
    fn count_cause(&self, blame: Blame) {
        if let Some(count) = self.causes.load().get(&blame) {
            count.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let full = self.causes.load().len() >= MAX_CAUSES;
        let key = if full {
            other_cause(blame.objective)
        } else {
            blame
        };
        let new_count = Arc::new(AtomicU64::new(0));
        self.causes.rcu(|causes| {
            let mut next = HashMap::clone(causes);
            next.entry(key.clone())
                .or_insert_with(|| Arc::clone(&new_count));
            next
        });
        if let Some(count) = self.causes.load().get(&key) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts of one objective, including those of the current minute.
    fn history(&self, objective: Objective, minute: u64) -> History {
        let ix = objective as usize;
        let mut history = self.past().counts[ix].clone();
        history.add(minute, self.live[ix].read());
        history
    }

    /// Causes with their counts, the most frequent first.
    fn burn_causes(&self, minute: u64) -> Vec<v1::BurnCause> {
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

fn other_cause(objective: Objective) -> Blame {
    Blame {
        objective,
        domain: String::new(),
        target: String::new(),
        cause: OTHER_CAUSE.to_owned(),
    }
}

/// Number of the minute of `now` on the node's clock.
const fn minute_of(now: Time) -> u64 {
    now.0 / (BUCKET_SECS * 1_000_000)
}

/// Counts events of all services on one node since its start.
#[derive(Debug, Default)]
pub struct Recorder {
    services: ArcSwap<HashMap<ServiceId, Arc<ServiceCounters>>>,
}

impl Recorder {
    /// Counters of a service, created on its first event and moved on to
    /// `minute`.
    fn counters(&self, service: ServiceId, minute: u64) -> Arc<ServiceCounters> {
        if let Some(counters) = self.services.load().get(&service) {
            counters.start_minute(minute);
            return Arc::clone(counters);
        }
        let new_counters = Arc::new(ServiceCounters::new(minute));
        self.services.rcu(|services| {
            let mut next = HashMap::clone(services);
            next.entry(service)
                .or_insert_with(|| Arc::clone(&new_counters));
            next
        });
        self.services
            .load()
            .get(&service)
            .map_or(new_counters, Arc::clone)
    }

    /// Counts one request of `service` with its outcome.
    pub fn record(&self, now: Time, service: &Service, event: Event) {
        let counters = self.counters(service.id, minute_of(now));
        let live = |objective: Objective| &counters.live[objective as usize];
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

    /// Counts the cause of a bad event, if its objective is declared.
    pub fn blame(&self, now: Time, service: &Service, blame: Blame) {
        if blame.objective.target_ppm(&service.objectives) > 0 {
            self.counters(service.id, minute_of(now)).count_cause(blame);
        }
    }

    /// Burn of one service; the time covered is at most the time since the
    /// node's clock started.
    #[must_use]
    pub fn burn(&self, now: Time, service: &Service) -> v1::ServiceBurn {
        let minute = minute_of(now);
        let counters = self.counters(service.id, minute);
        let covered = now.since(Time(0)).as_secs();
        let mut burn = v1::ServiceBurn {
            service: service.name.clone(),
            causes: counters.burn_causes(minute),
            ..v1::ServiceBurn::default()
        };
        for objective in Objective::ALL {
            let ppm = objective.target_ppm(&service.objectives);
            let applies = service.sharded || objective != Objective::Coverage;
            if ppm == 0 || !applies {
                continue;
            }
            let history = counters.history(objective, minute);
            for secs in WINDOWS {
                let counts = history.window(minute, secs);
                burn.windows
                    .push(window::burn(objective, ppm, secs, covered, counts));
            }
            burn.series.push(series(objective, &history, minute));
        }
        burn
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
