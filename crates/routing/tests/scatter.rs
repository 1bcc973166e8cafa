//! One request from its first calls to its answer.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;

use common::{at, ms, plan, target};
use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Name, Repeat};
use heatherrun_routing::plan::Plan;
use heatherrun_routing::scatter::{
    CallEnd, Cause, Chosen, Context, Reason, Scatter, Send, Verdict,
};
use heatherrun_routing::target::{Distance, Target};
use proptest::prelude::*;

/// Targets of each shard, and what the budget allows.
struct World {
    shards: Vec<Vec<Arc<Target>>>,
    extra: Cell<u32>,
    full: Cell<bool>,
}

impl World {
    fn new(shards: usize, replicas: usize) -> Self {
        let replica = |shard: usize, n: usize| {
            let distance = if n == 0 {
                Distance::Domain
            } else {
                Distance::Far
            };
            target(&format!("{shard}-{n}"), distance)
        };
        let shard = |shard| (0..replicas).map(|n| replica(shard, n)).collect();
        Self {
            shards: (0..shards).map(shard).collect(),
            extra: Cell::new(u32::MAX),
            full: Cell::new(false),
        }
    }

    fn with<R>(&self, decision: impl FnOnce(&Context<'_>) -> R) -> R {
        let context = Context {
            choose: &|slot, tried| {
                if self.full.get() {
                    return Chosen::NoRoom;
                }
                let fresh = |t: &&Arc<Target>| !tried.contains(&t.entry.id) && t.is_open();
                match self.shards[slot].iter().find(fresh) {
                    Some(found) => Chosen::Target(Arc::clone(found)),
                    None => Chosen::NoTarget,
                }
            },
            take_extra: &|_| {
                let left = self.extra.get();
                self.extra.set(left.saturating_sub(1));
                left > 0
            },
            delay: &|_| ms(20),
        };
        decision(&context)
    }
}

fn ids(sends: &[Send]) -> Vec<String> {
    sends
        .iter()
        .map(|s| s.target.entry.id.to_string())
        .collect()
}

fn once() -> Plan {
    Plan {
        repeat: Repeat::Once,
        answer_by: at(794),
        ..plan(1.0)
    }
}

#[test]
fn start_sends_one_call_to_each_shard_and_answers_when_all_are_in() {
    let world = World::new(3, 2);
    let mut scatter = Scatter::new(plan(0.75), 3);
    let sends = world.with(|cx| scatter.start(at(0), cx));
    assert_eq!(ids(&sends), ["0-0", "1-0", "2-0"]);
    for call in 0..3 {
        assert_eq!(scatter.verdict(at(10)), None);
        world.with(|cx| scatter.ended(at(10), call, CallEnd::Part, cx));
    }
    let all = vec![Some(0), Some(1), Some(2)];
    assert_eq!(scatter.verdict(at(10)), Some(Verdict::Answer(all)));
}

#[test]
fn tick_overdue_call_is_hedged_once_and_its_target_avoided() {
    let world = World::new(1, 3);
    let mut scatter = Scatter::new(plan(1.0), 1);
    let first = world.with(|cx| scatter.start(at(0), cx));
    assert_eq!(scatter.wake_at(at(0)), at(20));
    let hedges = world.with(|cx| scatter.tick(at(20), cx));
    assert_eq!(ids(&hedges), ["0-1"]);
    assert_eq!(hedges[0].reason, Reason::Hedge);
    assert!(first[0].target.is_avoided(at(21)));
    let more = world.with(|cx| scatter.tick(at(60), cx));
    assert!(more.is_empty(), "two attempts are the most");
    world.with(|cx| scatter.ended(at(61), 1, CallEnd::Part, cx));
    assert_eq!(
        scatter.verdict(at(61)),
        Some(Verdict::Answer(vec![Some(1)]))
    );
}

#[test]
fn tick_hedge_waits_while_the_other_target_queues() {
    // Pattern: a burst while many searchers work ten times as long; hedges
    // would fill the queues of those that are left.
    let world = World::new(1, 2);
    let mut scatter = Scatter::new(plan(1.0), 1);
    world.with(|cx| scatter.start(at(0), cx));
    world.shards[0][1].replied(at(10), ms(40), Some(6));
    assert!(world.with(|cx| scatter.tick(at(20), cx)).is_empty());
    world.shards[0][1].replied(at(22), ms(40), Some(2));
    let now = scatter.wake_at(at(20));
    assert_eq!(ids(&world.with(|cx| scatter.tick(now, cx))), ["0-1"]);
}

#[test]
fn ended_refused_by_all_targets_is_tried_again_when_their_queues_are_shorter() {
    // Pattern: searchers shed for some tens of milliseconds.
    let world = World::new(2, 1);
    let mut scatter = Scatter::new(
        Plan {
            room_by: at(90),
            ..plan(1.0)
        },
        2,
    );
    world.with(|cx| scatter.start(at(0), cx));
    let none = world.with(|cx| scatter.ended(at(5), 0, CallEnd::NotRun, cx));
    assert!(none.is_empty());
    assert_eq!(scatter.verdict(at(5)), None);
    let again = scatter.wake_at(at(5));
    assert!(again <= at(25));
    assert_eq!(ids(&world.with(|cx| scatter.tick(at(25), cx))), ["0-0"]);
}

#[test]
fn tick_without_budget_sends_no_hedge() {
    let world = World::new(1, 3);
    world.extra.set(0);
    let mut scatter = Scatter::new(plan(1.0), 1);
    world.with(|cx| scatter.start(at(0), cx));
    assert!(world.with(|cx| scatter.tick(at(20), cx)).is_empty());
    assert!(scatter.wake_at(at(20)) > at(20));
}

#[test]
fn verdict_answers_with_enough_shards_just_before_the_objective() {
    // Pattern: a shard's searchers all stand still; nine of ten in time are
    // worth more than ten of ten late.
    let world = World::new(10, 1);
    let mut scatter = Scatter::new(plan(0.89), 10);
    world.with(|cx| scatter.start(at(0), cx));
    for call in 0..9 {
        world.with(|cx| scatter.ended(at(15), call, CallEnd::Part, cx));
    }
    assert_eq!(scatter.verdict(at(66)), None);
    let Some(Verdict::Answer(parts)) = scatter.verdict(at(67)) else {
        panic!("no answer at the objective");
    };
    assert_eq!(parts.iter().flatten().count(), 9);
    assert_eq!(parts[9], None);
}

#[test]
fn verdict_waits_on_while_coverage_is_short_and_answers_once_it_is_not() {
    let world = World::new(10, 1);
    let mut scatter = Scatter::new(plan(0.89), 10);
    world.with(|cx| scatter.start(at(0), cx));
    for call in 0..8 {
        world.with(|cx| scatter.ended(at(15), call, CallEnd::Part, cx));
    }
    assert_eq!(scatter.verdict(at(100)), None);
    world.with(|cx| scatter.ended(at(120), 8, CallEnd::Part, cx));
    assert!(matches!(scatter.verdict(at(120)), Some(Verdict::Answer(_))));
}

#[test]
fn verdict_gives_up_at_once_when_coverage_cannot_be_reached() {
    // Pattern: a request that is given up gets its final answer at once.
    let world = World::new(4, 1);
    let mut scatter = Scatter::new(plan(0.75), 4);
    world.with(|cx| scatter.start(at(0), cx));
    world.with(|cx| scatter.ended(at(5), 0, CallEnd::Lost, cx));
    assert_eq!(scatter.verdict(at(5)), None);
    world.with(|cx| scatter.ended(at(6), 1, CallEnd::Lost, cx));
    let lost = Verdict::None {
        not_run: false,
        cause: Cause::Lost,
    };
    assert_eq!(scatter.verdict(at(6)), Some(lost));
}

#[test]
fn verdict_no_target_is_refused_as_not_run_at_once() {
    let world = World::new(1, 0);
    let mut scatter = Scatter::new(plan(1.0), 1);
    world.with(|cx| scatter.start(at(0), cx));
    let refused = Verdict::None {
        not_run: true,
        cause: Cause::NoTarget,
    };
    assert_eq!(scatter.verdict(at(0)), Some(refused));
}

#[test]
fn launch_without_room_is_put_off_but_refused_within_a_fifth_of_the_objective() {
    let world = World::new(1, 2);
    world.full.set(true);
    let mut scatter = Scatter::new(plan(1.0), 1);
    world.with(|cx| scatter.start(at(0), cx));
    let mut now = at(0);
    while scatter.verdict(now).is_none() {
        now = scatter.wake_at(now);
        world.with(|cx| scatter.tick(now, cx));
    }
    assert!(now >= at(16) && now <= at(20), "{now}");
    let refused = Verdict::None {
        not_run: true,
        cause: Cause::NoRoom,
    };
    assert_eq!(scatter.verdict(now), Some(refused));
}

#[test]
fn ended_once_only_call_is_repeated_only_when_it_did_not_run() {
    for (end, repeated) in [
        (CallEnd::NotRun, true),
        (CallEnd::NotSent, true),
        (CallEnd::Lost, false),
        (CallEnd::Failed, false),
    ] {
        let world = World::new(1, 3);
        let mut scatter = Scatter::new(once(), 1);
        world.with(|cx| scatter.start(at(0), cx));
        assert!(
            world.with(|cx| scatter.tick(at(500), cx)).is_empty(),
            "no hedge"
        );
        let sends = world.with(|cx| scatter.ended(at(510), 0, end, cx));
        assert_eq!(!sends.is_empty(), repeated, "{end:?}");
        let not_run = match scatter.verdict(at(510)) {
            None => continue,
            Some(Verdict::None { not_run, .. }) => not_run,
            Some(answer) => panic!("{answer:?}"),
        };
        assert!(!not_run, "{end:?} may have run");
    }
}

#[test]
fn verdict_open_call_at_the_deadline_is_no_proof_of_not_run() {
    let world = World::new(1, 1);
    let mut scatter = Scatter::new(once(), 1);
    world.with(|cx| scatter.start(at(0), cx));
    let late = Verdict::None {
        not_run: false,
        cause: Cause::Late,
    };
    assert_eq!(scatter.verdict(at(794)), Some(late));
}

/// What happens to the calls of one request, in order.
fn ends() -> impl Strategy<Value = Vec<(u8, u8, u16)>> {
    prop::collection::vec((0..6_u8, any::<u8>(), 0..60_u16), 0..60)
}

proptest! {
    #![proptest_config(common::fixed())]

    /// Attempts, budget, "not run" and coverage hold whatever happens.
    #[test]
    fn scatter_any_events_keep_every_bound(
        ends in ends(),
        shards in 1..8_usize,
        is_once in any::<bool>(),
        extra in 0..6_u32,
    ) {
        let world = World::new(shards, 4);
        world.extra.set(extra);
        let chosen = if is_once { once() } else { plan(0.75) };
        let shards = if is_once { 1 } else { shards };
        let mut scatter = Scatter::new(chosen, shards);
        let open: RefCell<Vec<Send>> = RefCell::default();
        let mut ran: HashMap<usize, u16> = HashMap::new();
        let mut parts = 0;
        let mut tried: Vec<Name> = Vec::new();
        let mut note = |sends: Vec<Send>| {
            for send in sends {
                assert!(!tried.contains(&send.target.entry.id), "a target twice");
                tried.push(Arc::clone(&send.target.entry.id));
                open.borrow_mut().push(send);
            }
        };
        let mut now = at(0);
        note(world.with(|cx| scatter.start(now, cx)));
        for (end, pick, step) in ends {
            now = now + ms(u64::from(step));
            note(world.with(|cx| scatter.tick(now, cx)));
            if scatter.verdict(now).is_some() || open.borrow().is_empty() {
                break;
            }
            let at = usize::from(pick) % open.borrow().len();
            let send = open.borrow_mut().remove(at);
            let end = match end {
                0 | 1 => CallEnd::Part,
                2 => CallEnd::NotSent,
                3 => CallEnd::NotRun,
                4 => CallEnd::Failed,
                _ => CallEnd::Lost,
            };
            if !matches!(end, CallEnd::NotSent | CallEnd::NotRun) {
                *ran.entry(send.slot).or_default() += 1;
            }
            parts += usize::from(end == CallEnd::Part);
            note(world.with(|cx| scatter.ended(now, send.call, end, cx)));
        }
        for slot in 0..shards {
            let flying = open.borrow().iter().filter(|s| s.slot == slot).count();
            let may_have_run = usize::from(ran.get(&slot).copied().unwrap_or(0)) + flying;
            let most = if is_once { 1 } else { 2 };
            prop_assert!(may_have_run <= most, "{} calls may have run", may_have_run);
        }
        let any_ran = !ran.is_empty() || !open.borrow().is_empty();
        match scatter.verdict(now) {
            Some(Verdict::None { not_run, .. }) => prop_assert_eq!(not_run, !any_ran),
            Some(Verdict::Answer(chosen)) => {
                let done = chosen.iter().flatten().count();
                prop_assert!(done > 0 && done <= parts);
                prop_assert!(done * 4 >= shards * 3, "{} of {}", done, shards);
            }
            None => prop_assert!(now < Time::from_millis(794)),
        }
    }
}
