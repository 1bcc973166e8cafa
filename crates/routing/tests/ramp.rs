//! Tests of the slow start of targets by their answers: nodes and one target are
//! simulated in steps of a millisecond, without a network.

mod common;

use std::{collections::VecDeque, sync::Arc};

use common::{at, entry, location, ms, target};
use heatherrun_kernel::routes::{Name, TargetEntry};
use heatherrun_kernel::site::TargetLoad;
use heatherrun_routing::choice::{Choice, ChoiceConstraints, choose};
use heatherrun_routing::fleet::Fleet;
use heatherrun_routing::ramp::{Answer, others_micros};
use heatherrun_routing::target::{Distance, Target};

/// Calls that the simulated target runs at a time, and that may wait.
const SLOTS: usize = 4;
const QUEUE: usize = 24;

/// Usual latency of a call in milliseconds.
const USUAL_MS: u64 = 10;

/// One node: a target that has long been known and the one that returns.
struct Node {
    targets: [Arc<Target>; 2],
    usual: u32,
    share: f64,
}

impl Node {
    fn new(usual: u32, share: f64) -> Self {
        let known = target("known", Distance::Domain);
        let node = Self {
            targets: [known, target("returned", Distance::Domain)],
            usual,
            share,
        };
        node.refresh(0);
        node
    }

    /// The known target replies at the usual latency.
    fn refresh(&self, now: u64) {
        self.targets[0].record_reply(at(now), ms(USUAL_MS), None);
        self.targets[0].pace.record(at(now), &load(0, None));
    }

    /// Whether a call may be sent to the returned target.
    fn may_call(&self, now: u64, is_out: bool) -> bool {
        let constraints = ChoiceConstraints {
            regions: &[],
            is_excluded: &|_| is_out,
            next_call: &|_| at(0),
            max_calls: &|_| self.usual,
            node_share: self.share,
            draw: &|| 0,
        };
        let tried = [Name::from("known")];
        let choice = choose(at(now), &self.targets, &tried, &constraints);
        matches!(choice, Choice::Target(_))
    }

    fn is_ramping(&self) -> bool {
        self.targets[1].ramp.is_active()
    }

    fn answered(&self, now: u64, sent: u64, waiting: u32, is_rejected: bool) {
        let target = &self.targets[1];
        target.pace.record(at(now), &load(waiting, None));
        target.record_call_end();
        if is_rejected {
            target.record_refusal(at(now), None);
        } else {
            target.record_reply(at(now), ms(now - sent), None);
        }
        let answer = Answer {
            sent_at: at(sent),
            is_rejected,
            is_crowded: target.pace.is_crowded(),
            others: others_micros(at(now), target, &self.targets),
            usual: self.usual,
        };
        target.ramp.record_answer(at(now), &answer);
    }
}

fn load(waiting: u32, pace: Option<u16>) -> TargetLoad {
    TargetLoad {
        running: 1,
        waiting,
        slots: 4,
        pace,
    }
}

/// Nodes that call one target, and what was seen.
struct World {
    nodes: Vec<Node>,
    /// Calls at the target: node and time of sending.
    waiting: VecDeque<(usize, u64)>,
    running: Vec<(u64, usize, u64)>,
    /// Calls per second that callers want of all nodes together.
    per_sec: u64,
    latency: u64,
    wanted: u64,
    max_calls: usize,
    rejected: usize,
    answered: usize,
    /// Number of calls in excess of its queue on which the target crashes, those
    /// since its start, and the number of crashes.
    crash_on: usize,
    excess: usize,
    crashes: usize,
    down_until: u64,
}

impl World {
    fn new(nodes: u16, usual: u32, per_sec: u64, latency: u64) -> Self {
        let share = 1.0 / f64::from(nodes);
        Self {
            nodes: (0..nodes).map(|_| Node::new(usual, share)).collect(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            per_sec,
            latency,
            wanted: 0,
            max_calls: 0,
            rejected: 0,
            answered: 0,
            crash_on: usize::MAX,
            excess: 0,
            crashes: 0,
            down_until: 0,
        }
    }

    /// Runs from `from` to `to`; calls that find no room are sent elsewhere. The
    /// target stands still in `pause`.
    fn run(&mut self, from: u64, to: u64, pause: impl Fn(u64) -> bool) {
        for now in from..to {
            self.nodes.iter().for_each(|n| n.refresh(now));
            if !pause(now) {
                self.serve(now);
            }
            let wanted = now * self.per_sec / 1_000;
            for call in self.wanted..wanted {
                // A step that has no factor in common with the number of nodes.
                let node = usize::try_from(call).unwrap() * 7 % self.nodes.len();
                self.send(now, node, pause(now));
            }
            self.wanted = wanted;
            for (node, sent) in &self.waiting {
                if now - sent == 4 * USUAL_MS {
                    self.nodes[*node].targets[1].record_overdue(at(now), at(*sent));
                }
            }
        }
    }

    fn send(&mut self, now: u64, ix: usize, is_paused: bool) {
        let node = &self.nodes[ix];
        // Requests use the other target while this one is avoided.
        if !node.may_call(now, false) || node.targets[1].is_avoided(at(now)) {
            return;
        }
        if now < self.down_until {
            node.targets[1].record_failure(at(now));
            return;
        }
        node.targets[1].record_sent(at(now));
        if self.waiting.len() >= QUEUE && !is_paused {
            self.rejected += 1;
            let waiting = u32::try_from(self.waiting.len()).unwrap();
            node.answered(now, now, waiting, true);
            self.excess += 1;
            if self.excess >= self.crash_on {
                self.crash(now);
            }
            return;
        }
        self.waiting.push_back((ix, now));
        let calls = self.waiting.len() + self.running.len();
        self.max_calls = self.max_calls.max(calls);
        if !is_paused {
            self.fill_slots(now);
        }
    }

    fn serve(&mut self, now: u64) {
        let waiting = u32::try_from(self.waiting.len()).unwrap();
        let (nodes, answered) = (&self.nodes, &mut self.answered);
        self.running.retain(|(end, node, sent)| {
            if *end <= now {
                nodes[*node].answered(now, *sent, waiting, false);
                *answered += 1;
            }
            *end > now
        });
        self.fill_slots(now);
    }

    fn fill_slots(&mut self, now: u64) {
        while self.running.len() < SLOTS
            && let Some((node, sent)) = self.waiting.pop_front()
        {
            self.running.push((now + self.latency, node, sent));
        }
    }

    /// All calls are lost, and the target is away for one and a half seconds.
    fn crash(&mut self, now: u64) {
        self.crashes += 1;
        self.excess = 0;
        self.down_until = now + 1_500;
        let running = self.running.drain(..).map(|(_, node, _)| node);
        let waiting = self.waiting.drain(..).map(|(node, _)| node);
        for node in running.chain(waiting) {
            self.nodes[node].targets[1].record_failure(at(now));
            self.nodes[node].targets[1].record_call_end();
        }
    }

    fn ramping(&self) -> usize {
        self.nodes.iter().filter(|n| n.is_ramping()).count()
    }
}

const NEVER: fn(u64) -> bool = |_| false;

#[test]
fn limit_healthy_target_is_in_full_use_within_two_seconds() {
    // A new target must neither be flooded nor left idle, by one node or many.
    for (nodes, usual) in [(1, 15), (25, 3), (25, 8)] {
        let mut world = World::new(nodes, usual, 320, USUAL_MS);
        world.run(1, 2_000, NEVER);
        assert_eq!((world.rejected, world.ramping()), (0, 0), "{nodes} nodes");
        assert!(world.max_calls <= SLOTS + QUEUE, "{}", world.max_calls);
        let before = world.answered;
        world.run(2_000, 3_000, NEVER);
        assert!(
            world.answered - before >= 310,
            "{nodes}: {}",
            world.answered - before
        );
    }
}

#[test]
fn limit_flood_begins_with_one_call_of_each_of_many_nodes() {
    // All nodes want to send many calls at the moment at which a target starts.
    let mut world = World::new(25, 8, 200_000, USUAL_MS);
    world.run(1, 9, NEVER);
    assert_eq!((world.max_calls, world.rejected), (25, 0));
    // More than the target can do for two seconds: it works all the time and is
    // sent hardly more than it takes.
    world.run(9, 2_000, NEVER);
    assert!(world.answered >= 780, "{}", world.answered);
    assert_eq!((world.max_calls, world.rejected), (25, 0));
}

#[test]
fn limit_slow_target_keeps_a_small_window() {
    // At half and tenth speed nodes must not fill its queue, nor leave it idle.
    for (nodes, usual) in [(1, 15), (25, 8)] {
        for latency in [2 * USUAL_MS, 10 * USUAL_MS] {
            let mut world = World::new(nodes, usual, 1_000, latency);
            world.run(1, 3_000, NEVER);
            let capacity = 3_000 * SLOTS / usize::try_from(latency).unwrap();
            assert_eq!(world.rejected, 0);
            assert!(world.max_calls <= SLOTS + QUEUE);
            assert!(
                world.answered * 5 >= capacity,
                "{} of {capacity}",
                world.answered
            );
        }
    }
}

#[test]
fn limit_target_that_is_fast_again_returns_to_full_use() {
    // A machine that was slow for some time is a recovered target.
    let mut world = World::new(25, 8, 320, USUAL_MS);
    world.run(1, 2_000, NEVER);
    world.latency = 10 * USUAL_MS;
    world.run(2_000, 6_000, NEVER);
    assert!(world.ramping() > 20, "{}", world.ramping());
    world.latency = USUAL_MS;
    let rejected = world.rejected;
    world.run(6_000, 8_000, NEVER);
    let before = world.answered;
    world.run(8_000, 9_000, NEVER);
    assert_eq!((world.rejected - rejected, world.ramping()), (0, 0));
    assert!(
        world.answered - before >= 310,
        "{}",
        world.answered - before
    );
}

#[test]
fn limit_short_regular_pauses_are_no_recovery() {
    // 250 ms every 3 s are usual; a slow start each time would leave it idle.
    let mut world = World::new(5, 6, 320, USUAL_MS);
    world.run(1, 2_900, NEVER);
    for now in 2_900..15_000 {
        world.run(now, now + 1, |now| now % 3_000 < 250);
        assert_eq!(world.ramping(), 0, "at {now} ms");
    }
}

#[test]
fn limit_long_silence_and_crash_are_a_recovery() {
    // After two seconds without an answer all nodes have calls for the target.
    let mut world = World::new(25, 8, 320, USUAL_MS);
    world.run(1, 3_000, NEVER);
    assert_eq!(world.ramping(), 0);
    world.run(3_000, 5_001, |now| now < 5_000);
    assert_eq!(world.ramping(), 25);
    world.run(5_001, 7_000, NEVER);
    assert_eq!((world.rejected, world.ramping()), (0, 0));
    let before = world.answered;
    world.run(7_000, 8_000, NEVER);
    assert!(
        world.answered - before >= 310,
        "{}",
        world.answered - before
    );
}

#[test]
fn limit_target_that_crashed_on_a_flood_is_not_flooded_again() {
    // The usual limits of all nodes together crash it; the same calls wait for
    // its return.
    let mut world = World::new(25, 8, 320, USUAL_MS);
    world.crash_on = 20;
    world.run(1, 3_000, NEVER);
    assert_eq!((world.crashes, world.ramping()), (0, 0));
    world.per_sec = 5_000;
    world.wanted = 3_000 * 5;
    world.run(3_000, 3_100, NEVER);
    assert_eq!(world.crashes, 1);
    let before = world.answered;
    world.run(3_100, 9_000, NEVER);
    assert_eq!(world.crashes, 1);
    let answered = world.answered - before;
    assert!(answered >= 1_600, "{answered} in 4.4 s");
}

#[test]
fn limit_domain_that_returns_starts_small() {
    let node = Node::new(8, 0.04);
    let returned = &node.targets[1];
    returned.ramp.limit(at(0), 8, 1, || false);
    assert!(!node.is_ramping());
    for now in [1_000, 3_000, 6_000] {
        assert!(!node.may_call(now, true));
    }
    assert!(node.may_call(6_001, false));
    assert!(node.is_ramping());
    returned.record_sent(at(6_001));
    assert!(!node.may_call(6_002, false));
}

#[test]
fn limit_without_load_in_replies_is_the_usual_one() {
    // Earlier deployments have no such figures and must be served as before.
    let target = target("a", Distance::Domain);
    for now in 0..100 {
        target.record_overdue(at(now * 100 + 50), at(now * 100));
        assert_eq!(target.ramp.limit(at(now * 100), 8, 1, || false), 8);
    }
    assert!(!target.ramp.is_active());
}

#[test]
fn release_ends_slow_start_of_target_without_load() {
    // Its answers would not count, and the window would stay small for good.
    let target = target("a", Distance::Domain);
    assert_eq!(target.ramp.limit(at(1), 8, 1, || true), 1);
    target.ramp.release();
    assert_eq!(target.ramp.limit(at(2), 8, 1, || true), 8);
}

#[test]
fn apply_report_new_incarnation_keeps_that_load_is_reported() {
    // All targets of a service may restart at once; nobody else reports then.
    let mut fleet = Fleet::default();
    let report = |fleet: &mut Fleet, born| {
        let entry = TargetEntry { born, ..entry("a") };
        fleet.apply_report(at(born), entry, location(Distance::Domain));
        Arc::clone(&fleet.services()[&Name::from("lots")][0])
    };
    let first = report(&mut fleet, 1);
    assert!(!first.pace.reports_load());
    first.pace.record(at(1), &load(0, None));
    assert!(report(&mut fleet, 2).pace.reports_load());
    fleet.remove(at(3), "a");
    assert!(report(&mut fleet, 4).pace.reports_load());
}
