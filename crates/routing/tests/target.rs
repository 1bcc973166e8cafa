//! Tests of the state of a target that is derived from its replies.

mod common;

use common::{at, ms, target};
use heatherrun_routing::target::Distance;

#[test]
fn replied_single_pause_barely_raises_expected_latency() {
    // A searcher pauses for 200 ms every 4.5 s. The one late reply must not
    // make it look slow.
    let target = target("a", Distance::Domain);
    for call in 0..20 {
        target.record_reply(at(call * 50), ms(13), None);
    }
    target.record_reply(at(1_200), ms(190), None);
    assert!(
        target.expected_micros(at(1_200)) < 34_000,
        "{}",
        target.expected_micros(at(1_200))
    );
}

#[test]
fn replied_slow_period_shows_within_four_replies() {
    // 15% of the searchers take ten times as long for 8 s. The expected latency
    // must follow within a few replies.
    let target = target("a", Distance::Domain);
    for call in 0..20 {
        target.record_reply(at(call * 50), ms(13), None);
    }
    for call in 0..4 {
        target.record_reply(at(1_100 + call * 20), ms(150), None);
    }
    assert!(
        target.expected_micros(at(1_180)) > 54_000,
        "{}",
        target.expected_micros(at(1_180))
    );
}

#[test]
fn expected_micros_decays_after_slow_period() {
    let target = target("a", Distance::Domain);
    for call in 0..10 {
        target.record_reply(at(call * 10), ms(150), None);
    }
    assert!(target.expected_micros(at(100)) > 100_000);
    assert!(target.expected_micros(at(9_000)) < 10_000);
}

#[test]
fn record_overdue_backoff_doubles_for_unresponsive_target() {
    // Searchers become unresponsive. Each call that probes one costs a hedge,
    // so probes must become rarer.
    let target = target("a", Distance::Domain);
    target.record_overdue(at(20), at(0));
    assert!(target.is_avoided(at(200)) && !target.is_avoided(at(211)));
    target.record_sent(at(220));
    assert!(target.is_avoided(at(221)), "one probe at a time");
    target.record_overdue(at(460), at(440));
    assert!(target.is_avoided(at(440 + 419)) && !target.is_avoided(at(440 + 421)));
    target.record_reply(at(900), ms(10), None);
    assert!(!target.is_avoided(at(900)));
}

#[test]
fn record_overdue_target_that_replied_since_is_not_avoided() {
    let target = target("a", Distance::Domain);
    target.record_reply(at(10), ms(5), None);
    target.record_overdue(at(20), at(0));
    assert!(!target.is_avoided(at(21)));
}

#[test]
fn failure_permille_rises_with_failures_and_decays() {
    // Searchers fail part of their requests but report no problem. Their
    // failure rate must show it.
    let target = target("a", Distance::Domain);
    for call in 0..20 {
        let now = at(call * 20);
        if call % 2 == 0 {
            target.record_failed_reply(now, ms(5), None);
        } else {
            target.record_reply(now, ms(5), None);
        }
    }
    let permille = target.failure_permille(at(400));
    assert!((300..=700).contains(&permille), "{permille}");
    assert!(target.failure_permille(at(9_000)) < 20);
}

#[test]
fn quiet_time_is_limited_and_a_shorter_one_does_not_end_a_longer_one() {
    let target = target("a", Distance::Domain);
    target.record_quiet(at(0), ms(10_000));
    target.record_quiet(at(100), ms(500));
    assert_eq!(target.quiet_until(at(9_999)), Some(at(10_000)));
    assert_eq!(target.quiet_until(at(10_000)), None);
    target.record_quiet(at(10_000), std::time::Duration::MAX);
    assert_eq!(target.quiet_until(at(69_999)), Some(at(70_000)));
    assert_eq!(target.quiet_until(at(70_000)), None);
}
