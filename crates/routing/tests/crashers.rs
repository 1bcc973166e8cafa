//! Tests of the detection of crash-causing requests.

mod common;

use common::{at, ms, target};
use heatherrun_kernel::{CallId, QueryId};
use heatherrun_routing::crashers::{Crashers, TRIAL_TIME};
use heatherrun_routing::target::Distance;

const FINGERPRINT: u64 = 42;

fn call(seq: u64) -> CallId {
    let query = QueryId { entry: 1, seq };
    CallId { query, attempt: 0 }
}

/// Detector after `count` targets lost the connection of a call of one request
/// and then ended.
fn after_crashes(count: u64) -> Crashers {
    let mut crashers = Crashers::default();
    for n in 0..count {
        let target = target(&format!("i-{n}"), Distance::Region);
        crashers.lost(at(n * 100), FINGERPRINT, &target, call(n));
        let marks = crashers.ended(at(n * 100 + 50), &target);
        assert_eq!(marks.len(), 1, "the mark is propagated to all nodes");
    }
    crashers
}

#[test]
fn refuses_request_after_third_crash() {
    assert!(!after_crashes(2).refuses(at(1_000), FINGERPRINT, || false));
    assert!(after_crashes(3).refuses(at(1_000), FINGERPRINT, || false));
    assert!(!after_crashes(3).refuses(at(1_000), FINGERPRINT + 1, || false));
}

#[test]
fn ended_long_after_the_loss_gives_no_mark() {
    let mut crashers = Crashers::default();
    for n in 0..5 {
        let target = target(&format!("i-{n}"), Distance::Region);
        crashers.lost(at(n), FINGERPRINT, &target, call(n));
        assert!(
            crashers.ended(at(8_000), &target).is_empty(),
            "too late to explain the loss"
        );
    }
    assert!(!crashers.refuses(at(8_000), FINGERPRINT, || false));
}

#[test]
fn crashers_target_that_answered_after_the_loss_did_not_crash() {
    // All searchers are alive, but their replies are lost for a while; later
    // the searchers are replaced. A reply after the loss shows that the target
    // did not crash.
    let mut crashers = Crashers::default();
    for n in 0..5 {
        let target = target(&format!("i-{n}"), Distance::Region);
        crashers.lost(at(n), FINGERPRINT, &target, call(n));
        target.replied(at(500), ms(10), None);
        assert!(crashers.ended(at(3_000), &target).is_empty());
    }
    assert!(!crashers.refuses(at(3_000), FINGERPRINT, || false));
}

#[test]
fn ended_with_several_losses_gives_one_mark() {
    let mut crashers = Crashers::default();
    let target = target("i-0", Distance::Region);
    for n in 0..4 {
        crashers.lost(at(n), FINGERPRINT, &target, call(n));
    }
    assert_eq!(crashers.ended(at(10), &target).len(), 1);
    assert!(!crashers.refuses(at(20), FINGERPRINT, || false));
}

#[test]
fn answered_removes_marks_and_losses() {
    let mut crashers = after_crashes(2);
    let target = target("i-9", Distance::Region);
    crashers.lost(at(300), FINGERPRINT, &target, call(9));
    let cleared = crashers.answered(at(310), FINGERPRINT);
    assert!(
        cleared.is_some_and(|update| update.cleared),
        "the clearing is propagated to all nodes"
    );
    assert!(crashers.ended(at(320), &target).is_empty());
    assert_eq!(
        crashers.answered(at(330), FINGERPRINT),
        None,
        "propagated once"
    );
}

#[test]
fn told_marks_of_another_node_count() {
    let (mut local, mut remote) = (Crashers::default(), Crashers::default());
    for n in 0..3 {
        let target = target(&format!("i-{n}"), Distance::Region);
        local.lost(at(n * 100), FINGERPRINT, &target, call(n));
        for mark in local.ended(at(n * 100 + 50), &target) {
            assert!(remote.told(at(n * 100 + 60), mark));
            assert!(!remote.told(at(n * 100 + 70), mark), "already known");
        }
    }
    assert!(remote.refuses(at(1_000), FINGERPRINT, || false));
}

#[test]
fn refuses_banned_request_except_one_trial_per_interval() {
    let mut crashers = after_crashes(3);
    let first_refusal = at(1_000);
    assert!(crashers.refuses(first_refusal, FINGERPRINT, || true));
    let later = first_refusal + TRIAL_TIME;
    assert!(
        crashers.refuses(later, FINGERPRINT, || false),
        "another node runs the trial"
    );
    assert!(!crashers.refuses(later, FINGERPRINT, || true));
    assert!(
        crashers.refuses(later + ms(1), FINGERPRINT, || true),
        "one trial per interval"
    );
    assert!(crashers.answered(later + ms(2), FINGERPRINT).is_some());
    assert!(!crashers.refuses(later + ms(3), FINGERPRINT, || false));
}
