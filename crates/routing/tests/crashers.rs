//! Requests that crash the targets that run them.

mod common;

use common::{at, ms, target};
use heatherrun_kernel::{CallId, QueryId};
use heatherrun_routing::crashers::{Crashers, TRIAL_TIME};
use heatherrun_routing::target::Distance;

const PRINT: u64 = 42;

fn call(seq: u64) -> CallId {
    let query = QueryId { entry: 1, seq };
    CallId { query, attempt: 0 }
}

/// A request whose calls to `count` targets were lost, each of which ended.
fn crashed(count: u64) -> Crashers {
    let mut crashers = Crashers::default();
    for n in 0..count {
        let target = target(&format!("i-{n}"), Distance::Region);
        crashers.lost(at(n * 100), PRINT, &target, call(n));
        let told = crashers.ended(at(n * 100 + 50), &target);
        assert_eq!(told.len(), 1, "all nodes learn of it");
    }
    crashers
}

#[test]
fn crashers_third_crash_bans_the_request() {
    assert!(!crashed(2).refuses(at(1_000), PRINT, || false));
    assert!(crashed(3).refuses(at(1_000), PRINT, || false));
    assert!(!crashed(3).refuses(at(1_000), PRINT + 1, || false));
}

#[test]
fn crashers_lost_answer_of_a_living_target_is_no_mark() {
    let mut crashers = Crashers::default();
    for n in 0..5 {
        let target = target(&format!("i-{n}"), Distance::Region);
        crashers.lost(at(n), PRINT, &target, call(n));
        assert!(crashers.ended(at(8_000), &target).is_empty(), "long after");
    }
    assert!(!crashers.refuses(at(8_000), PRINT, || false));
}

#[test]
fn crashers_target_that_answered_after_the_loss_did_not_crash() {
    // Answers of all searchers are lost for a while; then the searchers are
    // replaced.
    let mut crashers = Crashers::default();
    for n in 0..5 {
        let target = target(&format!("i-{n}"), Distance::Region);
        crashers.lost(at(n), PRINT, &target, call(n));
        target.replied(at(500), ms(10), None);
        assert!(crashers.ended(at(3_000), &target).is_empty());
    }
    assert!(!crashers.refuses(at(3_000), PRINT, || false));
}

#[test]
fn crashers_several_losses_at_one_target_are_one_crash() {
    let mut crashers = Crashers::default();
    let target = target("i-0", Distance::Region);
    for n in 0..4 {
        crashers.lost(at(n), PRINT, &target, call(n));
    }
    assert_eq!(crashers.ended(at(10), &target).len(), 1);
    assert!(!crashers.refuses(at(20), PRINT, || false));
}

#[test]
fn crashers_success_takes_marks_and_losses_back() {
    let mut crashers = crashed(2);
    let target = target("i-9", Distance::Region);
    crashers.lost(at(300), PRINT, &target, call(9));
    let cleared = crashers.answered(at(310), PRINT);
    assert!(
        cleared.is_some_and(|told| told.cleared),
        "all nodes learn of it"
    );
    assert!(crashers.ended(at(320), &target).is_empty());
    assert_eq!(crashers.answered(at(330), PRINT), None, "told once");
}

#[test]
fn crashers_marks_of_several_nodes_add_up() {
    let (mut here, mut there) = (Crashers::default(), Crashers::default());
    for n in 0..3 {
        let target = target(&format!("i-{n}"), Distance::Region);
        here.lost(at(n * 100), PRINT, &target, call(n));
        for told in here.ended(at(n * 100 + 50), &target) {
            assert!(there.told(at(n * 100 + 60), told));
            assert!(!there.told(at(n * 100 + 70), told), "known already");
        }
    }
    assert!(there.refuses(at(1_000), PRINT, || false));
}

#[test]
fn crashers_banned_request_is_tried_by_one_node_after_a_while() {
    let mut crashers = crashed(3);
    let begun = at(1_000);
    assert!(crashers.refuses(begun, PRINT, || true));
    let later = begun + TRIAL_TIME;
    assert!(crashers.refuses(later, PRINT, || false), "another node's");
    assert!(!crashers.refuses(later, PRINT, || true));
    assert!(
        crashers.refuses(later + ms(1), PRINT, || true),
        "one at a time"
    );
    assert!(crashers.answered(later + ms(2), PRINT).is_some());
    assert!(!crashers.refuses(later + ms(3), PRINT, || false));
}
