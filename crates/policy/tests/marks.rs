//! Marks of requests that crash targets.

use std::time::Duration;

use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::{CallId, QueryId, ShardIx, TargetId, Time};
use heatherrun_policy::marks::{Level, Marks};

const PRINT: u64 = 42;

fn mark(target: u64, shard: u16, proven: bool) -> Suspicion {
    Suspicion {
        print: PRINT,
        target: TargetId(target),
        shard: ShardIx(shard),
        call: CallId {
            query: QueryId {
                entry: 1,
                seq: target,
            },
            attempt: 0,
        },
        proven,
        cleared: false,
    }
}

#[test]
fn level_by_crashes() {
    // Cases: marks, and what they make of the fingerprint.
    let cases = [
        (vec![], Level::Clear),
        (vec![mark(1, 0, false)], Level::Suspect),
        (vec![mark(1, 0, false), mark(1, 0, false)], Level::Suspect),
        (vec![mark(1, 0, false), mark(2, 0, false)], Level::Banned),
        (vec![mark(1, 0, false), mark(2, 1, false)], Level::Banned),
        (vec![mark(1, 0, true), mark(2, 1, true)], Level::Suspect),
        (vec![mark(1, 0, true), mark(2, 0, true)], Level::Banned),
    ];
    for (told, level) in cases {
        let mut marks = Marks::default();
        for one in &told {
            marks.note(Time::from_millis(1), *one);
        }
        let found = marks.level(Time::from_millis(2), PRINT);
        assert_eq!(found, level, "{told:?}");
    }
}

#[test]
fn note_known_mark_is_not_new() {
    let mut marks = Marks::default();
    assert!(marks.note(Time::from_millis(1), mark(1, 0, false)));
    assert!(!marks.note(Time::from_millis(1), mark(1, 0, false)));
    let later = Time::from_millis(60_000);
    assert!(!marks.note(later, mark(1, 0, false)), "came by another way");
}

#[test]
fn clear_outlives_late_marks() {
    let mut marks = Marks::default();
    let now = Time::from_millis(1_000);
    marks.note(now, mark(1, 0, false));
    marks.note(now, mark(2, 0, false));
    assert_eq!(marks.list(now).len(), 1);
    let told = marks.clear(now, PRINT);
    marks.note(now, mark(3, 0, false));
    assert_eq!(marks.level(now, PRINT), Level::Clear);
    let mut other = Marks::default();
    other.note(now, mark(1, 0, false));
    assert!(other.note(now, told));
    assert_eq!(other.level(now, PRINT), Level::Clear);
}

#[test]
fn level_expires() {
    let mut marks = Marks::default();
    marks.note(Time::from_millis(1), mark(1, 0, false));
    marks.note(Time::from_millis(1), mark(2, 0, false));
    let later = Time::from_millis(1) + Duration::from_hours(1);
    assert_eq!(marks.level(later, PRINT), Level::Clear);
}
