//! Requests that crash the targets that run them.

mod common;

use common::{at, ms, target};
use heatherrun_kernel::{CallId, QueryId};
use heatherrun_routing::crashers::Crashers;
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
    assert!(!crashed(2).is_banned(at(1_000), PRINT));
    assert!(crashed(3).is_banned(at(1_000), PRINT));
    assert!(!crashed(3).is_banned(at(1_000), PRINT + 1));
}

#[test]
fn crashers_lost_answer_of_a_living_target_is_no_mark() {
    let mut crashers = Crashers::default();
    for n in 0..5 {
        let target = target(&format!("i-{n}"), Distance::Region);
        crashers.lost(at(n), PRINT, &target, call(n));
        assert!(crashers.ended(at(8_000), &target).is_empty(), "long after");
    }
    assert!(!crashers.is_banned(at(8_000), PRINT));
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
    assert!(!crashers.is_banned(at(3_000), PRINT));
}

#[test]
fn crashers_several_losses_at_one_target_are_one_crash() {
    let mut crashers = Crashers::default();
    let target = target("i-0", Distance::Region);
    for n in 0..4 {
        crashers.lost(at(n), PRINT, &target, call(n));
    }
    assert_eq!(crashers.ended(at(10), &target).len(), 1);
    assert!(!crashers.is_banned(at(20), PRINT));
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
    assert!(there.is_banned(at(1_000), PRINT));
}
