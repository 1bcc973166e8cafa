//! What must hold of queries and gates under any interleaving of replies,
//! losses, late replies, pauses, changes and ticks.
//!
//! The seed is fixed. A longer random run:
//! `PROPTEST_CASES=100000 PROPTEST_RNG_SEED=$RANDOM cargo test --release
//! -p heatherrun-policy --test invariants`

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::env;
use std::time::Duration;

use common::{Side, not_run, reply, service, spec, unknown};
use heatherrun_kernel::control::{SHARE_DOUBT, SHARE_REST};
use heatherrun_kernel::message::{
    CallError, CallKind, CallResult, Class, Failure, Ran, Reason, TargetReply, TargetReport, Warmth,
};
use heatherrun_kernel::{CallId, MapRev, QueryId, Snapshot, Time};
use heatherrun_policy::gate::{Ask, Bounds, Gate, Step};
use heatherrun_policy::marks::Level;
use heatherrun_policy::query::{Action, Merged, Query, Sent, Verdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Extra calls that a new budget holds.
const FIRST_EXTRA: usize = 5;

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

/// What happens next to a query.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// One of the calls sent so far, closed ones too, ends like this.
    End(usize, End),
    /// Time passes, in milliseconds.
    Pass(u64),
    /// The shard map changes.
    Map,
    /// The snapshot that targets answer from changes.
    Index,
    /// A mark arrives.
    Mark,
}

#[derive(Clone, Copy, Debug)]
enum End {
    Reply,
    NotRun(Failure),
    Lost(Failure),
}

fn end() -> impl Strategy<Value = End> {
    use Failure::{Busy, Cancelled, ConnectionLost, Draining, Expired, MapChanged, NoConnection};
    use Failure::{NotOwner, PeerLost, SnapshotGone, TimedOut};
    let refused = [
        Busy,
        Draining,
        NotOwner,
        Expired,
        NoConnection,
        SnapshotGone,
        MapChanged,
    ];
    let lost = [ConnectionLost, PeerLost, TimedOut, Cancelled];
    prop_oneof![
        6 => Just(End::Reply),
        3 => (0..refused.len()).prop_map(move |i| End::NotRun(refused[i])),
        2 => (0..lost.len()).prop_map(move |i| End::Lost(lost[i])),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..20_usize, end()).prop_map(|(call, end)| Event::End(call, end)),
        4 => (0..60_u64).prop_map(Event::Pass),
        1 => Just(Event::Map),
        1 => Just(Event::Index),
        1 => Just(Event::Mark),
    ]
}

/// One call as the tier outside the query knows it.
#[derive(Clone, Copy, Debug)]
struct Call {
    sent: Sent,
    snapshot: u64,
    map: u64,
    out: bool,
    ran: bool,
    refused: bool,
}

struct World {
    side: Side,
    query: Query,
    calls: Vec<Call>,
    now: Time,
    index: u64,
    kind: CallKind,
    proven: bool,
    hedges: usize,
}

impl World {
    fn new(shards: u64, replicas: u64, kind: CallKind, least: u8, proven: bool) -> Self {
        let service = service(shards, replicas, 1);
        let side = Side::new(&service);
        let mut asked = spec(&service, kind);
        asked.least = least;
        asked.proven = proven;
        let pinned = if kind == CallKind::Search { 3 } else { 0 };
        let mut world = Self {
            side,
            query: Query::new(asked, Snapshot(pinned)),
            calls: Vec::new(),
            now: Time::from_millis(1),
            index: 3,
            kind,
            proven,
            hedges: 0,
        };
        let now = world.now;
        let actions = world.side.with(|cx| world.query.start(now, cx));
        world.apply(&actions);
        world
    }

    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send(sent) => self.send(*sent),
                Action::Cancel { attempt, .. } => self.calls[usize::from(*attempt)].out = false,
            }
        }
    }

    fn send(&mut self, sent: Sent) {
        assert_eq!(usize::from(sent.attempt), self.calls.len());
        assert_ne!(self.side.level, Level::Banned, "sent after two marks");
        self.hedges += usize::from(sent.reason == Reason::Hedge);
        self.calls.push(Call {
            sent,
            snapshot: self.query.snapshot().0,
            map: self.query.map().0,
            out: true,
            ran: false,
            refused: false,
        });
        let open = self.calls.iter().filter(|c| c.out).count();
        if self.kind == CallKind::Once {
            assert!(open == 1 && self.hedges == 0, "a once-only request twice");
        }
        if !self.proven {
            let suspect = self.side.level == Level::Suspect;
            let most = if suspect { 1 } else { 2 };
            assert!(open <= most, "{open} targets with an unproven request");
        }
    }

    fn end(&mut self, index: usize, end: End) {
        let Some(call) = self.calls.get_mut(index) else {
            return;
        };
        // A call that ran does not come back as not run, nor the other way.
        let outcome = match end {
            _ if call.refused => not_run(Failure::Busy),
            End::NotRun(failure) if !call.ran => {
                call.refused = true;
                not_run(failure)
            }
            End::NotRun(_) => unknown(Failure::BadReply),
            End::Lost(failure) => {
                call.ran = true;
                unknown(failure)
            }
            End::Reply => {
                call.ran = true;
                let snapshot = match call.snapshot {
                    0 => self.index,
                    pinned => pinned,
                };
                reply(&call.sent, snapshot, call.map)
            }
        };
        self.proven |= call.out && outcome.is_ok();
        call.out = false;
        let attempt = call.sent.attempt;
        let actions = self.side.done(&mut self.query, self.now, attempt, outcome);
        self.apply(&actions);
    }

    fn tick(&mut self) {
        let now = self.now;
        let actions = self.side.with(|cx| self.query.on_tick(now, cx));
        self.apply(&actions);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::End(call, end) => self.end(call, end),
            Event::Pass(ms) => {
                self.now = self.now + Duration::from_millis(ms);
                self.tick();
            }
            Event::Map => {
                let shards = u64::try_from(self.side.current.shards.len()).unwrap();
                let map = self.side.current.map.0 + 1;
                self.side.current = service(shards + 1, 2, map);
            }
            Event::Index => self.index += 1,
            Event::Mark => {
                self.side.level = match self.side.level {
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
            assert!(shards.insert(shard.to_owned()), "a shard twice");
            let snapshot = merged.snapshot.to_string();
            assert_eq!(lot.text, snapshot, "two snapshots in one answer");
            assert_eq!(call.map, self.query.map().0, "two maps in one answer");
        }
        assert_eq!(shards.len(), merged.reached, "coverage");
        assert_eq!(merged.reached + merged.missing.len(), merged.total);
        for missing in &merged.missing {
            assert!(!shards.contains(&missing.shard.to_string()));
        }
    }

    fn check(&self, verdict: &Verdict) {
        match verdict {
            Verdict::Answer(merged) if self.kind == CallKind::Search => self.check_answer(merged),
            Verdict::Answer(_) => assert!(self.calls.iter().any(|c| c.ran)),
            Verdict::Refused { ran, .. } => {
                let may_run = self.calls.iter().any(|c| c.ran || c.out);
                assert!(*ran == Ran::Unknown || !may_run, "falsely not run");
            }
        }
        let first = self.side.current.shards.len();
        assert!(self.hedges <= FIRST_EXTRA + first, "budget");
    }
}

fn run(mut world: World, events: &[Event]) {
    let deadline = Time::from_millis(1_000);
    for event in events {
        if let Some(verdict) = world.query.verdict(world.now) {
            return world.check(&verdict);
        }
        let wake = world.query.wake_at(world.now);
        assert!(wake >= world.now && wake <= deadline.max(world.now));
        world.step(*event);
    }
    // Nothing more comes in: the timers alone lead to a verdict.
    for _ in 0..10_000 {
        if let Some(verdict) = world.query.verdict(world.now) {
            return world.check(&verdict);
        }
        assert!(world.now < deadline, "no verdict at the deadline");
        world.now = world.query.wake_at(world.now);
        world.tick();
    }
    panic!("the query does not come to an end");
}

fn kind() -> impl Strategy<Value = CallKind> {
    prop_oneof![
        3 => Just(CallKind::Search),
        1 => Just(CallKind::Repeatable),
        1 => Just(CallKind::Once),
    ]
}

/// What happens next to a gate.
#[derive(Clone, Copy, Debug)]
enum Move {
    Ask(u8, u64),
    End(usize, u8),
    Pass(u64),
    Share(u8),
    Withdraw(usize),
}

fn gate_move() -> impl Strategy<Value = Move> {
    prop_oneof![
        5 => (0..3_u8, 1..400_u64).prop_map(|(class, ms)| Move::Ask(class, ms)),
        5 => (0..64_usize, 0..10_u8).prop_map(|(call, end)| Move::End(call, end)),
        2 => (0..30_u64).prop_map(Move::Pass),
        1 => prop_oneof![Just(SHARE_DOUBT), Just(SHARE_REST), Just(100)].prop_map(Move::Share),
        1 => (0..64_usize).prop_map(Move::Withdraw),
    ]
}

fn gate_end(end: u8) -> CallResult {
    let warm = |warmth| {
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
        3 => warm(Warmth::Cold),
        _ => warm(Warmth::Warm),
    }
}

fn run_gate(slots: u16, most: u16, moves: &[Move]) {
    let mut gate = Gate::new(Bounds { slots, most });
    let mut now = Time::from_millis(1);
    let mut flying: Vec<CallId> = Vec::new();
    let mut waiting: BTreeMap<CallId, Time> = BTreeMap::new();
    for (seq, step) in (0_u64..).zip(moves) {
        let id = CallId {
            query: QueryId { entry: 1, seq },
            attempt: 0,
        };
        match *step {
            Move::Ask(class, ms) => {
                let class = [Class::Batch, Class::Normal, Class::Urgent][usize::from(class)];
                let deadline = now + Duration::from_millis(ms);
                let ask = Ask {
                    id,
                    class,
                    deadline,
                };
                match gate.ask(now, ask) {
                    Step::Send => {
                        flying.push(id);
                        assert!(flying.len() <= usize::from(gate.limit()), "over the limit");
                    }
                    Step::Wait => drop(waiting.insert(id, deadline)),
                    Step::Refuse(_) => {}
                }
            }
            Move::End(call, end) if !flying.is_empty() => {
                let id = flying.swap_remove(call % flying.len());
                gate.ended(now, id, &gate_end(end));
                if (0..2).contains(&end) || end == 3 {
                    assert!(gate.limit() <= 1, "a cold sign was passed over");
                }
            }
            Move::End(..) => {}
            Move::Pass(ms) => now = now + Duration::from_millis(ms),
            Move::Share(share) => gate.set_share(share),
            Move::Withdraw(call) => {
                let found = waiting.keys().nth(call).copied();
                if let Some(id) = found {
                    assert!(gate.withdraw(id));
                    waiting.remove(&id);
                }
            }
        }
        while let Some((id, verdict)) = gate.next(now) {
            let deadline = waiting.remove(&id).expect("a call that does not wait");
            if verdict.is_ok() {
                assert!(deadline > now, "sent after its deadline");
                flying.push(id);
                assert!(flying.len() <= usize::from(gate.limit()), "over the limit");
            }
        }
        assert_eq!(gate.in_flight(), flying.len());
        assert!(gate.limit() <= most.max(1), "over what the target bears");
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn query_any_interleaving_keeps_promises(
        shards in 1..5_u64,
        replicas in 1..4_u64,
        kind in kind(),
        least in prop_oneof![Just(0), Just(50), Just(100)],
        proven in any::<bool>(),
        events in prop::collection::vec(event(), 0..60),
    ) {
        let shards = if kind == CallKind::Search { shards + 1 } else { 1 };
        let proven = proven || kind != CallKind::Search;
        run(World::new(shards, replicas, kind, least, proven), &events);
    }

    #[test]
    fn gate_any_interleaving_stays_below_limit(
        slots in 1..7_u16,
        most in 1..56_u16,
        moves in prop::collection::vec(gate_move(), 0..300),
    ) {
        run_gate(slots, most, &moves);
    }
}
