//! What each team and class of requests has been given of a destination.

use std::{collections::HashMap, time::Duration};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;

/// Half-life of the counts: long enough for a class with a request per second,
/// short enough that what a class got before an overload does not withhold its
/// guaranteed starts for long (with 2 s it fell below them over 8 s).
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Share of the start rate of all classes below which a class is behind. A class
/// is guaranteed a quarter; the difference covers the delay of the counts.
const BEHIND_SHARE: f64 = 0.3;

/// Count below which a class or a team is forgotten.
const MIN_COUNT: f64 = 0.01;

/// Steps of use per whole allowance. Within a step the time left decides.
const USE_STEPS: f64 = 4.0;

/// Requests that are served alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// Team of the caller, if known.
    pub team: Option<Name>,
    /// Priority; 0 is the highest.
    pub priority: u8,
}

/// A count that decays with time.
#[derive(Clone, Copy, Debug, Default)]
struct Decayed {
    count: f64,
    at: Time,
}

impl Decayed {
    fn get(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.count * (-age).exp2()
    }

    fn increment(&mut self, now: Time) {
        *self = Self {
            count: self.get(now) + 1.0,
            at: now,
        };
    }
}

/// Requests that arrived, and those among them that were started.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    arrived: Decayed,
    started: Decayed,
}

impl Counts {
    fn start_share(&self, now: Time) -> f64 {
        self.started.get(now) / self.arrived.get(now).max(MIN_COUNT)
    }
}

/// Counts by class and by team.
#[derive(Debug, Default)]
pub struct Fairness {
    all: Counts,
    classes: HashMap<Class, Counts>,
    /// Started requests.
    teams: HashMap<Name, Decayed>,
}

impl Fairness {
    /// Records a request that arrived.
    pub fn record_arrival(&mut self, now: Time, class: &Class) {
        self.all.arrived.increment(now);
        self.counts(class).arrived.increment(now);
    }

    /// Records a request that was started.
    pub fn record_start(&mut self, now: Time, class: &Class) {
        self.all.started.increment(now);
        self.counts(class).started.increment(now);
        let Some(team) = &class.team else {
            return;
        };
        if let Some(started) = self.teams.get_mut(team) {
            started.increment(now);
            return;
        }
        let mut started = Decayed::default();
        started.increment(now);
        self.teams.insert(Name::clone(team), started);
    }

    fn counts(&mut self, class: &Class) -> &mut Counts {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.clone(), Counts::default());
        }
        self.classes.entry(class.clone()).or_default()
    }

    /// Share of the requests of a class that were started, if the class is behind
    /// what it is guaranteed.
    #[must_use]
    pub fn behind_share(&self, now: Time, class: &Class) -> Option<f64> {
        let share = self.classes.get(class)?.start_share(now);
        (share < self.all.start_share(now) * BEHIND_SHARE).then_some(share)
    }

    /// Use of a team in steps: the rate of its starts against `allowance`
    /// (requests per second at this node) or, without one, against the mean of
    /// the teams.
    #[must_use]
    pub fn usage(&self, now: Time, team: Option<&Name>, allowance: Option<f64>) -> u32 {
        let Some(started) = team.and_then(|t| self.teams.get(t)) else {
            return 0;
        };
        let count = started.get(now);
        let usual = match allowance.filter(|a| *a > 0.0) {
            Some(per_sec) => per_sec * HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2,
            None => self.mean_count(now),
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative; the cast saturates"
        )]
        let steps = (count / usual.max(MIN_COUNT) * USE_STEPS) as u32;
        steps
    }

    fn mean_count(&self, now: Time) -> f64 {
        let teams = u32::try_from(self.teams.len()).unwrap_or(u32::MAX);
        let total: f64 = self.teams.values().map(|t| t.get(now)).sum();
        total / f64::from(teams.max(1))
    }

    /// Forgets classes and teams without recent requests.
    pub fn prune(&mut self, now: Time) {
        self.classes.retain(|_, c| c.arrived.get(now) >= MIN_COUNT);
        self.teams.retain(|_, t| t.get(now) >= MIN_COUNT);
    }
}
