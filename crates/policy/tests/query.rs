//! Tests of hedging, retries, snapshot pinning and verdicts of one query.

mod common;

use common::{
    EntryState, HEDGE_DELAY, failed_not_run, failed_unknown, reply, sent_calls, service, spec,
};
use heatherrun_kernel::message::{CallKind, Failure, Ran, Reason};
use heatherrun_kernel::{Snapshot, Time};
use heatherrun_policy::answer::LoadImpact;
use heatherrun_policy::marks::Level;
use heatherrun_policy::query::{Action, Query, Verdict};

const START: Time = Time::from_millis(1);

fn refusal(query: &mut Query, now: Time) -> (Ran, Failure) {
    match query.verdict(now) {
        Some(Verdict::Refused { ran, failure, .. }) => (ran, failure),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn start_unconfirmed_search_calls_two_shards_first() {
    let service = service(5, 2, 1);
    let mut entry = EntryState::new(&service);
    let mut unconfirmed_spec = spec(&service, CallKind::Search);
    unconfirmed_spec.confirmed = false;
    let mut query = Query::new(unconfirmed_spec, Snapshot(3));
    let first = sent_calls(&entry.with_context(|cx| query.start(START, cx)));
    assert_eq!(first.len(), 2);
    assert_ne!(first[0].shard, first[1].shard);
    let rest = entry.end_call(&mut query, START, 0, reply(&first[0], 3, 1));
    assert_eq!(sent_calls(&rest).len(), 3);
}

#[test]
fn start_suspect_search_calls_one_shard_first() {
    let service = service(5, 2, 1);
    let mut entry = EntryState::new(&service);
    entry.level = Level::Suspect;
    let mut unconfirmed_spec = spec(&service, CallKind::Search);
    unconfirmed_spec.confirmed = false;
    let mut query = Query::new(unconfirmed_spec, Snapshot(3));
    let first = sent_calls(&entry.with_context(|cx| query.start(START, cx)));
    assert_eq!(first.len(), 1);
}

#[test]
fn start_crash_causing_search_reaches_two_targets() {
    let service = service(5, 2, 1);
    let mut entry = EntryState::new(&service);
    let mut unconfirmed_spec = spec(&service, CallKind::Search);
    unconfirmed_spec.confirmed = false;
    let mut query = Query::new(unconfirmed_spec, Snapshot(3));
    let first = sent_calls(&entry.with_context(|cx| query.start(START, cx)));
    assert_eq!(first.len(), 2);
    entry.level = Level::Suspect;
    let lost = failed_unknown(Failure::ConnectionLost);
    let after = entry.end_call(&mut query, START, first[0].attempt, lost.clone());
    assert!(
        after.is_empty(),
        "a suspect request must not reach another target"
    );
    let hedges = entry.with_context(|cx| query.on_tick(START + HEDGE_DELAY * 2, cx));
    assert!(hedges.is_empty(), "a suspect request must not be hedged");
    entry.level = Level::Banned;
    let third = entry.end_call(&mut query, START, first[1].attempt, lost);
    assert!(third.is_empty());
    assert_eq!(refusal(&mut query, START), (Ran::Unknown, Failure::Marked));
}

#[test]
fn hedge_slow_call_is_hedged_and_cancelled_after_reply() {
    let service = service(2, 2, 1);
    let mut entry = EntryState::new(&service);
    let mut query = Query::new(spec(&service, CallKind::Search), Snapshot(3));
    let first = sent_calls(&entry.with_context(|cx| query.start(START, cx)));
    assert_eq!(query.wake_at(START), START + HEDGE_DELAY);
    entry.end_call(&mut query, START, first[1].attempt, reply(&first[1], 3, 1));
    let late = START + HEDGE_DELAY;
    let hedge = sent_calls(&entry.with_context(|cx| query.on_tick(late, cx)));
    assert_eq!(hedge.len(), 1);
    assert_eq!(hedge[0].reason, Reason::Hedge);
    assert_ne!(hedge[0].target, first[0].target);
    let actions = entry.end_call(&mut query, late, hedge[0].attempt, reply(&hedge[0], 3, 1));
    let cancel = Action::Cancel {
        attempt: first[0].attempt,
        target: first[0].target,
    };
    assert_eq!(actions, [cancel]);
    let Some(Verdict::Answer(merged)) = query.verdict(late) else {
        panic!("no answer");
    };
    assert_eq!((merged.covered_shards, merged.lots.len()), (2, 2));
}

#[test]
fn hedge_overload_sends_none() {
    let service = service(2, 2, 1);
    let mut entry = EntryState::new(&service);
    let mut query = Query::new(spec(&service, CallKind::Search), Snapshot(3));
    entry.with_context(|cx| query.start(START, cx));
    for _ in 0..10 {
        entry.budget.record_call(true);
    }
    assert!(
        entry
            .with_context(|cx| query.on_tick(START + HEDGE_DELAY, cx))
            .is_empty()
    );
}

#[test]
fn hedge_single_busy_rejection_keeps_hedging() {
    let service = service(2, 2, 1);
    let mut entry = EntryState::new(&service);
    let mut query = Query::new(spec(&service, CallKind::Search), Snapshot(3));
    entry.with_context(|cx| query.start(START, cx));
    entry.budget.record_call(true);
    let hedges = entry.with_context(|cx| query.on_tick(START + HEDGE_DELAY, cx));
    assert_eq!(sent_calls(&hedges).len(), 2);
}

#[test]
fn retry_by_kind_and_outcome() {
    // Cases: kind, outcome of the first attempt, number of retries.
    let cases = [
        (CallKind::Repeatable, failed_not_run(Failure::Busy), 1),
        (
            CallKind::Repeatable,
            failed_unknown(Failure::ConnectionLost),
            1,
        ),
        (CallKind::Once, failed_not_run(Failure::Draining), 1),
        (CallKind::Once, failed_unknown(Failure::ConnectionLost), 0),
        (CallKind::Once, failed_unknown(Failure::PeerLost), 0),
        (CallKind::Repeatable, failed_not_run(Failure::Marked), 0),
    ];
    for (kind, outcome, retries) in cases {
        let service = service(1, 3, 1);
        let mut entry = EntryState::new(&service);
        let mut query = Query::new(spec(&service, kind), Snapshot(0));
        let first = sent_calls(&entry.with_context(|cx| query.start(START, cx)));
        let again = entry.end_call(&mut query, START, first[0].attempt, outcome.clone());
        assert_eq!(sent_calls(&again).len(), retries, "{kind:?} {outcome:?}");
    }
}

#[test]
fn retry_only_replica_after_delay() {
    let service = service(1, 1, 1);
    let mut entry = EntryState::new(&service);
    let mut query = Query::new(spec(&service, CallKind::Once), Snapshot(0));
    let first = sent_calls(&entry.with_context(|cx| query.start(START, cx)));
    let refused = failed_not_run(Failure::NotOwner);
    assert!(
        entry
            .end_call(&mut query, START, first[0].attempt, refused)
            .is_empty()
    );
    assert_eq!(query.verdict(START), None);
    let wake = query.wake_at(START);
    assert!(wake > START && wake < START + HEDGE_DELAY);
    assert_eq!(
        sent_calls(&entry.with_context(|cx| query.on_tick(wake, cx))).len(),
        1
    );
}

#[test]
fn replan_newer_snapshot_discards_earlier_replies() {
    let service = service(2, 1, 1);
    let mut entry = EntryState::new(&service);
    let mut query = Query::new(spec(&service, CallKind::Search), Snapshot(3));
    let old = sent_calls(&entry.with_context(|cx| query.start(START, cx)));
    entry.end_call(&mut query, START, old[0].attempt, reply(&old[0], 3, 1));
    let gone = failed_not_run(Failure::SnapshotGone);
    let probe = sent_calls(&entry.end_call(&mut query, START, old[1].attempt, gone));
    assert_eq!(
        probe.len(),
        1,
        "must probe one shard to pin the new snapshot"
    );
    let late = entry.end_call(&mut query, START, old[1].attempt, reply(&old[1], 3, 1));
    assert!(late.is_empty());
    let rest =
        sent_calls(&entry.end_call(&mut query, START, probe[0].attempt, reply(&probe[0], 4, 1)));
    assert_eq!((rest.len(), query.snapshot()), (1, Snapshot(4)));
    entry.end_call(&mut query, START, rest[0].attempt, reply(&rest[0], 4, 1));
    let Some(Verdict::Answer(merged)) = query.verdict(START) else {
        panic!("no answer");
    };
    assert_eq!((merged.snapshot, merged.covered_shards), (Snapshot(4), 2));
}

#[test]
fn replan_map_change_uses_configured_map() {
    let old_service = service(2, 1, 1);
    let mut entry = EntryState::new(&old_service);
    let mut query = Query::new(spec(&old_service, CallKind::Search), Snapshot(3));
    let first = sent_calls(&entry.with_context(|cx| query.start(START, cx)));
    entry.current = service(3, 1, 2);
    let changed = failed_not_run(Failure::MapChanged);
    let probe = sent_calls(&entry.end_call(&mut query, START, first[0].attempt, changed));
    assert_eq!((probe.len(), query.map().0), (1, 2));
    let rest =
        sent_calls(&entry.end_call(&mut query, START, probe[0].attempt, reply(&probe[0], 3, 2)));
    assert_eq!(rest.len(), 2);
}

#[test]
fn verdict_partial_by_minimum_coverage() {
    // Cases: minimum coverage, whether a partial answer is given after one of
    // two shards failed finally.
    for (min_coverage, answered) in [(100, false), (51, false), (50, true), (0, true)] {
        let service = service(2, 1, 1);
        let mut entry = EntryState::new(&service);
        let mut partial_spec = spec(&service, CallKind::Search);
        partial_spec.min_coverage = min_coverage;
        let mut query = Query::new(partial_spec, Snapshot(3));
        let sent = sent_calls(&entry.with_context(|cx| query.start(START, cx)));
        let marked = failed_not_run(Failure::Marked);
        entry.end_call(&mut query, START, sent[0].attempt, marked);
        if !answered {
            assert_eq!(
                refusal(&mut query, START).1,
                Failure::Marked,
                "must refuse without waiting"
            );
            continue;
        }
        assert_eq!(query.verdict(START), None);
        entry.end_call(&mut query, START, sent[1].attempt, reply(&sent[1], 3, 1));
        let Some(Verdict::Answer(merged)) = query.verdict(START) else {
            panic!("no answer with a minimum coverage of {min_coverage}");
        };
        assert_eq!((merged.covered_shards, merged.missing.len()), (1, 1));
    }
}

#[test]
fn verdict_enough_coverage_ends_wait_for_last_shard() {
    let service = service(2, 1, 1);
    let mut entry = EntryState::new(&service);
    let mut partial_spec = spec(&service, CallKind::Search);
    partial_spec.min_coverage = 50;
    let mut query = Query::new(partial_spec, Snapshot(3));
    let sent = sent_calls(&entry.with_context(|cx| query.start(START, cx)));
    entry.end_call(&mut query, START, sent[1].attempt, reply(&sent[1], 3, 1));
    assert_eq!(query.verdict(START), None);
    let wait_end = START + HEDGE_DELAY * 4;
    assert!(query.wake_at(START + HEDGE_DELAY * 2) <= wait_end);
    assert!(matches!(query.verdict(wait_end), Some(Verdict::Answer(_))));
}

#[test]
fn verdict_load_impact_by_failure() {
    for (failure, impact) in [
        (Failure::Busy, LoadImpact::Partial),
        (Failure::Expired, LoadImpact::Partial),
        (Failure::ConnectionLost, LoadImpact::None),
    ] {
        let service = service(2, 1, 1);
        let mut entry = EntryState::new(&service);
        let mut partial_spec = spec(&service, CallKind::Search);
        partial_spec.min_coverage = 50;
        partial_spec.deadline = START + HEDGE_DELAY;
        let mut query = Query::new(partial_spec, Snapshot(3));
        let sent = sent_calls(&entry.with_context(|cx| query.start(START, cx)));
        entry.end_call(&mut query, START, sent[0].attempt, failed_not_run(failure));
        entry.end_call(&mut query, START, sent[1].attempt, reply(&sent[1], 3, 1));
        let verdict = query.verdict(START + HEDGE_DELAY).unwrap();
        assert!(matches!(verdict, Verdict::Answer(_)), "{failure:?}");
        assert_eq!(verdict.load_impact(), impact, "{failure:?}");
    }
}
