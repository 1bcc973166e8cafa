//! Shards whose targets are all silent: left out, tried at a bounded rate and
//! used again soon after their return.

mod common;

use std::sync::Arc;

use common::test_node::TestNode;
use common::{at, ms, plan, target};
use heatherrun_routing::choice::{Choice, ChoiceConstraints, choose};
use heatherrun_routing::scatter::{CallEnd, Cause, Reason, Scatter, Verdict};
use heatherrun_routing::silence::{Silence, silence};
use heatherrun_routing::target::{Distance, Target};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Starts a search of 36 shards of which the first are silent.
fn start(node: &TestNode, min_share: f64, silences: &[Silence]) -> (Scatter, usize) {
    let silences = silences.iter().copied().enumerate();
    *node.silences.borrow_mut() = silences.collect();
    let mut scatter = Scatter::new(plan(min_share), 36);
    let calls = node.with(|cx| scatter.start(at(0), cx)).len();
    (scatter, calls)
}

#[test]
fn start_silent_shard_is_left_out_where_the_minimum_allows() {
    // Searches waited until their point of answer for a shard that was down.
    let cases = [
        (0.95, &[Silence::Silent][..], 35, true),
        (0.95, &[Silence::Trial][..], 36, true),
        (1.0, &[Silence::Silent][..], 36, false),
        (0.95, &[Silence::Silent; 2][..], 36, false),
    ];
    for (min_share, silences, expected_calls, is_left_out) in cases {
        let node = TestNode::new(36, 2);
        let (mut scatter, calls) = start(&node, min_share, silences);
        assert_eq!(calls, expected_calls);
        assert_eq!(scatter.is_trying_silent(), calls == 36 && is_left_out);
        // The calls to the others come first.
        let others = if is_left_out {
            0..35
        } else {
            silences.len()..36
        };
        for call in others {
            node.with(|cx| scatter.call_ended(at(5), call, CallEnd::Part, cx));
        }
        let is_answered = matches!(scatter.verdict(at(5)), Some(Verdict::Answer(_)));
        assert_eq!(is_answered, is_left_out, "{min_share} {silences:?}");
        if is_left_out {
            assert_eq!(scatter.missing().collect::<Vec<_>>(), [(0, Cause::Silent)]);
        }
    }
}

#[test]
fn call_ended_left_out_shard_is_recalled_when_needed() {
    let node = TestNode::new(36, 1);
    let (mut scatter, _) = start(&node, 0.95, &[Silence::Silent]);
    let calls = node.with(|cx| scatter.call_ended(at(5), 7, CallEnd::Lost, cx));
    assert_eq!(calls.len(), 1);
    assert_eq!((calls[0].shard, calls[0].reason), (0, Reason::First));
    assert_eq!(scatter.verdict(at(5)), None);
}

/// Leaves calls without replies until the target is silent.
fn silence_target(target: &Target) {
    target.record_overdue(at(20), at(0));
    target.record_overdue(at(460), at(440));
}

#[test]
fn silence_target_that_replies_is_not_silent() {
    let targets = [0, 1].map(|n| target(&n.to_string(), Distance::Domain));
    assert_eq!(silence(at(1_000), &targets, |_| true), Silence::None);
    silence_target(&targets[0]);
    assert_eq!(silence(at(1_000), &targets, |_| true), Silence::None);
    // The other target may not serve the request.
    let may_serve = |t: &Target| &*t.entry.id == "0";
    assert_eq!(silence(at(1_000), &targets, may_serve), Silence::Trial);
    silence_target(&targets[1]);
    assert_eq!(silence(at(1_000), &targets, |_| true), Silence::Trial);
    targets[1].record_sent(at(1_000));
    assert_eq!(silence(at(1_001), &targets, |_| true), Silence::Silent);
    targets[1].record_refusal(at(1_002), None);
    assert_eq!(silence(at(1_003), &targets, |_| true), Silence::None);
    assert_eq!(silence(at(1_003), &[], |_| true), Silence::None);
}

#[test]
fn silence_shard_is_used_within_a_second_of_the_return_of_a_target() {
    let constraints = ChoiceConstraints {
        regions: &[],
        is_excluded: &|_| false,
        next_call: &|_| at(0),
        max_calls: &|_| 2,
        node_share: 1.0,
        draw: &|| 0,
    };
    for (count, seed) in [1, 2, 3, 5, 8]
        .into_iter()
        .flat_map(|n| [(n, 1), (n, 2), (n, 3)])
    {
        let targets: Vec<_> = (0..count)
            .map(|n| target(&format!("{n}"), Distance::Domain))
            .collect();
        for target in &targets {
            silence_target(target);
        }
        let drawn = xxh3_64_with_seed(b"return", seed);
        let back = Arc::clone(&targets[usize::try_from(drawn % count).unwrap()]);
        let back_at = 5_000 + drawn % 1_000;
        let (mut trials, mut open) = (0, Vec::new());
        for millis in (1_000..8_000).step_by(16) {
            let now = at(millis);
            for (late, _) in open.extract_if(.., |(_, end): &mut (Arc<Target>, u64)| *end <= millis)
            {
                late.record_call_end();
                late.record_min_latency(now, ms(300));
            }
            match silence(now, &targets, |_| true) {
                Silence::Silent => continue,
                Silence::Trial => trials += 1,
                Silence::None => {
                    assert!(
                        millis <= back_at + 1_000,
                        "{count} targets: {} ms",
                        millis - back_at
                    );
                    break;
                }
            }
            let Choice::Target(chosen) = choose(now, &targets, &[], &constraints) else {
                continue;
            };
            chosen.record_sent(now);
            if millis >= back_at && chosen.entry.id == back.entry.id {
                chosen.record_call_end();
                chosen.record_reply(now, ms(5), None);
            } else {
                open.push((Arc::clone(chosen), millis + 300));
            }
        }
        assert!(
            !back.is_silent(at(8_000)),
            "{count} targets: never used again"
        );
        assert!(trials <= 10 * 6, "{count} targets: {trials} trials");
    }
}
