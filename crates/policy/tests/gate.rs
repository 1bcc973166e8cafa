//! Tests of one target's gate: limit, queue, draining and the reset to a cold
//! target.

use std::time::Duration;

use heatherrun_kernel::control::{SHARE_REMAINDER, SHARE_UNCERTAIN};
use heatherrun_kernel::message::{
    CallError, CallResult, Class, Failure, TargetReply, TargetReport, Warmth,
};
use heatherrun_kernel::{CallId, MapRev, QueryId, Snapshot, Time};
use heatherrun_policy::gate::{Bounds, Gate, SendDecision, SendRequest};

const SLOTS: u16 = 3;

fn id(seq: u64) -> CallId {
    CallId {
        query: QueryId { entry: 1, seq },
        attempt: 0,
    }
}

fn request(seq: u64, class: Class, deadline: Time) -> SendRequest {
    SendRequest {
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

fn gate(max_calls: u16) -> Gate {
    Gate::new(Bounds {
        slots: SLOTS,
        max_calls,
    })
}

/// Time at which the gate sees the end of a call, the call, and its arrival at
/// the target.
type PendingEnd = (Time, CallId, Time);

/// Simulated target that answers in the order of arrival, driven by the clock
/// of the test.
struct SimulatedTarget {
    gate: Gate,
    now: Time,
    last_seq: u64,
    wire_time: Duration,
    service_time: Duration,
    /// Calls in flight with the times of their ends.
    pending: Vec<PendingEnd>,
    /// Time from which each slot of the target is free.
    slots_free: Vec<Time>,
    /// Whether the target reports zero calls regardless of its load.
    hides_calls: bool,
    /// Maximum number of calls at the target at once, running or queued.
    peak_calls: usize,
}

impl SimulatedTarget {
    fn new(max_calls: u16, wire_ms: u64, service_ms: u64) -> Self {
        Self {
            gate: gate(max_calls),
            now: Time::from_millis(1),
            last_seq: 0,
            wire_time: Duration::from_millis(wire_ms),
            service_time: Duration::from_millis(service_ms),
            pending: Vec::new(),
            slots_free: vec![Time::default(); usize::from(SLOTS)],
            hides_calls: false,
            peak_calls: 0,
        }
    }

    fn send(&mut self, id: CallId) {
        let slot = self.slots_free.iter_mut().min().unwrap();
        let start = (*slot).max(self.now + self.wire_time);
        *slot = start + self.service_time;
        let arrival = self.now + self.wire_time;
        self.pending.push((*slot + self.wire_time, id, arrival));
        let is_at_target = |end: &&PendingEnd| end.0 - self.wire_time > arrival;
        self.peak_calls = self
            .peak_calls
            .max(self.pending.iter().filter(is_at_target).count());
    }

    /// Keeps the queue of the gate full until `count` calls have completed.
    fn saturate(&mut self, count: usize) {
        for _ in 0..count {
            loop {
                self.last_seq += 1;
                let far_deadline = self.now + Duration::from_secs(10);
                match self.gate.request_send(
                    self.now,
                    request(self.last_seq, Class::Normal, far_deadline),
                ) {
                    SendDecision::Send => self.send(id(self.last_seq)),
                    SendDecision::Wait => {}
                    SendDecision::Refuse(_) => break,
                }
            }
            let reply = self.first_reply();
            self.end_first_call(&reply);
        }
    }

    /// Reply of the call that ends first.
    fn first_reply(&mut self) -> CallResult {
        self.pending.sort();
        let reply_sent = self.pending[0].0 - self.wire_time;
        let is_at_target =
            |end: &&PendingEnd| end.2 <= reply_sent && end.0 - self.wire_time > reply_sent;
        let busy = self.pending.iter().filter(is_at_target).count();
        let mut reply = reply(Warmth::Warm);
        if let (Ok(reply), false) = (&mut reply, self.hides_calls) {
            reply.report.busy = u16::try_from(busy).unwrap();
        }
        reply
    }

    /// Ends the call that is due first with `result`.
    fn end_first_call(&mut self, result: &CallResult) {
        self.pending.sort();
        let (at, id, _) = self.pending.remove(0);
        while let Some(wake) = self.gate.wake_at().filter(|wake| *wake < at) {
            self.now = self.now.max(wake);
            self.apply_decisions();
        }
        self.now = at;
        self.gate.record_end(at, id, result);
        self.apply_decisions();
    }

    fn apply_decisions(&mut self) {
        while let Some((id, decision)) = self.gate.next_decision(self.now) {
            if decision.is_ok() {
                self.send(id);
            }
        }
    }
}

#[test]
fn limit_cold_target_grows_with_completed_calls() {
    let mut target = SimulatedTarget::new(30, 0, 5);
    assert_eq!(target.gate.limit(), 1);
    target.saturate(4);
    assert_eq!((target.gate.limit(), target.peak_calls), (1, 1));
    target.saturate(100);
    assert!(target.gate.limit() >= SLOTS);
    assert!(
        target.peak_calls <= usize::from(SLOTS * 2),
        "{}",
        target.peak_calls
    );
}

#[test]
fn limit_distant_target_converges_to_useful_calls() {
    // Cases: one-way wire time in ms, service time in ms.
    for (wire, service) in [(2, 5), (8, 5), (20, 5)] {
        let mut target = SimulatedTarget::new(55, wire, service);
        target.saturate(4_000);
        let useful_calls = u64::from(SLOTS) * (service + 2 * wire) / service;
        let limit = u64::from(target.gate.limit());
        assert!(
            limit >= useful_calls,
            "wire {wire} ms: limit {limit}, useful {useful_calls}"
        );
        assert!(
            limit <= useful_calls + u64::from(SLOTS),
            "wire {wire} ms: limit {limit}"
        );
        assert!(
            target.peak_calls <= usize::from(SLOTS * 2),
            "wire {wire} ms: {} calls",
            target.peak_calls
        );
    }
}

#[test]
fn limit_false_zero_reports_do_not_raise_it() {
    for wire in [0, 2, 8, 20] {
        let mut target = SimulatedTarget::new(55, wire, 5);
        target.hides_calls = true;
        target.saturate(4_000);
        assert!(
            target.peak_calls <= usize::from(SLOTS * 2),
            "wire {wire} ms: {} calls",
            target.peak_calls
        );
        assert!(target.gate.limit() >= SLOTS);
    }
}

#[test]
fn limit_any_cold_sign_resets_immediately() {
    let signs = [
        Err(CallError::not_run(Failure::Busy)),
        Err(CallError::unknown(Failure::ConnectionLost)),
        Err(CallError::not_run(Failure::NoConnection)),
        reply(Warmth::Cold),
    ];
    for sign in signs {
        let mut target = SimulatedTarget::new(30, 0, 5);
        target.saturate(100);
        assert!(target.gate.limit() > 1);
        target.end_first_call(&sign);
        assert_eq!(target.gate.limit(), 1, "{sign:?}");
        let sent = target.pending.len();
        target.end_first_call(&Err(CallError::unknown(Failure::ConnectionLost)));
        assert_eq!(
            target.pending.len(),
            sent - 1,
            "a call was sent beyond the limit of a cold target"
        );
    }
}

#[test]
fn limit_latency_jump_resets() {
    let mut target = SimulatedTarget::new(30, 0, 5);
    target.saturate(200);
    target.service_time = Duration::from_millis(100);
    target.saturate(12);
    assert_eq!(target.gate.limit(), 1);
}

#[test]
fn limit_single_straggler_keeps_limit() {
    let mut target = SimulatedTarget::new(30, 0, 5);
    target.saturate(200);
    let before = target.gate.limit();
    let straggler = target.pending.pop().unwrap();
    let late = straggler.0 + Duration::from_millis(50);
    target.pending.push((late, straggler.1, straggler.2));
    target.saturate(30);
    assert!(target.gate.limit() >= before.min(SLOTS));
}

#[test]
fn share_uncertain_ownership_splits_limit() {
    let mut target = SimulatedTarget::new(30, 20, 5);
    target.saturate(2_000);
    let full_limit = target.gate.limit();
    target.gate.set_share(SHARE_UNCERTAIN);
    let uncertain_limit = target.gate.limit();
    target.gate.set_share(SHARE_REMAINDER);
    assert_eq!(uncertain_limit, full_limit / 2);
    assert_eq!(uncertain_limit + target.gate.limit(), full_limit);
}

#[test]
fn share_of_limit_one_rounds_to_zero_and_refuses() {
    let mut gate = gate(30);
    gate.set_share(SHARE_UNCERTAIN);
    let now = Time::from_millis(1);
    let far_deadline = now + Duration::from_secs(10);
    let decision = gate.request_send(now, request(0, Class::Normal, far_deadline));
    assert_eq!(decision, SendDecision::Refuse(Failure::NotOwner));
}

#[test]
fn queue_urgent_call_evicts_batch_call() {
    let mut gate = gate(30);
    let now = Time::from_millis(1);
    let far_deadline = now + Duration::from_secs(10);
    assert_eq!(
        gate.request_send(now, request(0, Class::Normal, far_deadline)),
        SendDecision::Send
    );
    let mut seq = 0;
    let when_full = loop {
        seq += 1;
        match gate.request_send(now, request(seq, Class::Batch, far_deadline)) {
            SendDecision::Wait => {}
            other => break other,
        }
    };
    assert_eq!(when_full, SendDecision::Refuse(Failure::Busy));
    assert_eq!(
        gate.request_send(now, request(99, Class::Urgent, far_deadline)),
        SendDecision::Wait
    );
    let evicted = gate.next_decision(now).unwrap();
    assert_eq!(evicted, (id(seq - 1), Err(Failure::Busy)));
    gate.record_end(now + Duration::from_millis(5), id(0), &reply(Warmth::Warm));
    assert_eq!(
        gate.next_decision(now + Duration::from_millis(5)),
        Some((id(99), Ok(())))
    );
}

#[test]
fn queue_wait_beyond_deadline_refuses_immediately() {
    let mut target = SimulatedTarget::new(30, 0, 50);
    target.saturate(4);
    let near_deadline = target.now + Duration::from_millis(60);
    let decision = target
        .gate
        .request_send(target.now, request(9_999, Class::Normal, near_deadline));
    assert_eq!(decision, SendDecision::Refuse(Failure::Busy));
    let expired = target
        .gate
        .request_send(target.now, request(9_998, Class::Normal, target.now));
    assert_eq!(expired, SendDecision::Refuse(Failure::Expired));
}

#[test]
fn drain_refuses_until_probe_reports_warm() {
    let mut gate = gate(30);
    let start = Time::from_millis(1);
    let far_deadline = start + Duration::from_secs(1_000);
    assert_eq!(
        gate.request_send(start, request(0, Class::Normal, far_deadline)),
        SendDecision::Send
    );
    assert_eq!(
        gate.request_send(start, request(1, Class::Normal, far_deadline)),
        SendDecision::Wait
    );
    gate.record_end(start, id(0), &reply(Warmth::Draining));
    assert_eq!(
        gate.next_decision(start),
        Some((id(1), Err(Failure::Draining)))
    );
    let before_probe = start + Duration::from_secs(3);
    assert_eq!(
        gate.request_send(before_probe, request(2, Class::Normal, far_deadline)),
        SendDecision::Refuse(Failure::Draining)
    );
    let probe_time = start + Duration::from_secs(11);
    let decision = gate.request_send(probe_time, request(3, Class::Normal, far_deadline));
    assert_eq!(decision, SendDecision::Refuse(Failure::Draining));
    assert!(gate.probe_due(probe_time));
    assert!(!gate.probe_due(probe_time), "one probe at a time");
    gate.apply_report(probe_time, &report(Warmth::Draining));
    let decision = gate.request_send(probe_time, request(4, Class::Normal, far_deadline));
    assert_eq!(decision, SendDecision::Refuse(Failure::Draining));
    gate.apply_report(probe_time, &report(Warmth::Warm));
    assert_eq!(
        gate.request_send(probe_time, request(5, Class::Normal, far_deadline)),
        SendDecision::Send
    );
    assert_eq!(gate.limit(), 1);
}
