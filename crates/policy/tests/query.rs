//! Hedges, retries, pinning and verdicts of one query.

mod common;

use common::{HEDGE, Side, not_run, reply, sends, service, spec, unknown};
use heatherrun_kernel::message::{CallKind, Failure, Ran, Reason};
use heatherrun_kernel::{Snapshot, Time};
use heatherrun_policy::answer::Strain;
use heatherrun_policy::marks::Level;
use heatherrun_policy::query::{Action, Query, Verdict};

const START: Time = Time::from_millis(1);

fn refusal(query: &mut Query, now: Time) -> (Ran, Failure) {
    match query.verdict(now) {
        Some(Verdict::Refused { ran, failure, .. }) => (ran, failure),
        other => panic!("no refusal but {other:?}"),
    }
}

#[test]
fn start_unproven_search_asks_two_shards_first() {
    let service = service(5, 2, 1);
    let mut side = Side::new(&service);
    let mut careful = spec(&service, CallKind::Search);
    careful.proven = false;
    let mut query = Query::new(careful, Snapshot(3));
    let first = sends(&side.with(|cx| query.start(START, cx)));
    assert_eq!(first.len(), 2);
    assert_ne!(first[0].shard, first[1].shard);
    let rest = side.done(&mut query, START, 0, reply(&first[0], 3, 1));
    assert_eq!(sends(&rest).len(), 3);
}

#[test]
fn start_suspect_search_asks_one_shard_first() {
    let service = service(5, 2, 1);
    let mut side = Side::new(&service);
    side.level = Level::Suspect;
    let mut careful = spec(&service, CallKind::Search);
    careful.proven = false;
    let mut query = Query::new(careful, Snapshot(3));
    let first = sends(&side.with(|cx| query.start(START, cx)));
    assert_eq!(first.len(), 1);
}

#[test]
fn start_crashing_search_costs_two_targets() {
    let service = service(5, 2, 1);
    let mut side = Side::new(&service);
    let mut careful = spec(&service, CallKind::Search);
    careful.proven = false;
    let mut query = Query::new(careful, Snapshot(3));
    let first = sends(&side.with(|cx| query.start(START, cx)));
    assert_eq!(first.len(), 2);
    side.level = Level::Suspect;
    let lost = unknown(Failure::ConnectionLost);
    let after = side.done(&mut query, START, first[0].attempt, lost.clone());
    assert!(after.is_empty(), "a suspect runs on no further target");
    let hedges = side.with(|cx| query.on_tick(START + HEDGE * 2, cx));
    assert!(hedges.is_empty(), "a suspect is not hedged");
    side.level = Level::Banned;
    let third = side.done(&mut query, START, first[1].attempt, lost);
    assert!(third.is_empty());
    assert_eq!(refusal(&mut query, START), (Ran::Unknown, Failure::Marked));
}

#[test]
fn hedge_slow_call_is_hedged_and_loser_cancelled() {
    let service = service(2, 2, 1);
    let mut side = Side::new(&service);
    let mut query = Query::new(spec(&service, CallKind::Search), Snapshot(3));
    let first = sends(&side.with(|cx| query.start(START, cx)));
    assert_eq!(query.wake_at(START), START + HEDGE);
    side.done(&mut query, START, first[1].attempt, reply(&first[1], 3, 1));
    let late = START + HEDGE;
    let hedge = sends(&side.with(|cx| query.on_tick(late, cx)));
    assert_eq!(hedge.len(), 1);
    assert_eq!(hedge[0].reason, Reason::Hedge);
    assert_ne!(hedge[0].target, first[0].target);
    let actions = side.done(&mut query, late, hedge[0].attempt, reply(&hedge[0], 3, 1));
    let cancel = Action::Cancel {
        attempt: first[0].attempt,
        target: first[0].target,
    };
    assert_eq!(actions, [cancel]);
    let Some(Verdict::Answer(merged)) = query.verdict(late) else {
        panic!("no answer");
    };
    assert_eq!((merged.reached, merged.lots.len()), (2, 2));
}

#[test]
fn hedge_stays_off_under_overload() {
    let service = service(2, 2, 1);
    let mut side = Side::new(&service);
    let mut query = Query::new(spec(&service, CallKind::Search), Snapshot(3));
    side.with(|cx| query.start(START, cx));
    for _ in 0..10 {
        side.budget.note(true);
    }
    assert!(side.with(|cx| query.on_tick(START + HEDGE, cx)).is_empty());
}

#[test]
fn hedge_goes_on_after_a_single_refusal() {
    let service = service(2, 2, 1);
    let mut side = Side::new(&service);
    let mut query = Query::new(spec(&service, CallKind::Search), Snapshot(3));
    side.with(|cx| query.start(START, cx));
    side.budget.note(true);
    let hedges = side.with(|cx| query.on_tick(START + HEDGE, cx));
    assert_eq!(sends(&hedges).len(), 2);
}

#[test]
fn retry_by_kind_and_outcome() {
    // Cases: kind, outcome of the first attempt, attempts after it.
    let cases = [
        (CallKind::Repeatable, not_run(Failure::Busy), 1),
        (CallKind::Repeatable, unknown(Failure::ConnectionLost), 1),
        (CallKind::Once, not_run(Failure::Draining), 1),
        (CallKind::Once, unknown(Failure::ConnectionLost), 0),
        (CallKind::Once, unknown(Failure::PeerLost), 0),
        (CallKind::Repeatable, not_run(Failure::Marked), 0),
    ];
    for (kind, outcome, after) in cases {
        let service = service(1, 3, 1);
        let mut side = Side::new(&service);
        let mut query = Query::new(spec(&service, kind), Snapshot(0));
        let first = sends(&side.with(|cx| query.start(START, cx)));
        let again = side.done(&mut query, START, first[0].attempt, outcome.clone());
        assert_eq!(sends(&again).len(), after, "{kind:?} {outcome:?}");
    }
}

#[test]
fn retry_same_replica_after_a_pause() {
    let service = service(1, 1, 1);
    let mut side = Side::new(&service);
    let mut query = Query::new(spec(&service, CallKind::Once), Snapshot(0));
    let first = sends(&side.with(|cx| query.start(START, cx)));
    let refused = not_run(Failure::NotOwner);
    assert!(
        side.done(&mut query, START, first[0].attempt, refused)
            .is_empty()
    );
    assert_eq!(query.verdict(START), None);
    let wake = query.wake_at(START);
    assert!(wake > START && wake < START + HEDGE);
    assert_eq!(sends(&side.with(|cx| query.on_tick(wake, cx))).len(), 1);
}

#[test]
fn replan_newer_snapshot_merges_none_of_the_old() {
    let service = service(2, 1, 1);
    let mut side = Side::new(&service);
    let mut query = Query::new(spec(&service, CallKind::Search), Snapshot(3));
    let old = sends(&side.with(|cx| query.start(START, cx)));
    side.done(&mut query, START, old[0].attempt, reply(&old[0], 3, 1));
    let gone = not_run(Failure::SnapshotGone);
    let probe = sends(&side.done(&mut query, START, old[1].attempt, gone));
    assert_eq!(probe.len(), 1, "the first reply pins the snapshot again");
    let late = side.done(&mut query, START, old[1].attempt, reply(&old[1], 3, 1));
    assert!(late.is_empty());
    let rest = sends(&side.done(&mut query, START, probe[0].attempt, reply(&probe[0], 4, 1)));
    assert_eq!((rest.len(), query.snapshot()), (1, Snapshot(4)));
    side.done(&mut query, START, rest[0].attempt, reply(&rest[0], 4, 1));
    let Some(Verdict::Answer(merged)) = query.verdict(START) else {
        panic!("no answer");
    };
    assert_eq!((merged.snapshot, merged.reached), (Snapshot(4), 2));
}

#[test]
fn replan_map_change_uses_the_map_in_force() {
    let old = service(2, 1, 1);
    let mut side = Side::new(&old);
    let mut query = Query::new(spec(&old, CallKind::Search), Snapshot(3));
    let first = sends(&side.with(|cx| query.start(START, cx)));
    side.current = service(3, 1, 2);
    let changed = not_run(Failure::MapChanged);
    let probe = sends(&side.done(&mut query, START, first[0].attempt, changed));
    assert_eq!((probe.len(), query.map().0), (1, 2));
    let rest = sends(&side.done(&mut query, START, probe[0].attempt, reply(&probe[0], 3, 2)));
    assert_eq!(rest.len(), 2);
}

#[test]
fn verdict_partial_by_least_coverage() {
    // Cases: least coverage, verdict after one of two shards failed for good.
    for (least, answered) in [(100, false), (51, false), (50, true), (0, true)] {
        let service = service(2, 1, 1);
        let mut side = Side::new(&service);
        let mut asked = spec(&service, CallKind::Search);
        asked.least = least;
        let mut query = Query::new(asked, Snapshot(3));
        let sent = sends(&side.with(|cx| query.start(START, cx)));
        let marked = not_run(Failure::Marked);
        side.done(&mut query, START, sent[0].attempt, marked);
        if !answered {
            assert_eq!(refusal(&mut query, START).1, Failure::Marked, "at once");
            continue;
        }
        assert_eq!(query.verdict(START), None);
        side.done(&mut query, START, sent[1].attempt, reply(&sent[1], 3, 1));
        let Some(Verdict::Answer(merged)) = query.verdict(START) else {
            panic!("no answer at {least}");
        };
        assert_eq!((merged.reached, merged.missing.len()), (1, 1));
    }
}

#[test]
fn verdict_enough_coverage_does_not_wait_for_the_last_shard() {
    let service = service(2, 1, 1);
    let mut side = Side::new(&service);
    let mut asked = spec(&service, CallKind::Search);
    asked.least = 50;
    let mut query = Query::new(asked, Snapshot(3));
    let sent = sends(&side.with(|cx| query.start(START, cx)));
    side.done(&mut query, START, sent[1].attempt, reply(&sent[1], 3, 1));
    assert_eq!(query.verdict(START), None);
    let patient = START + HEDGE * 4;
    assert!(query.wake_at(START + HEDGE * 2) <= patient);
    assert!(matches!(query.verdict(patient), Some(Verdict::Answer(_))));
}

#[test]
fn verdict_tells_what_load_cost() {
    for (failure, strain) in [
        (Failure::Busy, Strain::Part),
        (Failure::Expired, Strain::Part),
        (Failure::ConnectionLost, Strain::None),
    ] {
        let service = service(2, 1, 1);
        let mut side = Side::new(&service);
        let mut asked = spec(&service, CallKind::Search);
        asked.least = 50;
        asked.deadline = START + HEDGE;
        let mut query = Query::new(asked, Snapshot(3));
        let sent = sends(&side.with(|cx| query.start(START, cx)));
        side.done(&mut query, START, sent[0].attempt, not_run(failure));
        side.done(&mut query, START, sent[1].attempt, reply(&sent[1], 3, 1));
        let verdict = query.verdict(START + HEDGE).unwrap();
        assert!(matches!(verdict, Verdict::Answer(_)), "{failure:?}");
        assert_eq!(verdict.strain(), strain, "{failure:?}");
    }
}
