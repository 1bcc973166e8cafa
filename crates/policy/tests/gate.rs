//! Limit, queue and falls back to cold of one target's gate.

use std::time::Duration;

use heatherrun_kernel::control::{SHARE_DOUBT, SHARE_REST};
use heatherrun_kernel::message::{
    CallError, CallResult, Class, Failure, TargetReply, TargetReport, Warmth,
};
use heatherrun_kernel::{CallId, MapRev, QueryId, Snapshot, Time};
use heatherrun_policy::gate::{Ask, Bounds, Gate, Step};

const SLOTS: u16 = 3;

fn id(seq: u64) -> CallId {
    CallId {
        query: QueryId { entry: 1, seq },
        attempt: 0,
    }
}

fn ask(seq: u64, class: Class, deadline: Time) -> Ask {
    Ask {
        id: id(seq),
        class,
        deadline,
    }
}

#[allow(clippy::unnecessary_wraps)]
fn reply(warmth: Warmth) -> CallResult {
    Ok(TargetReply {
        snapshot: Snapshot(1),
        map: MapRev(1),
        lots: Vec::new(),
        body: Vec::new(),
        report: report(warmth),
    })
}

fn report(warmth: Warmth) -> TargetReport {
    TargetReport {
        warmth,
        ..TargetReport::default()
    }
}

fn gate(most: u16) -> Gate {
    Gate::new(Bounds { slots: SLOTS, most })
}

/// End of a call at the gate, the call, and its arrival at the target.
type End = (Time, CallId, Time);

/// A target that answers in the order of arrival, on the gate's clock.
struct Bench {
    gate: Gate,
    now: Time,
    next: u64,
    wire: Duration,
    service: Duration,
    /// Calls in flight, by the time of their end.
    ends: Vec<End>,
    /// When each slot is free at the target.
    slots: Vec<Time>,
    /// Whether the target reports no calls, whatever it has.
    lies: bool,
    /// Most calls at the target at once, in its slots and waiting.
    peak: usize,
}

impl Bench {
    fn new(most: u16, wire_ms: u64, service_ms: u64) -> Self {
        Self {
            gate: gate(most),
            now: Time::from_millis(1),
            next: 0,
            wire: Duration::from_millis(wire_ms),
            service: Duration::from_millis(service_ms),
            ends: Vec::new(),
            slots: vec![Time::default(); usize::from(SLOTS)],
            lies: false,
            peak: 0,
        }
    }

    fn send(&mut self, id: CallId) {
        let slot = self.slots.iter_mut().min().unwrap();
        let start = (*slot).max(self.now + self.wire);
        *slot = start + self.service;
        let arrival = self.now + self.wire;
        self.ends.push((*slot + self.wire, id, arrival));
        let there = |end: &&End| end.0 - self.wire > arrival;
        self.peak = self.peak.max(self.ends.iter().filter(there).count());
    }

    /// Keeps the queue full for `count` completed calls.
    fn saturate(&mut self, count: usize) {
        for _ in 0..count {
            loop {
                self.next += 1;
                let far = self.now + Duration::from_secs(10);
                match self.gate.ask(self.now, ask(self.next, Class::Normal, far)) {
                    Step::Send => self.send(id(self.next)),
                    Step::Wait => {}
                    Step::Refuse(_) => break,
                }
            }
            let reply = self.reply();
            self.complete(&reply);
        }
    }

    /// Reply of the call that is due first.
    fn reply(&mut self) -> CallResult {
        self.ends.sort();
        let left = self.ends[0].0 - self.wire;
        let there = |end: &&End| end.2 <= left && end.0 - self.wire > left;
        let busy = self.ends.iter().filter(there).count();
        let mut reply = reply(Warmth::Warm);
        if let (Ok(reply), false) = (&mut reply, self.lies) {
            reply.report.busy = u16::try_from(busy).unwrap();
        }
        reply
    }

    /// Ends the call that is due first.
    fn complete(&mut self, result: &CallResult) {
        self.ends.sort();
        let (at, id, _) = self.ends.remove(0);
        while let Some(wake) = self.gate.wake_at().filter(|wake| *wake < at) {
            self.now = self.now.max(wake);
            self.advance();
        }
        self.now = at;
        self.gate.ended(at, id, result);
        self.advance();
    }

    fn advance(&mut self) {
        while let Some((id, verdict)) = self.gate.next(self.now) {
            if verdict.is_ok() {
                self.send(id);
            }
        }
    }
}

#[test]
fn limit_cold_grows_by_completed_work() {
    let mut bench = Bench::new(30, 0, 5);
    assert_eq!(bench.gate.limit(), 1);
    bench.saturate(4);
    assert_eq!((bench.gate.limit(), bench.peak), (1, 1));
    bench.saturate(100);
    assert!(bench.gate.limit() >= SLOTS);
    assert!(bench.peak <= usize::from(SLOTS * 2), "{}", bench.peak);
}

#[test]
fn limit_far_target_finds_useful_in_flight() {
    // Cases: wire in ms each way, service in ms.
    for (wire, service) in [(2, 5), (8, 5), (20, 5)] {
        let mut bench = Bench::new(55, wire, service);
        bench.saturate(4_000);
        let useful = u64::from(SLOTS) * (service + 2 * wire) / service;
        let limit = u64::from(bench.gate.limit());
        assert!(limit >= useful, "wire {wire}: {limit} of {useful}");
        assert!(limit <= useful + u64::from(SLOTS), "wire {wire}: {limit}");
        assert!(
            bench.peak <= usize::from(SLOTS * 2),
            "wire {wire}: {}",
            bench.peak
        );
    }
}

#[test]
fn limit_lying_reports_do_not_raise_it() {
    for wire in [0, 2, 8, 20] {
        let mut bench = Bench::new(55, wire, 5);
        bench.lies = true;
        bench.saturate(4_000);
        assert!(
            bench.peak <= usize::from(SLOTS * 2),
            "wire {wire}: {}",
            bench.peak
        );
        assert!(bench.gate.limit() >= SLOTS);
    }
}

#[test]
fn limit_each_sign_of_cold_turns_back_at_once() {
    let signs = [
        Err(CallError::not_run(Failure::Busy)),
        Err(CallError::unknown(Failure::ConnectionLost)),
        Err(CallError::not_run(Failure::NoConnection)),
        reply(Warmth::Cold),
    ];
    for sign in signs {
        let mut bench = Bench::new(30, 0, 5);
        bench.saturate(100);
        assert!(bench.gate.limit() > 1);
        bench.complete(&sign);
        assert_eq!(bench.gate.limit(), 1, "{sign:?}");
        let sent = bench.ends.len();
        bench.complete(&Err(CallError::unknown(Failure::ConnectionLost)));
        assert_eq!(
            bench.ends.len(),
            sent - 1,
            "sent more than a cold target bears"
        );
    }
}

#[test]
fn limit_jump_of_latency_turns_cold() {
    let mut bench = Bench::new(30, 0, 5);
    bench.saturate(200);
    bench.service = Duration::from_millis(100);
    bench.saturate(12);
    assert_eq!(bench.gate.limit(), 1);
}

#[test]
fn limit_lone_straggler_stays() {
    let mut bench = Bench::new(30, 0, 5);
    bench.saturate(200);
    let before = bench.gate.limit();
    let straggler = bench.ends.pop().unwrap();
    let late = straggler.0 + Duration::from_millis(50);
    bench.ends.push((late, straggler.1, straggler.2));
    bench.saturate(30);
    assert!(bench.gate.limit() >= before.min(SLOTS));
}

#[test]
fn share_in_doubt_halves_and_adds_up() {
    let mut bench = Bench::new(30, 20, 5);
    bench.saturate(2_000);
    let whole = bench.gate.limit();
    bench.gate.set_share(SHARE_DOUBT);
    let doubt = bench.gate.limit();
    bench.gate.set_share(SHARE_REST);
    assert_eq!(doubt, whole / 2);
    assert_eq!(doubt + bench.gate.limit(), whole);
}

#[test]
fn share_nothing_left_refuses_as_not_run() {
    let mut gate = gate(30);
    gate.set_share(SHARE_DOUBT);
    let now = Time::from_millis(1);
    let far = now + Duration::from_secs(10);
    let step = gate.ask(now, ask(0, Class::Normal, far));
    assert_eq!(step, Step::Refuse(Failure::NotOwner));
}

#[test]
fn queue_urgent_goes_first_and_displaces_batch() {
    let mut gate = gate(30);
    let now = Time::from_millis(1);
    let far = now + Duration::from_secs(10);
    assert_eq!(gate.ask(now, ask(0, Class::Normal, far)), Step::Send);
    let mut seq = 0;
    let full = loop {
        seq += 1;
        match gate.ask(now, ask(seq, Class::Batch, far)) {
            Step::Wait => {}
            other => break other,
        }
    };
    assert_eq!(full, Step::Refuse(Failure::Busy));
    assert_eq!(gate.ask(now, ask(99, Class::Urgent, far)), Step::Wait);
    let displaced = gate.next(now).unwrap();
    assert_eq!(displaced, (id(seq - 1), Err(Failure::Busy)));
    gate.ended(now + Duration::from_millis(5), id(0), &reply(Warmth::Warm));
    assert_eq!(
        gate.next(now + Duration::from_millis(5)),
        Some((id(99), Ok(())))
    );
}

#[test]
fn queue_hopeless_wait_is_refused_early() {
    let mut bench = Bench::new(30, 0, 50);
    bench.saturate(4);
    let near = bench.now + Duration::from_millis(60);
    let step = bench.gate.ask(bench.now, ask(9_999, Class::Normal, near));
    assert_eq!(step, Step::Refuse(Failure::Busy));
    let past = bench
        .gate
        .ask(bench.now, ask(9_998, Class::Normal, bench.now));
    assert_eq!(past, Step::Refuse(Failure::Expired));
}

#[test]
fn drain_refuses_and_recovers_by_probe() {
    let mut gate = gate(30);
    let start = Time::from_millis(1);
    let far = start + Duration::from_secs(1_000);
    assert_eq!(gate.ask(start, ask(0, Class::Normal, far)), Step::Send);
    assert_eq!(gate.ask(start, ask(1, Class::Normal, far)), Step::Wait);
    gate.ended(start, id(0), &reply(Warmth::Draining));
    assert_eq!(gate.next(start), Some((id(1), Err(Failure::Draining))));
    let soon = start + Duration::from_secs(3);
    assert_eq!(
        gate.ask(soon, ask(2, Class::Normal, far)),
        Step::Refuse(Failure::Draining)
    );
    let later = start + Duration::from_secs(11);
    let step = gate.ask(later, ask(3, Class::Normal, far));
    assert_eq!(step, Step::Refuse(Failure::Draining));
    assert!(gate.probe_due(later));
    assert!(!gate.probe_due(later), "one probe at a time");
    gate.reported(later, &report(Warmth::Draining));
    let step = gate.ask(later, ask(4, Class::Normal, far));
    assert_eq!(step, Step::Refuse(Failure::Draining));
    gate.reported(later, &report(Warmth::Warm));
    assert_eq!(gate.ask(later, ask(5, Class::Normal, far)), Step::Send);
    assert_eq!(gate.limit(), 1);
}
