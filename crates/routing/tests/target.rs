//! What is learned of one target from its replies.

mod common;

use common::{at, entry, ms, place, target};
use heatherrun_routing::target::{Distance, Target};

#[test]
fn replied_one_pause_leaves_the_target_near_its_usual_latency() {
    // Pattern: a searcher stands still for 200 ms each 4.5 s.
    let target = target("a", Distance::Domain);
    for call in 0..20 {
        target.replied(at(call * 50), ms(13), None);
    }
    target.replied(at(1_200), ms(190), None);
    assert!(
        target.expected(at(1_200)) < 34_000,
        "{}",
        target.expected(at(1_200))
    );
}

#[test]
fn replied_slow_turn_shows_in_four_replies() {
    // Pattern: 15% of the searchers work ten times as long for 8 s.
    let target = target("a", Distance::Domain);
    for call in 0..20 {
        target.replied(at(call * 50), ms(13), None);
    }
    for call in 0..4 {
        target.replied(at(1_100 + call * 20), ms(150), None);
    }
    assert!(
        target.expected(at(1_180)) > 54_000,
        "{}",
        target.expected(at(1_180))
    );
}

#[test]
fn expected_slow_turn_is_forgotten_in_time() {
    let target = target("a", Distance::Domain);
    for call in 0..10 {
        target.replied(at(call * 10), ms(150), None);
    }
    assert!(target.expected(at(100)) > 100_000);
    assert!(target.expected(at(9_000)) < 10_000);
}

#[test]
fn overdue_silent_target_is_avoided_for_longer_each_time() {
    // Pattern: searchers fall silent; each try of one costs a hedge.
    let target = target("a", Distance::Domain);
    target.overdue(at(20), at(0));
    assert!(target.is_avoided(at(200)) && !target.is_avoided(at(211)));
    target.sent(at(220));
    assert!(target.is_avoided(at(221)), "one call at a time finds out");
    target.overdue(at(460), at(440));
    assert!(target.is_avoided(at(440 + 419)) && !target.is_avoided(at(440 + 421)));
    target.replied(at(900), ms(10), None);
    assert!(!target.is_avoided(at(900)));
}

#[test]
fn overdue_target_that_answered_since_is_not_avoided() {
    let target = target("a", Distance::Domain);
    target.replied(at(10), ms(5), None);
    target.overdue(at(20), at(0));
    assert!(!target.is_avoided(at(21)));
}

#[test]
fn failing_share_rises_with_failures_and_fades() {
    // Pattern: searchers fail part of their requests while healthy.
    let target = target("a", Distance::Domain);
    for call in 0..20 {
        let now = at(call * 20);
        if call % 2 == 0 {
            target.answered_failure(now, ms(5), None);
        } else {
            target.replied(now, ms(5), None);
        }
    }
    let rate = target.failing_permille(at(400));
    assert!((300..=700).contains(&rate), "{rate}");
    assert!(target.failing_permille(at(9_000)) < 20);
}

#[test]
fn take_cold_keeps_to_the_share() {
    let mut entry = entry("a");
    entry.warmup = ms(3_000);
    let target = Target::new(at(0), entry, place(Distance::Domain));
    assert!(target.is_cold(at(2_999)) && !target.is_cold(at(3_000)));
    let taken = (0..1_000).filter(|t| target.take_cold(at(*t), 4.0)).count();
    assert_eq!(taken, 4);
    assert!(!target.take_cold(at(2_000), 0.0));
}
