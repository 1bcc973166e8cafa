//! The one form of every refusal towards callers.

use heatherrun_kernel::message::{Failure, Ran};
use heatherrun_schema::v1;

/// Milliseconds after which a refused caller may come again.
pub(crate) const RETRY_MS: u32 = 200;

/// Makes a refusal; `ran` is told as it is known.
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

/// Refusal of a request that was never tried.
#[must_use]
pub fn not_run(kind: &str, detail: impl Into<String>, remedy: &str) -> Box<v1::Refusal> {
    refusal(Ran::NotRun, kind, detail, remedy)
}

/// Refusal of a request whose calls failed.
#[must_use]
pub fn failed(ran: Ran, failure: Failure, reached: (usize, usize)) -> Box<v1::Refusal> {
    let detail = format!("{} of {} shards answered", reached.0, reached.1);
    let (kind, remedy) = match failure {
        Failure::Busy => ("overloaded", "come again after retry_ms"),
        Failure::TimedOut | Failure::Expired => ("timeout", "name a longer deadline"),
        Failure::Marked => (
            "suspect",
            "this request crashed targets; ask the operators to clear it",
        ),
        Failure::Draining | Failure::DomainOut => ("no-target", "come again after retry_ms"),
        _ => (
            "unavailable",
            "come again after retry_ms or ask another address",
        ),
    };
    let mut made = refusal(ran, kind, detail, remedy);
    made.retry_ms = RETRY_MS;
    made
}

/// Makes a refusal say that the request may have run: the record of a
/// once-only request was not asked, and an earlier sending of its id may have.
#[must_use]
pub fn unknown_before_claim(mut refused: Box<v1::Refusal>) -> Box<v1::Refusal> {
    refused.ran = v1::Ran::Unknown as i32;
    "repeat with the same id, which is always safe".clone_into(&mut refused.remedy);
    refused
}
