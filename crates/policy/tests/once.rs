//! Tests of the records of once-only requests.

use heatherrun_kernel::control::{Claim, ClaimAnswer, Ending, OutcomeReport};
use heatherrun_kernel::{Epoch, QueryId, TargetId};
use heatherrun_policy::once::{ClaimTimes, MAX_CLOCK_SKEW_MS, Records};

const NOW_MS: u64 = 1_000_000;
const WINDOW_MS: u64 = 60_000;

fn query_id(seq: u64) -> QueryId {
    QueryId { entry: 1, seq }
}

fn claim(id: &str, issued: u64, fingerprint: u64, seq: u64) -> Claim {
    Claim {
        unit: TargetId(1),
        id: id.to_owned(),
        issued,
        fingerprint,
        claimer: query_id(seq),
    }
}

fn outcome_report(id: &str, seq: u64, end: Ending) -> OutcomeReport {
    OutcomeReport {
        unit: TargetId(1),
        id: id.to_owned(),
        claimer: query_id(seq),
        end,
    }
}

const fn times(now: u64, recorded_since: u64) -> ClaimTimes {
    ClaimTimes {
        now,
        recorded_since,
        window: WINDOW_MS,
    }
}

#[test]
fn claim_second_entry_gets_recorded_answer() {
    let mut records = Records::default();
    let times_now = times(NOW_MS, 0);
    let first = claim("a", NOW_MS, 7, 1);
    let second = claim("a", NOW_MS, 7, 2);
    assert_eq!(records.claim(times_now, &first), ClaimAnswer::Granted);
    assert_eq!(
        records.claim(times_now, &first),
        ClaimAnswer::Granted,
        "a repeated claim of the same query must be granted again"
    );
    assert_eq!(records.claim(times_now, &second), ClaimAnswer::Unknown);
    records.record_outcome(&outcome_report("a", 1, Ending::Ran(b"receipt".to_vec())));
    let ran = ClaimAnswer::Ran(b"receipt".to_vec());
    assert_eq!(records.claim(times_now, &second), ran);
    assert_eq!(
        records.claim(times_now, &claim("a", NOW_MS, 8, 3)),
        ClaimAnswer::Conflict
    );
}

#[test]
fn record_outcome_repeated_report_leaves_later_grant() {
    let mut records = Records::default();
    let times_now = times(NOW_MS, 0);
    let not_run = outcome_report("a", 1, Ending::NotRun);
    assert_eq!(
        records.claim(times_now, &claim("a", NOW_MS, 7, 1)),
        ClaimAnswer::Granted
    );
    records.record_outcome(&not_run);
    assert_eq!(
        records.claim(times_now, &claim("a", NOW_MS, 7, 2)),
        ClaimAnswer::Granted
    );
    records.record_outcome(&not_run);
    assert_eq!(
        records.claim(times_now, &claim("a", NOW_MS, 7, 3)),
        ClaimAnswer::Unknown
    );
}

#[test]
fn claim_issued_before_records_is_unknown() {
    let mut records = Records::default();
    let recorded_since = NOW_MS - 100;
    for (issued, answer) in [
        (recorded_since, ClaimAnswer::Unknown),
        (recorded_since + MAX_CLOCK_SKEW_MS, ClaimAnswer::Unknown),
        (recorded_since + MAX_CLOCK_SKEW_MS + 1, ClaimAnswer::Granted),
    ] {
        let id = issued.to_string();
        let times_now = times(recorded_since + MAX_CLOCK_SKEW_MS + 1, recorded_since);
        assert_eq!(
            records.claim(times_now, &claim(&id, issued, 7, 1)),
            answer,
            "{issued}"
        );
    }
}

#[test]
fn claim_outside_window_is_too_old() {
    let mut records = Records::default();
    let old = claim("a", NOW_MS - WINDOW_MS - 1, 7, 1);
    assert_eq!(records.claim(times(NOW_MS, 0), &old), ClaimAnswer::TooOld);
    let future = claim("b", NOW_MS + MAX_CLOCK_SKEW_MS + 1, 7, 1);
    assert_eq!(
        records.claim(times(NOW_MS, 0), &future),
        ClaimAnswer::TooOld
    );
}

#[test]
fn claim_dropped_id_is_unknown_after_window_extension() {
    let mut records = Records::default();
    assert_eq!(
        records.claim(times(NOW_MS, 0), &claim("a", NOW_MS, 7, 1)),
        ClaimAnswer::Granted
    );
    let later = NOW_MS + WINDOW_MS + MAX_CLOCK_SKEW_MS + 1;
    let other = claim("b", later, 7, 2);
    assert_eq!(records.claim(times(later, 0), &other), ClaimAnswer::Granted);
    let extended = ClaimTimes {
        now: later,
        recorded_since: 0,
        window: WINDOW_MS * 10,
    };
    let repeat = claim("a", NOW_MS, 7, 3);
    assert_eq!(records.claim(extended, &repeat), ClaimAnswer::Unknown);
}

#[test]
fn export_and_import_keep_records() {
    let mut old = Records::default();
    assert_eq!(
        old.claim(times(NOW_MS, 5), &claim("a", NOW_MS, 7, 1)),
        ClaimAnswer::Granted
    );
    let exported = old.export(TargetId(1), Epoch(3), 5);
    assert_eq!(
        (exported.epoch, exported.since, exported.records.len()),
        (Epoch(3), 5, 1)
    );
    let mut new = Records::default();
    new.import(exported.records);
    let repeat = claim("a", NOW_MS, 7, 2);
    assert_eq!(new.claim(times(NOW_MS, 5), &repeat), ClaimAnswer::Unknown);
    new.record_outcome(&outcome_report("a", 1, Ending::Ran(Vec::new())));
    assert_eq!(
        new.claim(times(NOW_MS, 5), &repeat),
        ClaimAnswer::Ran(Vec::new())
    );
}
