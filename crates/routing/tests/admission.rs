//! Admission against a model of targets with a fixed number of slots, on a clock
//! that the model advances.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_routing::admission::limit::{INITIAL_LIMIT, MIN_LIMIT};
use heatherrun_routing::admission::{
    Answer, Arrival, Class, Controller, Decision, Ticket, retry_after,
};

const SLOTS: usize = 20;
const SERVICE_MS: u64 = 40;
/// Requests per second that the targets complete.
const CAPACITY: f64 = 500.0;
/// Calls that the targets usually queue before they reject.
const QUEUE: usize = 60;
const OBJECTIVE: Duration = Duration::from_millis(200);
/// Step of the clock.
const STEP: Duration = Duration::from_millis(1);

/// One stream of requests at an even rate, which changes during the overload.
struct Stream {
    team: &'static str,
    priority: u8,
    usual: f64,
    overload: f64,
}

const fn stream(team: &'static str, priority: u8, usual: f64, overload: f64) -> Stream {
    Stream {
        team,
        priority,
        usual,
        overload,
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    arrived: u32,
    started: u32,
    kept: u32,
    refused: u32,
}

#[derive(Clone, Copy)]
struct Running {
    stream: usize,
    arrived: Time,
    started: Time,
}

struct Model {
    controller: Controller<usize>,
    service: Name,
    /// Waiting requests by waker, with the end of their wait.
    waiting: BTreeMap<usize, (Ticket, Time, Running)>,
    next: usize,
    slots: Vec<(Time, Running)>,
    queue: VecDeque<Running>,
    /// Counts by stream during the measured time.
    tallies: Vec<Tally>,
    has_controller: bool,
    /// Calls rejected for another reason than load: each of this many; zero for
    /// none.
    reject_each: u32,
    /// Calls that the targets queue before they reject.
    max_queue: usize,
}

impl Model {
    fn new(streams: usize, has_controller: bool) -> Self {
        Self {
            controller: Controller::default(),
            service: Name::from("shard"),
            waiting: BTreeMap::new(),
            next: 0,
            slots: Vec::new(),
            queue: VecDeque::new(),
            tallies: vec![Tally::default(); streams],
            has_controller,
            reject_each: 0,
            max_queue: QUEUE,
        }
    }

    fn arrive(&mut self, now: Time, ix: usize, stream: &Stream) {
        self.tallies[ix].arrived += 1;
        let request = Running {
            stream: ix,
            arrived: now,
            started: now,
        };
        if !self.has_controller {
            self.send(now, request);
            return;
        }
        let arrival = Arrival {
            class: Class {
                team: Some(Name::from(stream.team)),
                priority: stream.priority,
            },
            allowance: Some(stream.usual),
            objective: OBJECTIVE,
            due: now + OBJECTIVE,
            end: now + OBJECTIVE * 2,
        };
        let waker = self.next;
        self.next += 1;
        match self.controller.arrive(now, arrival, || waker) {
            Decision::Start => self.send(now, request),
            Decision::Wait(ticket, until) => {
                self.waiting.insert(waker, (ticket, until, request));
            }
            Decision::Refuse => self.tallies[ix].refused += 1,
        }
        self.start_ready(now);
    }

    fn start_ready(&mut self, now: Time) {
        while let Some(waker) = self.controller.pop_ready(now) {
            let (.., request) = self.waiting.remove(&waker).unwrap();
            let started = now;
            self.send(now, Running { started, ..request });
        }
    }

    /// Sends the call of a started request; a full target rejects it.
    fn send(&mut self, now: Time, request: Running) {
        self.tallies[request.stream].started += 1;
        let started: u32 = self.tallies.iter().map(|t| t.started).sum();
        let is_faulty = self.reject_each > 0 && started.is_multiple_of(self.reject_each);
        if !is_faulty && self.slots.len() < SLOTS {
            let done = now + Duration::from_millis(SERVICE_MS);
            self.slots.push((done, request));
        } else if !is_faulty && self.queue.len() < self.max_queue {
            self.queue.push_back(request);
        } else {
            self.controller.record_call(&self.service, true);
            self.end(now, request, false);
        }
    }

    fn end(&mut self, now: Time, request: Running, is_answered: bool) {
        let is_kept = is_answered && now.since(request.arrived) <= OBJECTIVE;
        self.tallies[request.stream].kept += u32::from(is_kept);
        let took_share = now.since(request.started).div_duration_f64(OBJECTIVE);
        let answer = Answer {
            is_kept,
            took_share,
        };
        if self.has_controller {
            self.controller.end(now, request.started, Some(answer));
        }
    }

    fn tick(&mut self, now: Time) {
        let (done, slots) = self.slots.iter().partition(|(at, _)| *at <= now);
        self.slots = slots;
        let done: Vec<(Time, Running)> = done;
        while self.slots.len() < SLOTS
            && let Some(next) = self.queue.pop_front()
        {
            let done = now + Duration::from_millis(SERVICE_MS);
            self.slots.push((done, next));
        }
        for (_, request) in done {
            let load = self.slots.len() + self.queue.len();
            self.controller
                .record_call(&self.service, load >= SLOTS * 2);
            self.end(now, request, true);
            self.start_ready(now);
        }
        let expired = |(_, until, _): &mut (Ticket, Time, Running)| *until <= now;
        let over: Vec<_> = self.waiting.extract_if(.., |_, w| expired(w)).collect();
        for (_, (ticket, _, request)) in over {
            assert!(self.controller.leave(ticket));
            self.tallies[request.stream].refused += 1;
        }
    }

    /// Plays the streams from one second to another and returns their counts.
    fn play(&mut self, streams: &[Stream], from: u64, to: u64, is_overload: bool) -> Vec<Tally> {
        self.tallies = vec![Tally::default(); streams.len()];
        let mut due = vec![0.0; streams.len()];
        for millis in from * 1_000..to * 1_000 {
            let now = Time::from_millis(millis);
            self.tick(now);
            for (ix, stream) in streams.iter().enumerate() {
                let rate = if is_overload {
                    stream.overload
                } else {
                    stream.usual
                };
                due[ix] += rate * STEP.as_secs_f64();
                while due[ix] >= 1.0 {
                    due[ix] -= 1.0;
                    self.arrive(now, ix, stream);
                }
            }
        }
        self.tallies.clone()
    }
}

/// Share of the requests that kept their objective.
fn kept_share(tally: &Tally) -> f64 {
    f64::from(tally.kept) / f64::from(tally.arrived)
}

/// Asserts what holds in any overload, and returns the counts by stream.
fn play_overload(streams: &[Stream], max_queue: usize) -> Vec<Tally> {
    let mut model = Model::new(streams.len(), true);
    model.max_queue = max_queue;
    let before = model.play(streams, 0, 3, false);
    for tally in &before {
        assert_eq!(
            (tally.refused, tally.started),
            (0, tally.arrived),
            "no effect"
        );
    }
    assert!(model.controller.limit() >= INITIAL_LIMIT);
    // The first second, in which the limit falls, is part of the overload.
    let tallies = model.play(streams, 3, 11, true);
    let kept: u32 = tallies.iter().map(|t| t.kept).sum();
    let started: u32 = tallies.iter().map(|t| t.started).sum();
    let arrived: u32 = tallies.iter().map(|t| t.arrived).sum();
    assert!(f64::from(kept) >= CAPACITY * 8.0 * 0.9, "goodput {kept}");
    let all_share = f64::from(started) / f64::from(arrived);
    for tally in &tallies {
        let share = f64::from(tally.started) / f64::from(tally.arrived);
        assert!(share >= all_share / 4.0, "{tally:?} of {all_share}");
    }
    model.play(streams, 11, 13, false);
    let after = model.play(streams, 13, 16, false);
    for tally in &after {
        assert_eq!((tally.refused, tally.kept), (0, tally.arrived), "recovered");
    }
    assert!(model.controller.limit() >= INITIAL_LIMIT);
    tallies
}

#[test]
fn arrive_keeps_other_teams_when_one_sends_six_times_its_rate() {
    let tallies = play_overload(
        &[
            stream("a", 1, 100.0, 600.0),
            stream("b", 1, 100.0, 100.0),
            stream("c", 1, 100.0, 100.0),
        ],
        QUEUE,
    );
    for tally in &tallies[1..] {
        assert!(kept_share(tally) >= 0.95, "{tally:?}");
    }
}

#[test]
fn arrive_keeps_urgent_requests_in_a_burst() {
    let tallies = play_overload(
        &[
            stream("a", 0, 100.0, 260.0),
            stream("b", 1, 100.0, 260.0),
            stream("c", 2, 150.0, 390.0),
        ],
        QUEUE,
    );
    assert!(kept_share(&tallies[0]) >= 0.95, "{:?}", tallies[0]);
}

#[test]
fn arrive_keeps_urgent_requests_in_a_burst_with_one_team_far_above_its_rate() {
    let tallies = play_overload(
        &[
            stream("a", 0, 50.0, 130.0),
            stream("b", 1, 50.0, 300.0 * 2.6),
            stream("c", 1, 50.0, 130.0),
            stream("d", 2, 150.0, 390.0),
        ],
        QUEUE,
    );
    assert!(kept_share(&tallies[0]) >= 0.95, "{:?}", tallies[0]);
    assert!(kept_share(&tallies[2]) >= kept_share(&tallies[1]));
}

#[test]
fn arrive_keeps_urgent_requests_at_targets_that_hardly_queue() {
    // Their answers are never slow: only rejections tell of the overload.
    let streams = [
        stream("a", 0, 60.0, 156.0),
        stream("b", 1, 100.0, 260.0),
        stream("c", 2, 180.0, 468.0),
    ];
    let tallies = play_overload(&streams, 10);
    assert!(kept_share(&tallies[0]) >= 0.9, "{:?}", tallies[0]);
}

#[test]
fn model_without_admission_misses_objectives() {
    // Guards the other tests: the model must punish overload.
    let streams = [stream("a", 1, 300.0, 800.0)];
    let mut model = Model::new(1, false);
    let tallies = model.play(&streams, 0, 8, true);
    assert!(kept_share(&tallies[0]) < 0.7);
    assert!(f64::from(tallies[0].kept) <= CAPACITY * 8.0);
}

#[test]
fn arrive_with_faulty_rejections_refuses_few() {
    // A lower limit does not make targets accept calls that they reject for
    // another reason than load.
    let streams = [stream("a", 1, 350.0, 350.0)];
    let mut model = Model::new(1, true);
    model.reject_each = 3;
    let tally = model.play(&streams, 0, 20, false)[0];
    assert!(tally.refused * 20 < tally.arrived, "{tally:?}");
}

#[test]
fn retry_after_is_spread() {
    let times: Vec<_> = (0..10_000).step_by(7).map(retry_after).collect();
    assert_eq!(times.iter().min(), Some(&Duration::from_millis(100)));
    assert_eq!(times.iter().max(), Some(&Duration::from_millis(600)));
}

fn arrival(now: Time) -> Arrival {
    Arrival {
        class: Class {
            team: None,
            priority: 1,
        },
        allowance: None,
        objective: OBJECTIVE,
        due: now + OBJECTIVE,
        end: now + OBJECTIVE * 2,
    }
}

#[test]
fn arrive_starts_any_number_without_evidence_of_load() {
    let mut controller: Controller<()> = Controller::default();
    let now = Time::from_millis(1);
    for _ in 0..2_000 {
        assert_eq!(controller.arrive(now, arrival(now), || ()), Decision::Start);
    }
    assert_eq!(controller.in_progress(), 2_000);
}

#[test]
fn end_without_load_does_not_reduce_the_limit() {
    // Slow or failing targets that are not full are no reason to send less.
    let mut controller: Controller<()> = Controller::default();
    for millis in 1..3_000 {
        let now = Time::from_millis(millis);
        assert_eq!(controller.arrive(now, arrival(now), || ()), Decision::Start);
        controller.record_call(&Name::from("shard"), false);
        let answer = Answer {
            is_kept: false,
            took_share: 2.0,
        };
        controller.end(now, now, Some(answer));
    }
    assert!(controller.limit() >= INITIAL_LIMIT);
}

#[test]
fn leave_removes_a_waiting_request_and_the_limit_has_a_floor() {
    let mut controller: Controller<u64> = Controller::default();
    let mut waiting = None;
    let mut in_progress = VecDeque::new();
    for millis in 1..20_000 {
        let now = Time::from_millis(millis);
        match controller.arrive(now, arrival(now), || millis) {
            Decision::Start => in_progress.push_back(now),
            Decision::Wait(ticket, _) => waiting = Some(ticket),
            Decision::Refuse => {}
        }
        controller.record_call(&Name::from("shard"), true);
        if let Some(ticket) = waiting.take() {
            assert!(controller.leave(ticket));
            assert!(!controller.leave(ticket), "removed already");
        }
        let is_late = |started: &Time| now.since(*started) > OBJECTIVE * 2;
        while let Some(started) = in_progress.pop_front_if(|s| is_late(s)) {
            let answer = Answer {
                is_kept: false,
                took_share: 2.0,
            };
            controller.end(now, started, Some(answer));
        }
    }
    assert_eq!(controller.waiting(), 0);
    assert!((MIN_LIMIT..MIN_LIMIT * 2.0).contains(&controller.limit()));
}
