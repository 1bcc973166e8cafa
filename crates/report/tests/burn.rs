//! Burn counted, turned into rates, merged and judged.

use std::sync::Barrier;
use std::time::Duration;

use heatherrun_kernel::registry::{self, PluginKind};
use heatherrun_kernel::view::Service;
use heatherrun_kernel::{MapRev, ServiceId, Time};
use heatherrun_report::alert::alerts;
use heatherrun_report::history::{BUCKETS, Counts, History};
use heatherrun_report::recorder::{CAUSE_SECS, OTHER_CAUSE};
use heatherrun_report::{Blame, Event, Objective, Recorder, merge, units, window};
use heatherrun_schema::v1;
use proptest::prelude::*;

fn service(sharded: bool) -> Service {
    Service {
        id: ServiceId::from_name("buyer-desk"),
        name: "buyer-desk".to_owned(),
        sharded,
        shards: Vec::new(),
        map: MapRev(1),
        limits: v1::Limits::default(),
        objectives: v1::Objectives {
            latency_ms: 110,
            latency_ppm: 990_000,
            coverage_ppm: 999_000,
            served_ppm: 999_000,
        },
    }
}

const fn at_minute(minute: u64) -> Time {
    Time::from_millis(minute * 60_000)
}

fn answered(millis: u64, whole: bool) -> Event {
    let took = Duration::from_millis(millis);
    Event::Answered { took, whole }
}

fn blame(target: &str) -> Blame {
    Blame {
        objective: Objective::Latency,
        domain: "ticino".to_owned(),
        target: target.to_owned(),
        cause: "straggler".to_owned(),
    }
}

fn find<'a>(burn: &'a v1::ServiceBurn, objective: &str, secs: u64) -> &'a v1::BurnWindow {
    let same = |w: &&v1::BurnWindow| w.objective == objective && w.window_secs == secs;
    burn.windows.iter().find(same).unwrap()
}

/// 100 requests in one minute, `slow` of them late.
fn minute(recorder: &Recorder, minute: u64, slow: u64) {
    for n in 0..100 {
        let millis = if n < slow { 111 } else { 110 };
        recorder.record(at_minute(minute), &service(true), answered(millis, true));
    }
}

#[test]
fn record_counts_each_objective() {
    let recorder = Recorder::default();
    let service = service(true);
    let now = at_minute(3);
    recorder.record(now, &service, answered(110, true));
    recorder.record(now, &service, answered(111, false));
    recorder.record(now, &service, Event::Refused);
    let burn = recorder.burn(now, &service);
    let counts = |objective| {
        let window = find(&burn, objective, 300);
        (window.good, window.total)
    };
    assert_eq!(counts("latency"), (1, 2));
    assert_eq!(counts("coverage"), (1, 2));
    assert_eq!(counts("served"), (2, 3));
}

#[test]
fn record_pooled_has_no_coverage() {
    let recorder = Recorder::default();
    recorder.record(at_minute(0), &service(false), answered(1, true));
    let burn = recorder.burn(at_minute(0), &service(false));
    assert!(burn.windows.iter().all(|w| w.objective != "coverage"));
}

#[test]
fn burn_undeclared_objective_is_absent() {
    let mut service = service(true);
    service.objectives = v1::Objectives::default();
    let recorder = Recorder::default();
    recorder.record(at_minute(0), &service, answered(1, true));
    recorder.blame(at_minute(0), &service, blame("a"));
    let burn = recorder.burn(at_minute(0), &service);
    assert_eq!((burn.windows, burn.causes), (Vec::new(), Vec::new()));
    service.objectives.latency_ppm = 990_000;
    let burn = recorder.burn(at_minute(0), &service);
    assert_eq!(find(&burn, "latency", 300).total, 0, "late by no bound");
}

#[test]
fn burn_rate_is_share_over_allowed() {
    let counts = |good| Counts { good, total: 1_000 };
    for (good, ppm, rate) in [
        (1_000, 990_000, 0.0),
        (990, 990_000, 1.0),
        (856, 990_000, 14.4),
    ] {
        let found = window::burn_rate(counts(good), ppm);
        assert!((found - rate).abs() < 1e-9, "{found} for {good}");
    }
    let none = window::burn_rate(Counts::default(), 990_000);
    assert!(none.abs() < 1e-9);
    assert!(window::burn_rate(counts(999), 1_000_000).is_finite());
}

#[test]
fn burn_young_node_states_cover() {
    let recorder = Recorder::default();
    minute(&recorder, 9, 0);
    let burn = recorder.burn(at_minute(10), &service(true));
    assert_eq!(find(&burn, "latency", 300).covered_secs, 300);
    assert_eq!(find(&burn, "latency", 259_200).covered_secs, 600);
}

#[test]
fn burn_windows_leave_older_minutes_out() {
    let recorder = Recorder::default();
    minute(&recorder, 0, 50);
    minute(&recorder, 100, 0);
    let burn = recorder.burn(at_minute(100), &service(true));
    assert_eq!(find(&burn, "latency", 3_600).good, 100);
    assert_eq!(find(&burn, "latency", 7_200).good, 150);
    let old = recorder.burn(at_minute(101 + BUCKETS), &service(true));
    assert_eq!(find(&old, "latency", 259_200).total, 0);
}

#[test]
fn burn_causes_are_sorted_and_expire() {
    let recorder = Recorder::default();
    for (target, count) in [("a", 1), ("b", 3), ("c", 2)] {
        for _ in 0..count {
            recorder.blame(at_minute(1), &service(true), blame(target));
        }
    }
    let names = |now| {
        let causes = recorder.burn(now, &service(true)).causes;
        causes
            .into_iter()
            .map(|c| (c.target, c.count))
            .collect::<Vec<_>>()
    };
    let expected = [("b", 3), ("c", 2), ("a", 1)].map(|(t, n)| (t.to_owned(), n));
    assert_eq!(names(at_minute(1)), expected);
    assert_eq!(names(at_minute(200)), expected);
    assert_eq!(names(at_minute(CAUSE_SECS / 60 + 31)), []);
}

#[test]
fn blame_many_targets_stays_bounded() {
    let recorder = Recorder::default();
    for n in 0..2_000 {
        recorder.blame(at_minute(1), &service(true), blame(&format!("target-{n}")));
    }
    let causes = recorder.burn(at_minute(1), &service(true)).causes;
    assert!(causes.len() <= 300, "{}", causes.len());
    assert_eq!(causes.iter().map(|c| c.count).sum::<u64>(), 2_000);
    assert_eq!(causes[0].cause, OTHER_CAUSE);
}

#[test]
fn alerts_need_both_windows() {
    let recorder = Recorder::default();
    for n in 0..60 {
        minute(&recorder, n, 30);
    }
    let fired = alerts(&recorder.burn(at_minute(59), &service(true)));
    assert_eq!(fired.len(), 1);
    assert_eq!((fired[0].rule.short, fired[0].rule.long), (300, 3_600));
    for n in 60..70 {
        minute(&recorder, n, 0);
    }
    let over = alerts(&recorder.burn(at_minute(69), &service(true)));
    assert_eq!(
        over[0].rule.short, 1_800,
        "the fast burn is over, the budget is hurt"
    );
    let quiet = Recorder::default();
    minute(&quiet, 0, 1);
    assert_eq!(alerts(&quiet.burn(at_minute(0), &service(true))).len(), 1);
    let good = Recorder::default();
    minute(&good, 0, 0);
    assert_eq!(alerts(&good.burn(at_minute(0), &service(true))), []);
}

#[test]
fn record_from_threads_loses_nothing() {
    const THREADS: usize = 4;
    const MINUTES: u64 = 4_000;
    const EACH: u64 = 20;
    let recorder = Recorder::default();
    let service = service(true);
    let barrier = Barrier::new(THREADS);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                for n in 0..MINUTES * EACH {
                    // All threads reach a new minute together.
                    if n % EACH == 0 {
                        barrier.wait();
                    }
                    recorder.record(at_minute(n / EACH), &service, answered(1, true));
                }
            });
        }
    });
    let burn = recorder.burn(at_minute(MINUTES), &service);
    let window = find(&burn, "latency", 259_200);
    let all = 4 * MINUTES * EACH;
    assert_eq!((window.good, window.total), (all, all));
    assert_eq!(burn.series[0].good, burn.series[0].total);
}

#[test]
fn merge_adds_nodes() {
    let mut sum = v1::BurnAnswer::default();
    for (name, slow, start) in [("entry-2", 4, 5), ("entry-1", 0, 1)] {
        let recorder = Recorder::default();
        minute(&recorder, start, slow);
        recorder.blame(at_minute(start), &service(true), blame("a"));
        let answer = v1::BurnAnswer {
            services: vec![recorder.burn(at_minute(start), &service(true))],
            nodes: vec![v1::BurnNode {
                name: name.to_owned(),
                covered_secs: start * 60,
            }],
            uncounted: vec!["entry-1".to_owned(), "entry-3".to_owned()],
        };
        merge::merge(&mut sum, answer);
    }
    let names: Vec<_> = sum.nodes.iter().map(|n| n.name.as_str()).collect();
    assert_eq!(names, ["entry-1", "entry-2"]);
    assert_eq!(sum.uncounted, ["entry-3"]);
    let window = find(&sum.services[0], "latency", 300);
    assert_eq!(
        (window.good, window.total, window.covered_secs),
        (196, 200, 300)
    );
    assert!((window.burn_rate - 2.0).abs() < 1e-9);
    assert_eq!(sum.services[0].causes[0].count, 2);
    assert_eq!(sum.services[0].series[0].total.last(), Some(&200));
}

#[test]
fn reports_register_and_render() {
    let recorder = Recorder::default();
    minute(&recorder, 1, 20);
    recorder.blame(at_minute(1), &service(true), blame("buyer-desk-<3>"));
    let burn = v1::BurnAnswer {
        services: vec![recorder.burn(at_minute(1), &service(true))],
        ..v1::BurnAnswer::default()
    };
    let page = registry::report("html").unwrap()(&burn);
    assert_eq!(page.matches("<svg").count(), 4);
    for absent in ["<script", "http-equiv", "src=", "href=", "buyer-desk-<3>"] {
        assert!(!page.contains(absent), "{absent}");
    }
    let json = registry::report("json").unwrap()(&burn);
    assert_eq!(serde_json::from_str::<v1::BurnAnswer>(&json).unwrap(), burn);
    let unknown = registry::report("pdf").unwrap_err();
    assert_eq!(unknown.kind, PluginKind::Report);
    assert_eq!(unknown.known, "html, json, table");
}

#[test]
fn units_match_table() {
    for (secs, text) in [
        (0, "0s"),
        (59, "59s"),
        (630, "10m30s"),
        (7_200, "2h"),
        (93_599, "1d1h"),
    ] {
        assert_eq!(units::secs(secs), text);
    }
    for (ppm, text) in [(990_000, "99%"), (999_950, "99.995%"), (1_000_000, "100%")] {
        assert_eq!(units::ppm(ppm), text);
    }
    for (ms, text) in [
        (0, "1970-01-01 00:00:00Z"),
        (951_782_400_000, "2000-02-29 00:00:00Z"),
        (1_796_342_399_000, "2026-12-03 23:59:59Z"),
    ] {
        assert_eq!(units::utc(ms), text);
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn history_window_sums_what_was_added(adds in prop::collection::vec((0..5_000_u64, 1..9_u64), 0..60), secs in 1..72_u64) {
        let secs = secs * 3_600;
        let mut history = History::default();
        for (minute, total) in &adds {
            history.add(*minute, Counts { good: 0, total: *total });
        }
        let now = adds.iter().map(|(m, _)| *m).max().unwrap_or(0);
        let inside = |minute: u64| minute + secs / 60 > now;
        let expected: u64 = adds.iter().filter(|(m, _)| inside(*m)).map(|(_, n)| n).sum();
        prop_assert_eq!(history.window(now, secs).total, expected);
    }
}
