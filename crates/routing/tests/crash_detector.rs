//! Tests of the detection of crash-causing requests.

mod common;

use common::{at, ms, target};
use heatherrun_kernel::{CallId, QueryId};
use heatherrun_routing::crash_detector::{CrashDetector, TRIAL_INTERVAL};
use heatherrun_routing::target::Distance;

const FINGERPRINT: u64 = 42;

fn call(seq: u64) -> CallId {
    let query = QueryId { entry: 1, seq };
    CallId { query, attempt: 0 }
}

/// Detector after `count` targets lost the connection of a call of one request
/// and then ended.
fn after_crashes(count: u64) -> CrashDetector {
    let mut detector = CrashDetector::default();
    for n in 0..count {
        let target = target(&format!("i-{n}"), Distance::Region);
        detector.record_loss(at(n * 100), FINGERPRINT, &target, call(n));
        let marks = detector.record_target_end(at(n * 100 + 50), &target);
        assert_eq!(marks.len(), 1, "the mark is propagated to all nodes");
    }
    detector
}

#[test]
fn rejects_request_after_third_crash() {
    assert!(!after_crashes(2).rejects(at(1_000), FINGERPRINT, || false));
    assert!(after_crashes(3).rejects(at(1_000), FINGERPRINT, || false));
    assert!(!after_crashes(3).rejects(at(1_000), FINGERPRINT + 1, || false));
}

#[test]
fn record_target_end_long_after_the_loss_gives_no_mark() {
    let mut detector = CrashDetector::default();
    for n in 0..5 {
        let target = target(&format!("i-{n}"), Distance::Region);
        detector.record_loss(at(n), FINGERPRINT, &target, call(n));
        assert!(
            detector.record_target_end(at(8_000), &target).is_empty(),
            "too late to explain the loss"
        );
    }
    assert!(!detector.rejects(at(8_000), FINGERPRINT, || false));
}

#[test]
fn target_that_answered_after_the_loss_did_not_crash() {
    // All searchers are alive, but their replies are lost for a while; later
    // the searchers are replaced. A reply after the loss shows that the target
    // did not crash.
    let mut detector = CrashDetector::default();
    for n in 0..5 {
        let target = target(&format!("i-{n}"), Distance::Region);
        detector.record_loss(at(n), FINGERPRINT, &target, call(n));
        target.record_reply(at(500), ms(10), None);
        assert!(detector.record_target_end(at(3_000), &target).is_empty());
    }
    assert!(!detector.rejects(at(3_000), FINGERPRINT, || false));
}

#[test]
fn record_target_end_with_several_losses_gives_one_mark() {
    let mut detector = CrashDetector::default();
    let target = target("i-0", Distance::Region);
    for n in 0..4 {
        detector.record_loss(at(n), FINGERPRINT, &target, call(n));
    }
    assert_eq!(detector.record_target_end(at(10), &target).len(), 1);
    assert!(!detector.rejects(at(20), FINGERPRINT, || false));
}

#[test]
fn record_success_removes_marks_and_losses() {
    let mut detector = after_crashes(2);
    let target = target("i-9", Distance::Region);
    detector.record_loss(at(300), FINGERPRINT, &target, call(9));
    let cleared = detector.record_success(at(310), FINGERPRINT);
    assert!(
        cleared.is_some_and(|update| update.cleared),
        "the clearing is propagated to all nodes"
    );
    assert!(detector.record_target_end(at(320), &target).is_empty());
    assert_eq!(
        detector.record_success(at(330), FINGERPRINT),
        None,
        "propagated once"
    );
}

#[test]
fn apply_suspicion_counts_marks_of_another_node() {
    let (mut local, mut remote) = (CrashDetector::default(), CrashDetector::default());
    for n in 0..3 {
        let target = target(&format!("i-{n}"), Distance::Region);
        local.record_loss(at(n * 100), FINGERPRINT, &target, call(n));
        for mark in local.record_target_end(at(n * 100 + 50), &target) {
            assert!(remote.apply_suspicion(at(n * 100 + 60), mark));
            assert!(
                !remote.apply_suspicion(at(n * 100 + 70), mark),
                "already known"
            );
        }
    }
    assert!(remote.rejects(at(1_000), FINGERPRINT, || false));
}

#[test]
fn rejects_banned_request_except_one_trial_per_interval() {
    let mut detector = after_crashes(3);
    let first_rejection = at(1_000);
    assert!(detector.rejects(first_rejection, FINGERPRINT, || true));
    let later = first_rejection + TRIAL_INTERVAL;
    assert!(
        detector.rejects(later, FINGERPRINT, || false),
        "another node runs the trial"
    );
    assert!(!detector.rejects(later, FINGERPRINT, || true));
    assert!(
        detector.rejects(later + ms(1), FINGERPRINT, || true),
        "one trial per interval"
    );
    assert!(
        detector
            .record_success(later + ms(2), FINGERPRINT)
            .is_some()
    );
    assert!(!detector.rejects(later + ms(3), FINGERPRINT, || false));
}
