//! Builds the refusals returned to callers, all in the same form.

use heatherrun_kernel::message::{Failure, Ran};
use heatherrun_schema::v1;

/// Milliseconds after which a refused caller may retry.
pub(crate) const RETRY_MS: u32 = 200;

/// Makes a refusal; `ran` says whether the request may have run.
#[must_use]
pub fn refusal(ran: Ran, kind: &str, detail: impl Into<String>, remedy: &str) -> Box<v1::Refusal> {
    let ran = match ran {
        Ran::NotRun => v1::Ran::NotRun,
        Ran::Unknown => v1::Ran::Unknown,
    };
    Box::new(v1::Refusal {
        ran: ran as i32,
        kind: kind.to_owned(),
        detail: detail.into(),
        remedy: remedy.to_owned(),
        ..v1::Refusal::default()
    })
}

/// Refusal of a request of which no call was sent.
#[must_use]
pub fn not_run(kind: &str, detail: impl Into<String>, remedy: &str) -> Box<v1::Refusal> {
    refusal(Ran::NotRun, kind, detail, remedy)
}

/// Refusal of a request whose calls failed.
#[must_use]
pub fn failed(ran: Ran, failure: Failure, coverage: (usize, usize)) -> Box<v1::Refusal> {
    let detail = format!("{} of {} shards answered", coverage.0, coverage.1);
    let (kind, remedy) = match failure {
        Failure::Busy => ("overloaded", "retry after retry_ms"),
        Failure::TimedOut | Failure::Expired => ("timeout", "set a longer deadline"),
        Failure::Marked => (
            "suspect",
            "this request crashed targets; ask the operators to clear its marks",
        ),
        Failure::Draining | Failure::DomainOut => ("no-target", "retry after retry_ms"),
        _ => ("unavailable", "retry after retry_ms or use another address"),
    };
    let mut refused = refusal(ran, kind, detail, remedy);
    refused.retry_ms = RETRY_MS;
    refused
}

/// Changes the refusal of a once-only request to say that the request may have
/// run: its record was not looked up, and a request sent earlier under the
/// same id may have run.
#[must_use]
pub fn mark_maybe_ran(mut refused: Box<v1::Refusal>) -> Box<v1::Refusal> {
    refused.ran = v1::Ran::Unknown as i32;
    "repeat with the same id, which is always safe".clone_into(&mut refused.remedy);
    refused
}
