//! Calls to targets that refuse some of them: fewer are refused, and targets in
//! good health stay busy.

mod common;

use std::sync::Arc;

use common::{at, ms, target};
use heatherrun_kernel::Time;
use heatherrun_routing::choice::{Choice, ChoiceConstraints, choose};
use heatherrun_routing::refusals::RefusalLimit;
use heatherrun_routing::target::{Distance, Target};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time to the reply to an accepted call in ms; a refusal takes 1 ms.
const RUN_MS: u64 = 20;

/// A target that runs `slots` calls at a time and rejects a share of the others.
struct TestTarget {
    slots: usize,
    reject_percent: u64,
    running: Vec<u64>,
    drawn: u64,
}

impl TestTarget {
    fn accepts(&mut self, seed: u64) -> bool {
        self.drawn += 1;
        let draw = xxh3_64_with_seed(&self.drawn.to_le_bytes(), seed) % 100;
        self.running.len() < self.slots && draw >= self.reject_percent
    }
}

/// Twelve requests, each of which repeats its call until it is accepted and is
/// then replaced by the next; returns the calls accepted and refused in 5 s.
fn run(mut target: TestTarget, seed: u64, limit: Option<&RefusalLimit>) -> (u32, u32) {
    let (mut accepted, mut refused) = (0, 0);
    for millis in 0..5_000 {
        let now = at(millis);
        let ended = target.running.extract_if(.., |end| *end <= millis).count();
        if let Some(limit) = limit {
            (0..ended).for_each(|_| limit.record_accepted());
        }
        for _ in target.running.len()..12 {
            let in_flight = u32::try_from(target.running.len()).unwrap();
            let may_send = |l: &&RefusalLimit| in_flight < l.max_calls() && l.resume_at() <= now;
            if limit.is_some_and(|l| !may_send(&l)) {
                break;
            }
            if target.accepts(seed) {
                accepted += 1;
                target.running.push(millis + RUN_MS);
                continue;
            }
            refused += 1;
            if let Some(limit) = limit {
                limit.record_refusal(now);
            }
        }
    }
    (accepted, refused)
}

fn runs(slots: usize, reject_percent: u64, seed: u64) -> [(u32, u32); 2] {
    let limit = RefusalLimit::default();
    [None, Some(&limit)].map(|limit| {
        let target = TestTarget {
            slots,
            reject_percent,
            running: Vec::new(),
            drawn: 0,
        };
        run(target, seed, limit)
    })
}

#[test]
fn record_refusal_full_target_is_sent_few_calls_in_vain() {
    for seed in 1..=5 {
        let [(plain, plain_refused), (accepted, refused)] = runs(3, 0, seed);
        assert!(accepted * 10 >= plain * 8, "{accepted} of {plain}");
        assert!(refused * 4 <= plain_refused, "{refused} of {plain_refused}");
    }
}

#[test]
fn record_refusal_random_rejections_leave_the_target_busy() {
    // The target has room for all and accepts 40% of calls. Starving it would
    // lose capacity.
    for seed in 1..=5 {
        let [(plain, _), (accepted, _)] = runs(8, 60, seed);
        assert!(accepted * 10 >= plain * 8, "{accepted} of {plain}");
    }
}

#[test]
fn record_accepted_ends_the_pause() {
    let limit = RefusalLimit::default();
    for _ in 0..16 {
        assert_eq!(limit.max_calls(), u32::MAX);
        limit.record_refusal(at(10));
    }
    assert_eq!((limit.max_calls(), limit.resume_at()), (1, at(20)));
    // Calls that were in flight when the pause began do not prolong it.
    limit.record_refusal(at(11));
    assert_eq!(limit.resume_at(), at(20));
    limit.record_refusal(at(20));
    assert_eq!(limit.resume_at(), at(40));
    limit.record_accepted();
    assert_eq!((limit.max_calls(), limit.resume_at()), (u32::MAX, at(0)));
}

fn choose_with_limits(now: Time, targets: &[Arc<Target>]) -> Choice<'_> {
    let constraints = ChoiceConstraints {
        regions: &[],
        is_excluded: &|_| false,
        next_call: &|t| t.refusals.resume_at(),
        max_calls: &|t| t.refusals.max_calls(),
        node_share: 1.0,
        draw: &|| 0,
    };
    choose(now, targets, &[], &constraints)
}

#[test]
fn choose_shard_whose_targets_all_refuse_is_scarce() {
    // Requests for it wait and are sent no calls that would be refused.
    let targets = [0, 1].map(|n| target(&n.to_string(), Distance::Domain));
    let refuse = |t: &Target, millis: u64| {
        for _ in 0..16 {
            t.record_refusal(at(millis), None);
        }
    };
    refuse(&targets[0], 0);
    let Choice::Target(other) = choose_with_limits(at(5), &targets) else {
        panic!("the other target is free");
    };
    assert_eq!(&*other.entry.id, "1");
    refuse(&targets[1], 5);
    let Choice::Held(until, _) = choose_with_limits(at(6), &targets) else {
        panic!("a target that refuses all is called");
    };
    assert_eq!(until, at(10));
    targets[1].record_reply(at(7), ms(4), None);
    let choice = choose_with_limits(at(8), &targets);
    assert!(matches!(choice, Choice::Target(_)));
}
