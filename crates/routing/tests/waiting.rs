//! Waiting within a request: a shard that cannot be called now is tried again,
//! and the request fails only when no more answers can arrive.

mod common;

use common::test_node::{TestNode, once_plan};
use common::{at, ms, plan};
use heatherrun_kernel::Time;
use heatherrun_routing::extra_calls::Need;
use heatherrun_routing::plan::Plan;
use heatherrun_routing::scatter::{CallEnd, CallToSend, Cause, Scatter, Verdict};

/// Plan of a search with an objective and a deadline of 980 ms.
fn search_plan(min_share: f64) -> Plan {
    Plan {
        answer_by: at(940),
        capacity_by: at(588),
        end: at(965),
        ..plan(min_share)
    }
}

/// Starts a search and ends the calls of all shards but the last with a part.
fn start_all_but_last(node: &TestNode, plan: Plan, shards: usize) -> Scatter {
    let mut scatter = Scatter::new(plan, shards);
    node.with(|cx| scatter.start(at(0), cx));
    for call in 0..shards - 1 {
        node.with(|cx| scatter.call_ended(at(5), call, CallEnd::Part, cx));
    }
    scatter
}

/// Wakes the request as a driver does until it sends calls, has a verdict or
/// `until` has come; returns that time, the calls and the number of wake-ups.
fn drive(
    node: &TestNode,
    scatter: &mut Scatter,
    from: Time,
    until: Time,
) -> (Time, Vec<CallToSend>, u32) {
    let (mut now, mut wakes) = (from, 0);
    while scatter.verdict(now).is_none() && now < until {
        now = scatter.wake_at(now).min(until);
        wakes += 1;
        let calls_to_send = node.with(|cx| scatter.tick(now, cx));
        if !calls_to_send.is_empty() {
            return (now, calls_to_send, wakes);
        }
    }
    (now, Vec::new(), wakes)
}

#[test]
fn call_ended_without_budget_waits_until_it_frees_up() {
    // Half of the targets reject calls and the budget is used up. 678 searches
    // ended with 502 within 19 ms of their 980 ms, each with 35 of 36 parts.
    let node = TestNode::new(36, 2);
    node.extra.set(0);
    for end in [CallEnd::NotRun, CallEnd::Failed, CallEnd::Lost] {
        let mut scatter = start_all_but_last(&node, search_plan(1.0), 36);
        assert!(
            node.with(|cx| scatter.call_ended(at(6), 35, end, cx))
                .is_empty()
        );
        let (now, calls, wakes) = drive(&node, &mut scatter, at(6), at(300));
        assert!(
            calls.is_empty() && scatter.verdict(now).is_none(),
            "{end:?}"
        );
        assert!(wakes <= 15, "{wakes} wake-ups");
        node.extra.set(1);
        let (now, calls, _) = drive(&node, &mut scatter, now, at(350));
        assert_eq!(calls.len(), 1, "{end:?}");
        node.with(|cx| scatter.call_ended(now, calls[0].call, CallEnd::Part, cx));
        assert!(matches!(scatter.verdict(now), Some(Verdict::Answer(_))));
    }
}

#[test]
fn verdict_without_budget_answers_in_part_or_fails_at_the_end() {
    let node = TestNode::new(36, 2);
    node.extra.set(0);
    // An answer is due once no attempt is left before the point of answer; the
    // longest interval between attempts is 48 ms.
    for (min_share, is_answer, span) in [
        (0.95, true, at(892)..=at(940)),
        (1.0, false, at(965)..=at(965)),
    ] {
        let mut scatter = start_all_but_last(&node, search_plan(min_share), 36);
        node.with(|cx| scatter.call_ended(at(6), 35, CallEnd::NotRun, cx));
        let (now, _, _) = drive(&node, &mut scatter, at(6), at(2_000));
        let verdict = scatter.verdict(now).unwrap();
        assert!(span.contains(&now), "{now}");
        assert_eq!(verdict.cause().is_none(), is_answer);
    }
}

#[test]
fn wake_at_is_shared_by_shards_that_wait_for_budget() {
    // A node has a quarter of a core: shards that wait for the same budget must
    // not wake their request one by one.
    let node = TestNode::new(36, 2);
    node.extra.set(0);
    let mut scatter = Scatter::new(search_plan(1.0), 36);
    node.with(|cx| scatter.start(at(0), cx));
    for call in 0..36 {
        let now = Time(5_000 + 300 * call as u64);
        node.with(|cx| scatter.call_ended(now, call, CallEnd::NotRun, cx));
    }
    let (_, _, wakes) = drive(&node, &mut scatter, at(16), at(500));
    assert!(wakes <= 40, "{wakes} wake-ups");
}

#[test]
fn tick_at_capacity_waits_while_other_shards_have_parts() {
    // All targets of one shard are at their limit for longer than a request may
    // wait before anything is sent. The parts received so far must not be lost.
    let node = TestNode::new(36, 1);
    let mut scatter = start_all_but_last(&node, plan(1.0), 36);
    node.full.set(true);
    node.with(|cx| scatter.call_ended(at(6), 35, CallEnd::NotRun, cx));
    let (now, calls, wakes) = drive(&node, &mut scatter, at(6), at(400));
    assert!(calls.is_empty() && scatter.verdict(now).is_none());
    assert!(wakes <= 40, "{wakes} wake-ups");
    node.full.set(false);
    let (now, calls, _) = drive(&node, &mut scatter, now, at(450));
    node.with(|cx| scatter.call_ended(now, calls[0].call, CallEnd::Part, cx));
    assert!(matches!(scatter.verdict(now), Some(Verdict::Answer(_))));
}

#[test]
fn tick_quiet_targets_are_called_again_within_the_deadline() {
    // The only target of a shard wants no calls for 300 ms after it refused one.
    let mut node = TestNode::new(36, 1);
    let mut scatter = start_all_but_last(&node, plan(1.0), 36);
    node.quiet.insert(35, at(306));
    node.with(|cx| scatter.call_ended(at(6), 35, CallEnd::NotRun, cx));
    let (now, _, _) = drive(&node, &mut scatter, at(6), at(306));
    assert_eq!(scatter.verdict(now), None);
    node.quiet.clear();
    let (_, calls, _) = drive(&node, &mut scatter, now, at(320));
    assert_eq!(calls.len(), 1);
}

#[test]
fn call_ended_rejected_again_and_again_is_retried_at_growing_intervals() {
    // Targets reject 60% of calls, which four calls in a row meet in one of
    // eight cases.
    for replicas in [1, 3, 8] {
        let node = TestNode::new(1, replicas);
        let mut scatter = Scatter::new(search_plan(1.0), 1);
        let mut calls = node.with(|cx| scatter.start(at(0), cx));
        let (mut now, mut sent) = (at(0), 0);
        while let Some(call) = calls.pop() {
            sent += 1;
            now = now + ms(1);
            calls = node.with(|cx| scatter.call_ended(now, call.call, CallEnd::NotRun, cx));
            if calls.is_empty() {
                (now, calls, _) = drive(&node, &mut scatter, now, at(2_000));
            }
        }
        assert_eq!(now, at(965), "{replicas} targets");
        assert!((8..=32).contains(&sent), "{sent} calls");
        let refused = Verdict::None {
            not_run: true,
            cause: Cause::Refused,
        };
        assert_eq!(scatter.verdict(now), Some(refused));
    }
}

#[test]
fn tick_once_only_request_waits_only_if_not_run() {
    let node = TestNode::new(1, 3);
    for (end, waits) in [
        (CallEnd::NotRun, true),
        (CallEnd::Lost, false),
        (CallEnd::Failed, false),
    ] {
        node.extra.set(0);
        let mut scatter = Scatter::new(once_plan(), 1);
        node.with(|cx| scatter.start(at(0), cx));
        node.with(|cx| scatter.call_ended(at(5), 0, end, cx));
        assert_eq!(scatter.verdict(at(5)).is_none(), waits, "{end:?}");
        node.extra.set(1);
        let (now, calls, _) = drive(&node, &mut scatter, at(5), at(100));
        assert_eq!(calls.len(), usize::from(waits), "{end:?}");
        if waits {
            // The second call may run: nothing else may be sent beside it.
            node.extra.set(9);
            let (_, calls, _) = drive(&node, &mut scatter, now, at(794));
            assert!(calls.is_empty());
        }
    }
}

#[test]
fn call_ended_need_counts_shards_that_an_answer_lacks() {
    // Searches that lack one shard must not wait behind the retries of shards
    // that their answers can do without.
    let cases = [
        (0.95, 1, Need::Optional),
        (1.0, 1, Need::Missing(1)),
        (0.95, 3, Need::Missing(2)),
    ];
    for (min_share, lacking, expected) in cases {
        let node = TestNode::new(36, 1);
        node.extra.set(0);
        let mut scatter = Scatter::new(search_plan(min_share), 36);
        node.with(|cx| scatter.start(at(0), cx));
        for call in 0..lacking {
            node.with(|cx| scatter.call_ended(at(2), call, CallEnd::NotRun, cx));
        }
        node.with(|cx| scatter.tick(at(22), cx));
        assert_eq!(node.needs.borrow().last(), Some(&expected), "{min_share}");
    }
}

#[test]
fn call_ended_quiet_shard_left_out_at_start_is_recalled_when_needed() {
    // One shard is quiet for longer than a request may wait before its first
    // call. When another shard is lost, the answer needs it after all.
    let mut node = TestNode::new(36, 1);
    node.quiet.insert(35, at(300));
    let mut scatter = Scatter::new(plan(0.95), 36);
    assert_eq!(node.with(|cx| scatter.start(at(0), cx)).len(), 35);
    node.with(|cx| scatter.call_ended(at(5), 0, CallEnd::Lost, cx));
    for call in 1..35 {
        node.with(|cx| scatter.call_ended(at(6), call, CallEnd::Part, cx));
    }
    let (now, _, _) = drive(&node, &mut scatter, at(6), at(299));
    assert_eq!(scatter.verdict(now), None);
    node.quiet.clear();
    let (_, calls, _) = drive(&node, &mut scatter, now, at(310));
    assert_eq!(calls.len(), 1);
}

#[test]
fn tried_names_what_was_tried_before_an_early_end() {
    // A request that ends with most of its time left must say why no more could
    // be done.
    let node = TestNode::new(1, 2);
    let mut scatter = Scatter::new(search_plan(1.0), 1);
    node.with(|cx| scatter.start(at(0), cx));
    node.with(|cx| scatter.call_ended(at(1), 0, CallEnd::NotRun, cx));
    node.extra.set(0);
    node.with(|cx| scatter.call_ended(at(2), 1, CallEnd::NotRun, cx));
    let (now, _, _) = drive(&node, &mut scatter, at(2), at(30));
    node.extra.set(2);
    let (now, _, _) = drive(&node, &mut scatter, now, at(100));
    node.with(|cx| scatter.call_ended(now, 2, CallEnd::Lost, cx));
    node.with(|cx| scatter.call_ended(now, 3, CallEnd::Lost, cx));
    assert!(scatter.verdict(now).is_some());
    assert!(scatter.has_half_left(at(0), now) && !scatter.has_half_left(at(0), at(500)));
    let tried: Vec<_> = scatter.tried().map(|t| t.to_string()).collect();
    assert_eq!(tried, ["ran=2/not-run=2/no-budget=1/targets=0-0+0-1"]);
}
