//! Property tests: invariants of queries and gates under any interleaving of
//! replies, lost calls, late replies, delays, configuration changes and timers.
//!
//! The seed is fixed. A longer random run:
//! `PROPTEST_CASES=100000 PROPTEST_RNG_SEED=$RANDOM cargo test --release
//! -p heatherrun-policy --test invariants`

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::env;
use std::time::Duration;

use common::{EntryState, failed_not_run, failed_unknown, reply, service, spec};
use heatherrun_kernel::control::{SHARE_REMAINDER, SHARE_UNCERTAIN};
use heatherrun_kernel::message::{
    CallError, CallKind, CallResult, Class, Failure, Ran, Reason, TargetReply, TargetReport, Warmth,
};
use heatherrun_kernel::{CallId, MapRev, QueryId, Snapshot, Time};
use heatherrun_policy::gate::{Bounds, Gate, SendDecision, SendRequest};
use heatherrun_policy::marks::Level;
use heatherrun_policy::query::{Action, Merged, Query, SentCall, Verdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Number of extra calls that the initial credit of a budget pays for.
const INITIAL_EXTRA_CALLS: usize = 5;

fn config() -> ProptestConfig {
    let mut config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    if env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(1);
    }
    config
}

/// Event that is applied to a query.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// One of the calls sent so far, including ended ones, ends with this
    /// outcome.
    CallEnds(usize, CallEnd),
    /// Time passes, in milliseconds.
    TimePasses(u64),
    /// The configured shard map changes.
    MapChanges,
    /// The snapshot that unpinned calls are answered from changes.
    SnapshotChanges,
    /// Another crash mark of the request arrives.
    MarkArrives,
}

#[derive(Clone, Copy, Debug)]
enum CallEnd {
    Reply,
    NotRun(Failure),
    Lost(Failure),
}

fn call_end() -> impl Strategy<Value = CallEnd> {
    use Failure::{Busy, Cancelled, ConnectionLost, Draining, Expired, MapChanged, NoConnection};
    use Failure::{NotOwner, PeerLost, SnapshotGone, TimedOut};
    let refusals = [
        Busy,
        Draining,
        NotOwner,
        Expired,
        NoConnection,
        SnapshotGone,
        MapChanged,
    ];
    let losses = [ConnectionLost, PeerLost, TimedOut, Cancelled];
    prop_oneof![
        6 => Just(CallEnd::Reply),
        3 => (0..refusals.len()).prop_map(move |i| CallEnd::NotRun(refusals[i])),
        2 => (0..losses.len()).prop_map(move |i| CallEnd::Lost(losses[i])),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..20_usize, call_end()).prop_map(|(call, end)| Event::CallEnds(call, end)),
        4 => (0..60_u64).prop_map(Event::TimePasses),
        1 => Just(Event::MapChanges),
        1 => Just(Event::SnapshotChanges),
        1 => Just(Event::MarkArrives),
    ]
}

/// One call as observed from outside the query.
#[derive(Clone, Copy, Debug)]
struct Call {
    sent: SentCall,
    snapshot: u64,
    map: u64,
    is_open: bool,
    ran: bool,
    refused: bool,
}

struct QueryModel {
    entry: EntryState,
    query: Query,
    calls: Vec<Call>,
    now: Time,
    current_snapshot: u64,
    kind: CallKind,
    confirmed: bool,
    hedges: usize,
}

impl QueryModel {
    fn new(shards: u64, replicas: u64, kind: CallKind, min_coverage: u8, confirmed: bool) -> Self {
        let service = service(shards, replicas, 1);
        let entry = EntryState::new(&service);
        let mut query_spec = spec(&service, kind);
        query_spec.min_coverage = min_coverage;
        query_spec.confirmed = confirmed;
        let pinned = if kind == CallKind::Search { 3 } else { 0 };
        let mut model = Self {
            entry,
            query: Query::new(query_spec, Snapshot(pinned)),
            calls: Vec::new(),
            now: Time::from_millis(1),
            current_snapshot: 3,
            kind,
            confirmed,
            hedges: 0,
        };
        let now = model.now;
        let actions = model.entry.with_context(|cx| model.query.start(now, cx));
        model.apply_actions(&actions);
        model
    }

    fn apply_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send(sent) => self.record_send(*sent),
                Action::Cancel { attempt, .. } => self.calls[usize::from(*attempt)].is_open = false,
            }
        }
    }

    fn record_send(&mut self, sent: SentCall) {
        assert_eq!(usize::from(sent.attempt), self.calls.len());
        assert_ne!(
            self.entry.level,
            Level::Banned,
            "call sent for a banned request"
        );
        self.hedges += usize::from(sent.reason == Reason::Hedge);
        self.calls.push(Call {
            sent,
            snapshot: self.query.snapshot().0,
            map: self.query.map().0,
            is_open: true,
            ran: false,
            refused: false,
        });
        let open = self.calls.iter().filter(|c| c.is_open).count();
        if self.kind == CallKind::Once {
            assert!(
                open == 1 && self.hedges == 0,
                "once-only request in flight twice or hedged"
            );
        }
        if !self.confirmed {
            let suspect = self.entry.level == Level::Suspect;
            let max_open = if suspect { 1 } else { 2 };
            assert!(
                open <= max_open,
                "unconfirmed request in flight on {open} targets"
            );
        }
    }

    fn end_call(&mut self, index: usize, end: CallEnd) {
        let Some(call) = self.calls.get_mut(index) else {
            return;
        };
        // A call that has run never ends as not run later, and a refused call
        // never ends as run.
        let outcome = match end {
            _ if call.refused => failed_not_run(Failure::Busy),
            CallEnd::NotRun(failure) if !call.ran => {
                call.refused = true;
                failed_not_run(failure)
            }
            CallEnd::NotRun(_) => failed_unknown(Failure::BadReply),
            CallEnd::Lost(failure) => {
                call.ran = true;
                failed_unknown(failure)
            }
            CallEnd::Reply => {
                call.ran = true;
                let snapshot = match call.snapshot {
                    0 => self.current_snapshot,
                    pinned => pinned,
                };
                reply(&call.sent, snapshot, call.map)
            }
        };
        self.confirmed |= call.is_open && outcome.is_ok();
        call.is_open = false;
        let attempt = call.sent.attempt;
        let actions = self
            .entry
            .end_call(&mut self.query, self.now, attempt, outcome);
        self.apply_actions(&actions);
    }

    fn tick(&mut self) {
        let now = self.now;
        let actions = self.entry.with_context(|cx| self.query.on_tick(now, cx));
        self.apply_actions(&actions);
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::CallEnds(call, end) => self.end_call(call, end),
            Event::TimePasses(ms) => {
                self.now = self.now + Duration::from_millis(ms);
                self.tick();
            }
            Event::MapChanges => {
                let shards = u64::try_from(self.entry.current.shards.len()).unwrap();
                let map = self.entry.current.map.0 + 1;
                self.entry.current = service(shards + 1, 2, map);
            }
            Event::SnapshotChanges => self.current_snapshot += 1,
            Event::MarkArrives => {
                self.entry.level = match self.entry.level {
                    Level::Clear => Level::Suspect,
                    _ => Level::Banned,
                }
            }
        }
    }

    fn check_answer(&self, merged: &Merged) {
        let mut shards = BTreeSet::new();
        for lot in &merged.lots {
            let (shard, attempt) = lot.id.split_once('-').unwrap();
            let call = &self.calls[attempt.parse::<usize>().unwrap()];
            assert!(call.ran);
            assert!(shards.insert(shard.to_owned()), "shard merged twice");
            let snapshot = merged.snapshot.to_string();
            assert_eq!(lot.text, snapshot, "replies of different snapshots merged");
            assert_eq!(
                call.map,
                self.query.map().0,
                "replies of different shard maps merged"
            );
        }
        assert_eq!(shards.len(), merged.covered_shards, "wrong coverage");
        assert_eq!(merged.covered_shards + merged.missing.len(), merged.total);
        for missing in &merged.missing {
            assert!(!shards.contains(&missing.shard.to_string()));
        }
    }

    fn check_verdict(&self, verdict: &Verdict) {
        match verdict {
            Verdict::Answer(merged) if self.kind == CallKind::Search => self.check_answer(merged),
            Verdict::Answer(_) => assert!(self.calls.iter().any(|c| c.ran)),
            Verdict::Refused { ran, .. } => {
                let may_have_run = self.calls.iter().any(|c| c.ran || c.is_open);
                assert!(
                    *ran == Ran::Unknown || !may_have_run,
                    "call may have run, but the verdict says not run"
                );
            }
        }
        let earned = self.entry.current.shards.len();
        assert!(
            self.hedges <= INITIAL_EXTRA_CALLS + earned,
            "more hedges than the budget allows"
        );
    }
}

fn run_query(mut model: QueryModel, events: &[Event]) {
    let deadline = Time::from_millis(1_000);
    for event in events {
        if let Some(verdict) = model.query.verdict(model.now) {
            return model.check_verdict(&verdict);
        }
        let wake_at = model.query.wake_at(model.now);
        assert!(wake_at >= model.now && wake_at <= deadline.max(model.now));
        model.apply_event(*event);
    }
    // Without further events the timers alone must lead to a verdict.
    for _ in 0..10_000 {
        if let Some(verdict) = model.query.verdict(model.now) {
            return model.check_verdict(&verdict);
        }
        assert!(model.now < deadline, "no verdict at the deadline");
        model.now = model.query.wake_at(model.now);
        model.tick();
    }
    panic!("no verdict after 10000 timer events");
}

fn call_kind() -> impl Strategy<Value = CallKind> {
    prop_oneof![
        3 => Just(CallKind::Search),
        1 => Just(CallKind::Repeatable),
        1 => Just(CallKind::Once),
    ]
}

/// Event that is applied to a gate.
#[derive(Clone, Copy, Debug)]
enum GateEvent {
    Request(u8, u64),
    CallEnds(usize, u8),
    TimePasses(u64),
    ShareChanges(u8),
    CallWithdrawn(usize),
}

fn gate_event() -> impl Strategy<Value = GateEvent> {
    prop_oneof![
        5 => (0..3_u8, 1..400_u64).prop_map(|(class, ms)| GateEvent::Request(class, ms)),
        5 => (0..64_usize, 0..10_u8).prop_map(|(call, end)| GateEvent::CallEnds(call, end)),
        2 => (0..30_u64).prop_map(GateEvent::TimePasses),
        1 => prop_oneof![Just(SHARE_UNCERTAIN), Just(SHARE_REMAINDER), Just(100)].prop_map(GateEvent::ShareChanges),
        1 => (0..64_usize).prop_map(GateEvent::CallWithdrawn),
    ]
}

fn gate_end(end: u8) -> CallResult {
    let reply_with = |warmth| {
        Ok(TargetReply {
            snapshot: Snapshot(1),
            map: MapRev(1),
            lots: Vec::new(),
            body: Vec::new(),
            report: TargetReport {
                warmth,
                ..TargetReport::default()
            },
        })
    };
    match end {
        0 => Err(CallError::not_run(Failure::Busy)),
        1 => Err(CallError::unknown(Failure::ConnectionLost)),
        2 => Err(CallError::unknown(Failure::TimedOut)),
        3 => reply_with(Warmth::Cold),
        _ => reply_with(Warmth::Warm),
    }
}

fn run_gate(slots: u16, max_calls: u16, events: &[GateEvent]) {
    let mut gate = Gate::new(Bounds { slots, max_calls });
    let mut now = Time::from_millis(1);
    let mut in_flight: Vec<CallId> = Vec::new();
    let mut waiting: BTreeMap<CallId, Time> = BTreeMap::new();
    for (seq, event) in (0_u64..).zip(events) {
        let id = CallId {
            query: QueryId { entry: 1, seq },
            attempt: 0,
        };
        match *event {
            GateEvent::Request(class, ms) => {
                let class = [Class::Batch, Class::Normal, Class::Urgent][usize::from(class)];
                let deadline = now + Duration::from_millis(ms);
                let request = SendRequest {
                    id,
                    class,
                    deadline,
                };
                match gate.request_send(now, request) {
                    SendDecision::Send => {
                        in_flight.push(id);
                        assert!(
                            in_flight.len() <= usize::from(gate.limit()),
                            "over the limit"
                        );
                    }
                    SendDecision::Wait => drop(waiting.insert(id, deadline)),
                    SendDecision::Refuse(_) => {}
                }
            }
            GateEvent::CallEnds(call, end) if !in_flight.is_empty() => {
                let id = in_flight.swap_remove(call % in_flight.len());
                gate.record_end(now, id, &gate_end(end));
                if (0..2).contains(&end) || end == 3 {
                    assert!(
                        gate.limit() <= 1,
                        "limit not reset by a sign of a cold target"
                    );
                }
            }
            GateEvent::CallEnds(..) => {}
            GateEvent::TimePasses(ms) => now = now + Duration::from_millis(ms),
            GateEvent::ShareChanges(share) => gate.set_share(share),
            GateEvent::CallWithdrawn(call) => {
                let queued = waiting.keys().nth(call).copied();
                if let Some(id) = queued {
                    assert!(gate.remove_queued(id));
                    waiting.remove(&id);
                }
            }
        }
        while let Some((id, decision)) = gate.next_decision(now) {
            let deadline = waiting.remove(&id).expect("returned call was not queued");
            if decision.is_ok() {
                assert!(deadline > now, "sent after its deadline");
                in_flight.push(id);
                assert!(
                    in_flight.len() <= usize::from(gate.limit()),
                    "over the limit"
                );
            }
        }
        assert_eq!(gate.in_flight(), in_flight.len());
        assert!(
            gate.limit() <= max_calls.max(1),
            "limit above the configured maximum"
        );
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn query_any_interleaving_holds_invariants(
        shards in 1..5_u64,
        replicas in 1..4_u64,
        kind in call_kind(),
        min_coverage in prop_oneof![Just(0), Just(50), Just(100)],
        confirmed in any::<bool>(),
        events in prop::collection::vec(event(), 0..60),
    ) {
        let shards = if kind == CallKind::Search { shards + 1 } else { 1 };
        let confirmed = confirmed || kind != CallKind::Search;
        run_query(QueryModel::new(shards, replicas, kind, min_coverage, confirmed), &events);
    }

    #[test]
    fn gate_any_interleaving_stays_below_limit(
        slots in 1..7_u16,
        max_calls in 1..56_u16,
        events in prop::collection::vec(gate_event(), 0..300),
    ) {
        run_gate(slots, max_calls, &events);
    }
}
