//! Tests of the marks of requests that crash targets.

use std::time::Duration;

use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::{CallId, QueryId, ShardIx, TargetId, Time};
use heatherrun_policy::marks::{CrashMarks, Level};

const FINGERPRINT: u64 = 42;

fn suspicion(target: u64, shard: u16, confirmed: bool) -> Suspicion {
    Suspicion {
        fingerprint: FINGERPRINT,
        target: TargetId(target),
        shard: ShardIx(shard),
        call: CallId {
            query: QueryId {
                entry: 1,
                seq: target,
            },
            attempt: 0,
        },
        confirmed,
        cleared: false,
    }
}

#[test]
fn level_by_crash_count_and_shard() {
    // Cases: marks of a fingerprint, resulting level.
    let cases = [
        (vec![], Level::Clear),
        (vec![suspicion(1, 0, false)], Level::Suspect),
        (
            vec![suspicion(1, 0, false), suspicion(1, 0, false)],
            Level::Suspect,
        ),
        (
            vec![suspicion(1, 0, false), suspicion(2, 0, false)],
            Level::Banned,
        ),
        (
            vec![suspicion(1, 0, false), suspicion(2, 1, false)],
            Level::Banned,
        ),
        (
            vec![suspicion(1, 0, true), suspicion(2, 1, true)],
            Level::Suspect,
        ),
        (
            vec![suspicion(1, 0, true), suspicion(2, 0, true)],
            Level::Banned,
        ),
    ];
    for (suspicions, level) in cases {
        let mut marks = CrashMarks::default();
        for suspicion in &suspicions {
            marks.record(Time::from_millis(1), *suspicion);
        }
        let found = marks.level(Time::from_millis(2), FINGERPRINT);
        assert_eq!(found, level, "{suspicions:?}");
    }
}

#[test]
fn note_repeated_mark_is_not_new() {
    let mut marks = CrashMarks::default();
    assert!(marks.record(Time::from_millis(1), suspicion(1, 0, false)));
    assert!(!marks.record(Time::from_millis(1), suspicion(1, 0, false)));
    let later = Time::from_millis(60_000);
    assert!(
        !marks.record(later, suspicion(1, 0, false)),
        "received over a second path"
    );
}

#[test]
fn clear_late_marks_are_ignored() {
    let mut marks = CrashMarks::default();
    let now = Time::from_millis(1_000);
    marks.record(now, suspicion(1, 0, false));
    marks.record(now, suspicion(2, 0, false));
    assert_eq!(marks.list(now).len(), 1);
    let cleared = marks.clear(now, FINGERPRINT);
    marks.record(now, suspicion(3, 0, false));
    assert_eq!(marks.level(now, FINGERPRINT), Level::Clear);
    let mut other = CrashMarks::default();
    other.record(now, suspicion(1, 0, false));
    assert!(other.record(now, cleared));
    assert_eq!(other.level(now, FINGERPRINT), Level::Clear);
}

#[test]
fn level_expired_marks_are_clear() {
    let mut marks = CrashMarks::default();
    marks.record(Time::from_millis(1), suspicion(1, 0, false));
    marks.record(Time::from_millis(1), suspicion(2, 0, false));
    let later = Time::from_millis(1) + Duration::from_hours(1);
    assert_eq!(marks.level(later, FINGERPRINT), Level::Clear);
}
