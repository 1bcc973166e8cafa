//! Limit on the requests in progress at one destination, adapted to what its
//! targets complete in time.

use std::{collections::HashMap, time::Duration};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;

/// Limit at the start. A node below overload has fewer requests in progress; one
/// that has more raises the limit, unless its targets show load.
pub const INITIAL_LIMIT: f64 = 256.0;

/// Lowest limit: enough that each destination keeps being measured.
pub const MIN_LIMIT: f64 = 4.0;

/// Time over which evidence is collected.
pub const WINDOW: Duration = Duration::from_millis(250);

/// Longest time over which evidence is collected when there is little of it.
const MAX_WINDOW: Duration = Duration::from_secs(1);

/// Time without any event after which the limit is the initial one again.
const IDLE_RESET: Duration = Duration::from_secs(2);

/// Number of answers, and of calls to one service, that a window needs.
const MIN_SAMPLES: u32 = 4;

/// Share of the calls to one service that must show load.
const LOADED_SHARE: f64 = 0.2;

/// Share of calls that show load from which the limit grows slowly, and only
/// while answers keep their objective.
const NOTED_SHARE: f64 = 0.02;

/// Share of answers that may miss their objective for other reasons than load.
const MISSED_SHARE: f64 = 0.1;

/// Time to an answer, as a share of the objective, that the limit aims at. The
/// rest is for the wait before the start (a fifth) and for variation.
const AIMED_SHARE: f64 = 0.6;

/// Bounds of the factor of one reduction.
const MIN_CUT: f64 = 0.5;
const MAX_CUT: f64 = 0.9;

/// Reductions after which rejections must be fewer, by this factor. Otherwise the
/// targets reject for another reason than their load, and a lower limit only
/// withholds requests.
const TRIAL_CUTS: u32 = 4;
const TRIAL_FACTOR: f64 = 0.8;

/// Time for which such rejections are not acted on.
const DISTRUST_TIME: Duration = Duration::from_secs(5);

/// Range around the last limit that was too high, as factors. The limit grows
/// slowly there, since fast growth exceeded the capacity in every other window.
const CEILING_RANGE: std::ops::Range<f64> = 0.85..1.15;

/// Growth per window while the limit is reached: with loaded targets or in the
/// range of the ceiling, and otherwise.
const SLOW_GROWTH: f64 = 1.03;
const FREE_GROWTH: f64 = 1.2;

/// Growth per window while the limit is not reached. It restores a tenth of the
/// initial limit within 2 s, after which it no longer restrains the node.
const UNUSED_GROWTH: f64 = 1.35;

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// Whether it was answered in full within its objective.
    pub is_kept: bool,
    /// Time from its start to its end as a share of the objective.
    pub took_share: f64,
}

/// Evidence of one window.
#[derive(Debug, Default)]
struct Window {
    start: Time,
    /// Most requests in progress, and whether that reached the limit.
    peak: u32,
    was_full: bool,
    /// Requests that ended.
    ends: u32,
    /// Answers of requests that were started under the present limit.
    answers: u32,
    missed: u32,
    share_sum: f64,
    /// Calls by service, and those among them that show load.
    calls: HashMap<Name, (u32, u32)>,
}

impl Window {
    /// Highest share of calls to one service that show load: the scarcest one
    /// limits whole searches.
    fn loaded_share(&self) -> f64 {
        let counts = self.calls.values().filter(|(n, _)| *n >= MIN_SAMPLES);
        let shares = counts.map(|(calls, loaded)| f64::from(*loaded) / f64::from(*calls));
        shares.fold(0.0, f64::max)
    }

    fn is_loaded(&self) -> bool {
        self.loaded_share() >= LOADED_SHARE
    }

    fn is_missing(&self) -> bool {
        f64::from(self.missed) > f64::from(self.answers) * MISSED_SHARE
    }
}

/// Reductions because of requests that fail early, until it shows whether they
/// help.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Limit before the first one.
    value: f64,
    loaded_share: f64,
    cuts: u32,
}

/// Adaptive limit on requests in progress.
#[derive(Debug)]
pub struct Limit {
    value: f64,
    window: Window,
    /// Last event.
    last_at: Time,
    /// Time of the last reduction. Answers of earlier starts tell nothing of the
    /// present limit.
    cut_at: Time,
    /// Number of requests in progress that the last reduction found too high.
    ceiling: f64,
    /// Requests per second that ended in the last window; zero when unknown.
    end_rate: f64,
    trial: Option<Trial>,
    /// End of the [`DISTRUST_TIME`].
    distrust_until: Time,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            value: INITIAL_LIMIT,
            window: Window::default(),
            last_at: Time::default(),
            cut_at: Time::default(),
            ceiling: INITIAL_LIMIT,
            end_rate: 0.0,
            trial: None,
            distrust_until: Time::default(),
        }
    }
}

impl Limit {
    /// Requests that may be in progress.
    #[must_use]
    pub const fn value(&self) -> f64 {
        self.value
    }

    /// Requests per second that ended in the last window; zero when unknown.
    #[must_use]
    pub const fn end_rate(&self) -> f64 {
        self.end_rate
    }

    /// Whether one more request may start with `in_progress` others.
    pub fn has_room(&mut self, in_progress: u32) -> bool {
        let wanted = f64::from(in_progress) + 1.0;
        if wanted <= self.value {
            return true;
        }
        self.window.was_full = true;
        // Without evidence of load, many requests are no overload.
        if self.value < INITIAL_LIMIT || self.window.is_loaded() {
            return false;
        }
        self.value = wanted;
        true
    }

    /// Records that a request started, which makes `in_progress` of them.
    pub fn record_start(&mut self, in_progress: u32) {
        self.window.peak = self.window.peak.max(in_progress);
    }

    /// Records that a request started at `started` ended; no answer if its caller
    /// left.
    pub fn record_end(&mut self, started: Time, answer: Option<Answer>) {
        self.window.ends += 1;
        let Some(answer) = answer.filter(|_| started >= self.cut_at) else {
            return;
        };
        self.window.answers += 1;
        self.window.missed += u32::from(!answer.is_kept);
        self.window.share_sum += answer.took_share;
    }

    /// Records a call to a target of `service`. It is loaded if the target
    /// rejected it because it was full, or reported about one waiting call per
    /// slot.
    pub fn record_call(&mut self, service: &Name, is_loaded: bool) {
        if let Some((calls, loaded)) = self.window.calls.get_mut(service) {
            *calls += 1;
            *loaded += u32::from(is_loaded);
            return;
        }
        let counts = (1, u32::from(is_loaded));
        self.window.calls.insert(Name::clone(service), counts);
    }

    /// Evaluates the window if it has ended; true if it has.
    pub fn advance(&mut self, now: Time, in_progress: u32) -> bool {
        let idle = now.since(self.last_at);
        self.last_at = now;
        if idle >= IDLE_RESET && in_progress == 0 {
            *self = Self {
                window: Window {
                    start: now,
                    ..Window::default()
                },
                last_at: now,
                ..Self::default()
            };
            return true;
        }
        let length = now.since(self.window.start);
        if length < WINDOW || (self.window.answers < MIN_SAMPLES && length < MAX_WINDOW) {
            return false;
        }
        let next = Window {
            start: now,
            peak: in_progress,
            ..Window::default()
        };
        let window = std::mem::replace(&mut self.window, next);
        self.end_rate = f64::from(window.ends) / length.as_secs_f64();
        self.adapt(now, &window);
        true
    }

    fn cut(&mut self, now: Time, window: &Window, mean_share: f64) {
        if mean_share < AIMED_SHARE {
            let loaded_share = window.loaded_share();
            let first = Trial {
                value: self.value,
                loaded_share,
                cuts: 0,
            };
            let trial = self.trial.get_or_insert(first);
            if loaded_share < trial.loaded_share * TRIAL_FACTOR {
                *trial = first;
            }
            trial.cuts += 1;
            if trial.cuts > TRIAL_CUTS {
                self.value = trial.value;
                self.trial = None;
                self.distrust_until = now + DISTRUST_TIME;
                return;
            }
        }
        // At the same rate, the time to an answer is proportional to the number
        // of requests in progress.
        let factor = (AIMED_SHARE / mean_share).clamp(MIN_CUT, MAX_CUT);
        let used = self.value.min(f64::from(window.peak));
        self.ceiling = used;
        self.value = (used * factor).max(MIN_LIMIT);
        self.cut_at = now;
    }

    fn adapt(&mut self, now: Time, window: &Window) {
        let is_loaded = window.is_loaded();
        let mean_share = window.share_sum / f64::from(window.answers.max(1));
        if is_loaded && window.is_missing() {
            let is_early = mean_share < AIMED_SHARE;
            if window.answers >= MIN_SAMPLES && !(is_early && now < self.distrust_until) {
                self.cut(now, window, mean_share);
            }
            if is_early && now < self.distrust_until {
                self.value = self.value.max(f64::from(window.peak) * FREE_GROWTH);
            }
            return;
        }
        self.trial = None;
        if !window.was_full {
            let grown = (self.value * UNUSED_GROWTH).min(INITIAL_LIMIT);
            self.value = self.value.max(grown);
            return;
        }
        let is_close = CEILING_RANGE.contains(&(self.value / self.ceiling));
        let growth = if window.loaded_share() < NOTED_SHARE {
            if is_close { SLOW_GROWTH } else { FREE_GROWTH }
        } else if !window.is_missing() && mean_share < AIMED_SHARE {
            SLOW_GROWTH
        } else {
            return;
        };
        if window.answers > 0 {
            self.value = (self.value * growth).max(self.value + 1.0);
        }
    }
}
