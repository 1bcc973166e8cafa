//! Evidence about a version from all nodes: answers of the new and the old
//! version over the same time, by route.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use heatherrun_kernel::routes::Name;

/// Number of latency buckets. Their bounds grow by the square root of two from
/// 1 ms, the last one takes all above 4 s.
pub const BUCKETS: usize = 26;

/// Number of ticks that the recent evidence covers, 3 s of 250 ms each: a
/// version that turns bad shows within it, and few pauses of targets fall into
/// it.
pub const RECENT_TICKS: usize = 12;

/// Bucket of a latency.
#[must_use]
pub fn bucket(latency: Duration) -> usize {
    let millis = latency.as_secs_f64() * 1_000.0;
    let bound = |ix: usize| 2_f64.powf(f64::from(u32::try_from(ix).unwrap_or(u32::MAX)) / 2.0);
    let below = (0..BUCKETS - 1).find(|ix| millis < bound(*ix));
    below.unwrap_or(BUCKETS - 1)
}

/// Numbers of calls and answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls sent, including rejected ones.
    pub calls: u64,
    /// Answers that were failures.
    pub failures: u64,
    /// Other answers, by latency.
    pub latencies: [u64; BUCKETS],
}

impl Counts {
    /// Number of answers with a latency.
    #[must_use]
    pub fn timed(&self) -> u64 {
        self.latencies.iter().sum()
    }

    /// Number of all answers.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.timed() + self.failures
    }

    /// Bucket of the median latency; `None` without answers.
    #[must_use]
    pub fn median(&self) -> Option<usize> {
        let half = self.timed().div_ceil(2);
        let mut seen = 0;
        let buckets = self.latencies.iter();
        let mut sums = buckets.map(|n| {
            seen += n;
            seen
        });
        (half > 0).then(|| sums.position(|sum| sum >= half))?
    }

    /// Number of answers in this bucket or a slower one.
    #[must_use]
    pub fn from_bucket(&self, bucket: usize) -> u64 {
        self.latencies.iter().skip(bucket).sum()
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.failures += other.failures;
        for (sum, n) in self.latencies.iter_mut().zip(other.latencies) {
            *sum += n;
        }
    }

    /// Counts since `earlier`; all of them if a count fell, since the process
    /// that counts has restarted then.
    #[must_use]
    fn since(&self, earlier: &Self) -> Self {
        let latencies = self.latencies.iter().zip(earlier.latencies);
        let fell = self.calls < earlier.calls
            || self.failures < earlier.failures
            || latencies.clone().any(|(n, before)| *n < before);
        if fell {
            return self.clone();
        }
        let mut counts = Self {
            calls: self.calls - earlier.calls,
            failures: self.failures - earlier.failures,
            latencies: [0; BUCKETS],
        };
        for (sum, (n, before)) in counts.latencies.iter_mut().zip(latencies) {
            *sum = n - before;
        }
        counts
    }
}

/// Counts of one version on one route over time.
#[derive(Clone, Debug, Default)]
pub struct Series {
    /// All counts since the order.
    pub total: Counts,
    /// Counts of the latest ticks, oldest first; the last one is incomplete.
    pub ticks: VecDeque<Counts>,
}

impl Series {
    /// Counts of the latest ticks together.
    #[must_use]
    pub fn recent(&self) -> Counts {
        let mut sum = Counts::default();
        self.ticks.iter().for_each(|tick| sum.add(tick));
        sum
    }

    fn add(&mut self, counts: &Counts) {
        self.total.add(counts);
        if let Some(tick) = self.ticks.back_mut() {
            tick.add(counts);
        } else {
            self.ticks.push_back(counts.clone());
        }
    }

    fn end_tick(&mut self) {
        self.ticks.push_back(Counts::default());
        if self.ticks.len() > RECENT_TICKS {
            self.ticks.pop_front();
        }
    }
}

/// Counts of both versions on one route.
#[derive(Clone, Debug, Default)]
pub struct RouteEvidence {
    /// The ordered version.
    pub new: Series,
    /// All other versions.
    pub old: Series,
}

/// Key of one node's counts: route, and whether they are of the new version.
type SampleKey = (Name, bool);

/// Evidence about one order.
#[derive(Debug, Default)]
pub struct Evidence {
    routes: BTreeMap<Name, RouteEvidence>,
    /// What each node last reported.
    reported: HashMap<Name, HashMap<SampleKey, Counts>>,
}

impl Evidence {
    /// Adds what a node counted on a route since its process started.
    pub fn report(&mut self, node: &Name, route: &Name, is_new: bool, counts: Counts) {
        let known = self.reported.entry(Name::clone(node)).or_default();
        let last = known.entry((Name::clone(route), is_new)).or_default();
        let added = counts.since(last);
        *last = counts;
        let route = self.routes.entry(Name::clone(route)).or_default();
        let series = if is_new {
            &mut route.new
        } else {
            &mut route.old
        };
        series.add(&added);
    }

    /// Ends one tick of the recent evidence.
    pub fn end_tick(&mut self) {
        for route in self.routes.values_mut() {
            route.new.end_tick();
            route.old.end_tick();
        }
    }

    /// Evidence by route.
    pub fn routes(&self) -> impl Iterator<Item = (&Name, &RouteEvidence)> {
        self.routes.iter()
    }

    /// Number of answers of the new version.
    #[must_use]
    pub fn new_answers(&self) -> u64 {
        let routes = self.routes.values();
        routes.map(|route| route.new.total.answers()).sum()
    }
}
