//! Records of once-only requests.

use heatherrun_kernel::control::{Claim, ClaimAnswer, Ending, Settle};
use heatherrun_kernel::{Epoch, QueryId, TargetId};
use heatherrun_policy::once::{Records, SKEW_MS, Times};

const NOW: u64 = 1_000_000;
const WINDOW: u64 = 60_000;

fn by(seq: u64) -> QueryId {
    QueryId { entry: 1, seq }
}

fn claim(id: &str, issued: u64, print: u64, seq: u64) -> Claim {
    Claim {
        unit: TargetId(1),
        id: id.to_owned(),
        issued,
        print,
        by: by(seq),
    }
}

fn settle(id: &str, seq: u64, end: Ending) -> Settle {
    Settle {
        unit: TargetId(1),
        id: id.to_owned(),
        by: by(seq),
        end,
    }
}

const fn times(now: u64, since: u64) -> Times {
    Times {
        now,
        since,
        window: WINDOW,
    }
}

#[test]
fn claim_second_entry_learns_the_end() {
    let mut records = Records::default();
    let at = times(NOW, 0);
    let first = claim("a", NOW, 7, 1);
    let second = claim("a", NOW, 7, 2);
    assert_eq!(records.claim(at, &first), ClaimAnswer::Granted);
    assert_eq!(
        records.claim(at, &first),
        ClaimAnswer::Granted,
        "asked again"
    );
    assert_eq!(records.claim(at, &second), ClaimAnswer::Unknown);
    records.settle(&settle("a", 1, Ending::Ran(b"receipt".to_vec())));
    let ran = ClaimAnswer::Ran(b"receipt".to_vec());
    assert_eq!(records.claim(at, &second), ran);
    assert_eq!(
        records.claim(at, &claim("a", NOW, 8, 3)),
        ClaimAnswer::Conflict
    );
}

#[test]
fn settle_late_repeat_ends_no_other_grant() {
    let mut records = Records::default();
    let at = times(NOW, 0);
    let not_run = settle("a", 1, Ending::NotRun);
    assert_eq!(
        records.claim(at, &claim("a", NOW, 7, 1)),
        ClaimAnswer::Granted
    );
    records.settle(&not_run);
    assert_eq!(
        records.claim(at, &claim("a", NOW, 7, 2)),
        ClaimAnswer::Granted
    );
    records.settle(&not_run);
    assert_eq!(
        records.claim(at, &claim("a", NOW, 7, 3)),
        ClaimAnswer::Unknown
    );
}

#[test]
fn claim_before_the_records_began_is_unknown() {
    let mut records = Records::default();
    let since = NOW - 100;
    for (issued, answer) in [
        (since, ClaimAnswer::Unknown),
        (since + SKEW_MS, ClaimAnswer::Unknown),
        (since + SKEW_MS + 1, ClaimAnswer::Granted),
    ] {
        let id = issued.to_string();
        let at = times(since + SKEW_MS + 1, since);
        assert_eq!(
            records.claim(at, &claim(&id, issued, 7, 1)),
            answer,
            "{issued}"
        );
    }
}

#[test]
fn claim_outside_the_window_is_refused() {
    let mut records = Records::default();
    let old = claim("a", NOW - WINDOW - 1, 7, 1);
    assert_eq!(records.claim(times(NOW, 0), &old), ClaimAnswer::TooOld);
    let future = claim("b", NOW + SKEW_MS + 1, 7, 1);
    assert_eq!(records.claim(times(NOW, 0), &future), ClaimAnswer::TooOld);
}

#[test]
fn claim_forgotten_id_stays_unknown_in_a_longer_window() {
    let mut records = Records::default();
    assert_eq!(
        records.claim(times(NOW, 0), &claim("a", NOW, 7, 1)),
        ClaimAnswer::Granted
    );
    let later = NOW + WINDOW + SKEW_MS + 1;
    let other = claim("b", later, 7, 2);
    assert_eq!(records.claim(times(later, 0), &other), ClaimAnswer::Granted);
    let longer = Times {
        now: later,
        since: 0,
        window: WINDOW * 10,
    };
    let repeat = claim("a", NOW, 7, 3);
    assert_eq!(records.claim(longer, &repeat), ClaimAnswer::Unknown);
}

#[test]
fn export_moves_every_record() {
    let mut old = Records::default();
    assert_eq!(
        old.claim(times(NOW, 5), &claim("a", NOW, 7, 1)),
        ClaimAnswer::Granted
    );
    let moved = old.export(TargetId(1), Epoch(3), 5);
    assert_eq!(
        (moved.epoch, moved.since, moved.records.len()),
        (Epoch(3), 5, 1)
    );
    let mut new = Records::default();
    new.import(moved.records);
    let repeat = claim("a", NOW, 7, 2);
    assert_eq!(new.claim(times(NOW, 5), &repeat), ClaimAnswer::Unknown);
    new.settle(&settle("a", 1, Ending::Ran(Vec::new())));
    assert_eq!(
        new.claim(times(NOW, 5), &repeat),
        ClaimAnswer::Ran(Vec::new())
    );
}
