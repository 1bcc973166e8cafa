//! Tests of the state machine of one request.

mod common;

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use common::test_node::{TestNode, once_plan, target_ids};
use common::{at, ms, plan};
use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_routing::plan::Plan;
use heatherrun_routing::scatter::{CallEnd, CallToSend, Cause, Reason, Scatter, Verdict};
use proptest::prelude::*;

#[test]
fn verdict_answers_when_all_shards_replied() {
    let node = TestNode::new(3, 2);
    let mut scatter = Scatter::new(plan(0.75), 3);
    let calls_to_send = node.with(|cx| scatter.start(at(0), cx));
    assert_eq!(target_ids(&calls_to_send), ["0-0", "1-0", "2-0"]);
    for call in 0..3 {
        assert_eq!(scatter.verdict(at(10)), None);
        node.with(|cx| scatter.call_ended(at(10), call, CallEnd::Part, cx));
    }
    let all = vec![Some(0), Some(1), Some(2)];
    assert_eq!(scatter.verdict(at(10)), Some(Verdict::Answer(all)));
}

#[test]
fn tick_hedges_overdue_call_once_and_avoids_its_target() {
    let node = TestNode::new(1, 3);
    let mut scatter = Scatter::new(plan(1.0), 1);
    let first = node.with(|cx| scatter.start(at(0), cx));
    assert_eq!(scatter.wake_at(at(0)), at(20));
    let hedges = node.with(|cx| scatter.tick(at(20), cx));
    assert_eq!(target_ids(&hedges), ["0-1"]);
    assert_eq!(hedges[0].reason, Reason::Hedge);
    assert!(first[0].target.is_avoided(at(21)));
    let more = node.with(|cx| scatter.tick(at(60), cx));
    assert!(more.is_empty(), "the plan allows two attempts");
    node.with(|cx| scatter.call_ended(at(61), 1, CallEnd::Part, cx));
    assert_eq!(
        scatter.verdict(at(61)),
        Some(Verdict::Answer(vec![Some(1)]))
    );
}

#[test]
fn tick_hedge_waits_while_other_target_has_queue() {
    // A burst of requests while many searchers take ten times as long. Hedges
    // would fill the queues of the remaining searchers.
    let node = TestNode::new(1, 2);
    let mut scatter = Scatter::new(plan(1.0), 1);
    node.with(|cx| scatter.start(at(0), cx));
    node.shards[0][1].record_reply(at(10), ms(40), Some(6));
    assert!(node.with(|cx| scatter.tick(at(20), cx)).is_empty());
    node.shards[0][1].record_reply(at(22), ms(40), Some(2));
    let now = scatter.wake_at(at(20));
    assert_eq!(target_ids(&node.with(|cx| scatter.tick(now, cx))), ["0-1"]);
}

#[test]
fn call_ended_refusal_by_all_targets_is_retried_after_delay() {
    // Searchers shed load for some tens of milliseconds. A shard whose targets
    // all refuse a call must not be missing from the answer for that.
    let node = TestNode::new(2, 1);
    let mut scatter = Scatter::new(
        Plan {
            capacity_by: at(90),
            ..plan(1.0)
        },
        2,
    );
    node.with(|cx| scatter.start(at(0), cx));
    let calls_to_send = node.with(|cx| scatter.call_ended(at(5), 0, CallEnd::NotRun, cx));
    assert!(calls_to_send.is_empty());
    assert_eq!(scatter.verdict(at(5)), None);
    let retry_at = scatter.wake_at(at(5));
    assert!(retry_at <= at(25));
    assert_eq!(
        target_ids(&node.with(|cx| scatter.tick(at(25), cx))),
        ["0-0"]
    );
}

#[test]
fn tick_sends_no_hedge_without_budget() {
    let node = TestNode::new(1, 3);
    node.extra.set(0);
    let mut scatter = Scatter::new(plan(1.0), 1);
    node.with(|cx| scatter.start(at(0), cx));
    assert!(node.with(|cx| scatter.tick(at(20), cx)).is_empty());
    assert!(scatter.wake_at(at(20)) > at(20));
}

#[test]
fn verdict_answers_with_enough_shards_before_objective() {
    // All searchers of one shard are stalled. Nine of ten shards in time are
    // worth more than all ten too late.
    let node = TestNode::new(10, 1);
    let mut scatter = Scatter::new(plan(0.89), 10);
    node.with(|cx| scatter.start(at(0), cx));
    for call in 0..9 {
        node.with(|cx| scatter.call_ended(at(15), call, CallEnd::Part, cx));
    }
    assert_eq!(scatter.verdict(at(66)), None);
    let Some(Verdict::Answer(parts)) = scatter.verdict(at(67)) else {
        panic!("no answer at the objective");
    };
    assert_eq!(parts.iter().flatten().count(), 9);
    assert_eq!(parts[9], None);
}

#[test]
fn verdict_waits_until_coverage_is_reached() {
    let node = TestNode::new(10, 1);
    let mut scatter = Scatter::new(plan(0.89), 10);
    node.with(|cx| scatter.start(at(0), cx));
    for call in 0..8 {
        node.with(|cx| scatter.call_ended(at(15), call, CallEnd::Part, cx));
    }
    assert_eq!(scatter.verdict(at(100)), None);
    node.with(|cx| scatter.call_ended(at(120), 8, CallEnd::Part, cx));
    assert!(matches!(scatter.verdict(at(120)), Some(Verdict::Answer(_))));
}

#[test]
fn verdict_fails_once_coverage_cannot_be_reached() {
    // A request that can no longer reach its coverage must get its final answer
    // immediately.
    let node = TestNode::new(4, 1);
    let mut scatter = Scatter::new(plan(0.75), 4);
    node.with(|cx| scatter.start(at(0), cx));
    node.with(|cx| scatter.call_ended(at(5), 0, CallEnd::Lost, cx));
    assert_eq!(scatter.verdict(at(5)), None);
    node.with(|cx| scatter.call_ended(at(6), 1, CallEnd::Lost, cx));
    let lost_verdict = Verdict::None {
        not_run: false,
        cause: Cause::Lost,
    };
    assert_eq!(scatter.verdict(at(6)), Some(lost_verdict));
}

#[test]
fn verdict_without_targets_is_not_run() {
    let node = TestNode::new(1, 0);
    let mut scatter = Scatter::new(plan(1.0), 1);
    node.with(|cx| scatter.start(at(0), cx));
    let not_run_verdict = Verdict::None {
        not_run: true,
        cause: Cause::NoTarget,
    };
    assert_eq!(scatter.verdict(at(0)), Some(not_run_verdict));
}

#[test]
fn tick_waits_for_capacity_for_a_fifth_of_the_objective() {
    let node = TestNode::new(1, 2);
    node.full.set(true);
    let mut scatter = Scatter::new(plan(1.0), 1);
    node.with(|cx| scatter.start(at(0), cx));
    let mut now = at(0);
    while scatter.verdict(now).is_none() {
        now = scatter.wake_at(now);
        node.with(|cx| scatter.tick(now, cx));
    }
    assert!(now >= at(16) && now <= at(20), "{now}");
    let not_run_verdict = Verdict::None {
        not_run: true,
        cause: Cause::AtCapacity,
    };
    assert_eq!(scatter.verdict(now), Some(not_run_verdict));
}

#[test]
fn call_ended_once_only_call_is_retried_only_if_not_run() {
    for (end, is_retried) in [
        (CallEnd::NotRun, true),
        (CallEnd::NotSent, true),
        (CallEnd::Lost, false),
        (CallEnd::Failed, false),
    ] {
        let node = TestNode::new(1, 3);
        let mut scatter = Scatter::new(once_plan(), 1);
        node.with(|cx| scatter.start(at(0), cx));
        assert!(
            node.with(|cx| scatter.tick(at(500), cx)).is_empty(),
            "no hedge"
        );
        let calls_to_send = node.with(|cx| scatter.call_ended(at(510), 0, end, cx));
        assert_eq!(!calls_to_send.is_empty(), is_retried, "{end:?}");
        let not_run = match scatter.verdict(at(510)) {
            None => continue,
            Some(Verdict::None { not_run, .. }) => not_run,
            Some(answer) => panic!("{answer:?}"),
        };
        assert!(!not_run, "{end:?} may have run");
    }
}

#[test]
fn verdict_call_in_flight_at_deadline_may_have_run() {
    let node = TestNode::new(1, 1);
    let mut scatter = Scatter::new(once_plan(), 1);
    node.with(|cx| scatter.start(at(0), cx));
    let late_verdict = Verdict::None {
        not_run: false,
        cause: Cause::Late,
    };
    assert_eq!(scatter.verdict(at(794)), Some(late_verdict));
}

/// Events of one request in order: how a call ends, which call in flight it is,
/// and the milliseconds before it.
fn call_ends() -> impl Strategy<Value = Vec<(u8, u8, u16)>> {
    prop::collection::vec((0..6_u8, any::<u8>(), 0..60_u16), 0..60)
}

proptest! {
    #![proptest_config(common::fixed_seed())]

    /// Attempts, the budget of extra calls, "not run" and coverage keep their
    /// limits for any sequence of events.
    #[test]
    fn scatter_keeps_limits_for_any_events(
        call_ends in call_ends(),
        shards in 1..8_usize,
        is_once in any::<bool>(),
        extra in 0..6_u32,
    ) {
        let node = TestNode::new(shards, 4);
        node.extra.set(extra);
        let test_plan = if is_once { once_plan() } else { plan(0.75) };
        let shards = if is_once { 1 } else { shards };
        let mut scatter = Scatter::new(test_plan, shards);
        let calls_in_flight: RefCell<Vec<CallToSend>> = RefCell::default();
        let mut executed: HashMap<usize, u16> = HashMap::new();
        let mut parts = 0;
        // Targets that were called, but for those that refused their last call.
        let tried: RefCell<Vec<Name>> = RefCell::default();
        // Shards of which a call has reached a target.
        let reached: RefCell<HashSet<usize>> = RefCell::default();
        let mut extra_used = 0;
        let mut record = |calls_to_send: Vec<CallToSend>| {
            for call_to_send in calls_to_send {
                let id = &call_to_send.target.entry.id;
                assert!(!tried.borrow().contains(id), "a target that may have run it is called twice");
                tried.borrow_mut().push(Arc::clone(id));
                let is_hedge = call_to_send.reason == Reason::Hedge;
                extra_used += u32::from(is_hedge || reached.borrow().contains(&call_to_send.shard));
                assert!(extra_used <= extra, "{extra_used} extra calls of {extra}");
                calls_in_flight.borrow_mut().push(call_to_send);
            }
        };
        let mut now = at(0);
        record(node.with(|cx| scatter.start(now, cx)));
        for (end, call_choice, elapsed_ms) in call_ends {
            now = now + ms(u64::from(elapsed_ms));
            record(node.with(|cx| scatter.tick(now, cx)));
            if scatter.verdict(now).is_some() || calls_in_flight.borrow().is_empty() {
                break;
            }
            let position = usize::from(call_choice) % calls_in_flight.borrow().len();
            let call_to_send = calls_in_flight.borrow_mut().remove(position);
            let end = match end {
                0 | 1 => CallEnd::Part,
                2 => CallEnd::NotSent,
                3 => CallEnd::NotRun,
                4 => CallEnd::Failed,
                _ => CallEnd::Lost,
            };
            if end == CallEnd::NotRun {
                tried.borrow_mut().retain(|id| *id != call_to_send.target.entry.id);
            }
            if end != CallEnd::NotSent {
                reached.borrow_mut().insert(call_to_send.shard);
            }
            if !matches!(end, CallEnd::NotSent | CallEnd::NotRun) {
                *executed.entry(call_to_send.shard).or_default() += 1;
            }
            parts += usize::from(end == CallEnd::Part);
            record(node.with(|cx| scatter.call_ended(now, call_to_send.call, end, cx)));
        }
        for shard in 0..shards {
            let in_flight = calls_in_flight.borrow().iter().filter(|s| s.shard == shard).count();
            let may_have_run = usize::from(executed.get(&shard).copied().unwrap_or(0)) + in_flight;
            let max_attempts = if is_once { 1 } else { 2 };
            prop_assert!(may_have_run <= max_attempts, "{} calls may have run", may_have_run);
        }
        let any_may_have_run = !executed.is_empty() || !calls_in_flight.borrow().is_empty();
        match scatter.verdict(now) {
            Some(Verdict::None { not_run, .. }) => prop_assert_eq!(not_run, !any_may_have_run),
            Some(Verdict::Answer(answer)) => {
                let done = answer.iter().flatten().count();
                prop_assert!(done > 0 && done <= parts);
                prop_assert!(done * 4 >= shards * 3, "{} of {}", done, shards);
            }
            None => prop_assert!(now < Time::from_millis(794)),
        }
    }
}

/// Shards that want no calls are left out at once if the rest suffices; if not,
/// the request is refused at once with the time when enough of them are back.
#[test]
fn verdict_quiet_shards_are_left_out_or_refused_at_once() {
    let mut node = TestNode::new(10, 2);
    node.quiet = HashMap::from([(1, at(4_000)), (3, at(3_000))]);
    for (min_share, expected) in [(0.8, None), (0.9, Some(at(3_000))), (1.0, Some(at(4_000)))] {
        let mut scatter = Scatter::new(plan(min_share), 10);
        let calls_to_send = node.with(|cx| scatter.start(at(0), cx));
        // A search that is refused sends nothing, not even to the others.
        let expected_calls = if expected.is_none() { 8 } else { 0 };
        assert_eq!(calls_to_send.len(), expected_calls, "{min_share}");
        let held = scatter.held().map(|(until, _)| until);
        assert_eq!(held, expected, "{min_share}");
        let is_refused = scatter.verdict(at(0)).is_some();
        assert_eq!(is_refused, expected.is_some(), "{min_share}");
        if expected.is_none() {
            for call in 0..8 {
                node.with(|cx| scatter.call_ended(at(5), call, CallEnd::Part, cx));
            }
            assert!(matches!(scatter.verdict(at(5)), Some(Verdict::Answer(_))));
        }
    }
}

/// A machine that slept past the deadline: what was sent may have run, and what
/// waited for capacity has not; both are decided with the first look at the
/// clock.
#[test]
fn verdict_after_a_long_sleep_is_the_truth_at_once() {
    let node = TestNode::new(1, 2);
    for (was_sent, expected) in [(true, false), (false, true)] {
        node.full.set(!was_sent);
        let mut scatter = Scatter::new(once_plan(), 1);
        node.with(|cx| scatter.start(at(0), cx));
        let woken = at(60_000);
        assert!(node.with(|cx| scatter.tick(woken, cx)).is_empty());
        let Some(Verdict::None { not_run, cause }) = scatter.verdict(woken) else {
            panic!("no verdict");
        };
        assert_eq!((not_run, cause), (expected, Cause::Late));
    }
}

/// Right after a start or an outage of the store many shards have no target yet.
/// Such a search is refused before anything is sent, and its caller may come
/// back.
#[test]
fn start_too_few_shards_with_targets_sends_nothing() {
    let mut node = TestNode::new(10, 2);
    for shard in 0..3 {
        node.shards[shard].clear();
    }
    let mut scatter = Scatter::new(plan(0.8), 10);
    assert!(node.with(|cx| scatter.start(at(0), cx)).is_empty());
    let refused = Verdict::None {
        not_run: true,
        cause: Cause::NoTarget,
    };
    assert_eq!(scatter.verdict(at(0)), Some(refused));
    let targets = node.shards.iter().flatten();
    assert!(targets.into_iter().all(|t| t.in_flight() == 0));
    // With one shard less missing it is answered in part.
    let mut scatter = Scatter::new(plan(0.7), 10);
    assert_eq!(node.with(|cx| scatter.start(at(0), cx)).len(), 7);
}
