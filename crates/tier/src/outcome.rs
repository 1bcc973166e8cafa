//! Records how each request ended: in one log line, in the counts behind the
//! service-level burn rates, with the cause of each missed objective, and in
//! an event for metrics.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use heatherrun_kernel::message::{CallResult, Failure, Ran};
use heatherrun_kernel::view::Service;
use heatherrun_kernel::{DomainId, ShardIx, TargetId, Time, View};
use heatherrun_policy::query::Verdict;
use heatherrun_report::{Blame, Event, Objective, Recorder, recorder};
use heatherrun_schema::v1;

/// Cause of a late answer when the target was slow but did not fail.
const STRAGGLER: &str = "straggler";

/// Cause of a refusal because the node was at its own limit.
pub(crate) const SHED: &str = "shed";

/// Outcome of an attempt that was answered.
const REPLIED: &str = "ok";

/// Event for metrics: the end of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Metric<'a> {
    /// The request was answered.
    Answered {
        /// Service.
        service: &'a str,
        /// Time from its arrival to its answer.
        took: Duration,
        /// Calls sent.
        attempts: u64,
        /// Calls sent in addition to a slow one.
        hedges: u64,
        /// Calls sent after a failed one.
        retries: u64,
        /// True when every shard was reached.
        whole: bool,
    },
    /// The request was refused.
    Refused {
        /// Service.
        service: &'a str,
        /// Kind of the refusal.
        kind: &'a str,
        /// Whether the request may have run.
        ran: Ran,
    },
}

/// Receives metrics. It is called while a request is handled, so it must not
/// block.
pub type MetricSink = Arc<dyn Fn(Metric<'_>) + Send + Sync>;

/// An admitted request that has a verdict.
pub struct EndedRequest<'a> {
    /// Current time.
    pub now: Time,
    /// Time from its arrival to its verdict.
    pub took: Duration,
    /// Service.
    pub service: &'a Service,
    /// Current view of the node.
    pub view: &'a View,
    /// Answer or refusal.
    pub verdict: &'a Verdict,
    /// Trace with its attempts.
    pub trace: &'a v1::ExplainAnswer,
}

/// A request that was refused before any call was sent.
#[derive(Clone, Copy)]
pub struct EarlyRefusal<'a> {
    /// Current time.
    pub now: Time,
    /// Service.
    pub service: &'a Service,
    /// Id of the request.
    pub id: &'a str,
    /// Kind of the refusal.
    pub kind: &'a str,
    /// Whether the request may have run.
    pub ran: Ran,
}

/// Records how requests ended.
#[derive(Default)]
pub struct Outcomes {
    recorder: Recorder,
    sink: OnceLock<MetricSink>,
}

impl Outcomes {
    /// Counts since the node started.
    #[must_use]
    pub const fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Sends metrics to `sink` from now on. Only the first call takes effect.
    pub fn send_metrics(&self, sink: MetricSink) {
        let _ = self.sink.set(sink);
    }

    fn emit_metric(&self, metric: Metric<'_>) {
        if let Some(sink) = self.sink.get() {
            sink(metric);
        }
    }

    /// Records a request that was refused before any call was sent.
    pub fn record_early_refusal(&self, early: &EarlyRefusal<'_>) {
        let EarlyRefusal {
            now,
            service,
            id,
            kind,
            ran,
        } = *early;
        let ran_words = kebab_case(&format!("{ran:?}"));
        log::info!(
            id, service = service.name.as_str(), kind, ran = ran_words.as_str();
            "request.refused"
        );
        self.recorder.record(now, service, Event::Refused);
        let cause = cause_without_target(Objective::Served, kind);
        self.recorder.blame(now, service, cause);
        self.emit_metric(Metric::Refused {
            service: &service.name,
            kind,
            ran,
        });
    }

    /// Records the verdict of an admitted request.
    pub fn record_end(&self, ended: &EndedRequest<'_>) {
        match ended.verdict {
            Verdict::Answer(merged) => {
                let missing = merged.missing.iter().map(|m| (m.shard, m.failure));
                self.record_answered(ended, (merged.covered_shards, merged.total), missing);
            }
            Verdict::Refused { ran, failure, .. } => self.record_refused(ended, *ran, *failure),
        }
    }

    fn record_answered(
        &self,
        ended: &EndedRequest<'_>,
        (covered_shards, total): (usize, usize),
        missing: impl Iterator<Item = (ShardIx, Failure)>,
    ) {
        let EndedRequest {
            now, took, service, ..
        } = *ended;
        let whole = covered_shards == total;
        self.recorder
            .record(now, service, Event::Answered { took, whole });
        if !recorder::within(took, &service.objectives) {
            self.recorder.blame(now, service, ended.late_cause());
        }
        for (shard, failure) in missing {
            self.recorder
                .blame(now, service, ended.missing_cause(shard, failure));
        }
        let attempts = ended.count_attempts("");
        log::info!(
            id = ended.trace.id.as_str(), service = service.name.as_str(),
            took_us = heatherrun_kernel::time::micros(took), reached = covered_shards, total, attempts,
            snapshot = ended.trace.snapshot; "request.answered"
        );
        self.emit_metric(Metric::Answered {
            service: &service.name,
            took,
            attempts,
            hedges: ended.count_attempts("hedge"),
            retries: ended.count_attempts("retry"),
            whole,
        });
    }

    fn record_refused(&self, ended: &EndedRequest<'_>, ran: Ran, failure: Failure) {
        let EndedRequest { now, service, .. } = *ended;
        let kind = kebab_case(&format!("{failure:?}"));
        let mut attribution = ended.last_failed_cause(None, Objective::Served, &kind);
        attribution.cause.clone_from(&kind);
        self.recorder.record(now, service, Event::Refused);
        self.recorder.blame(now, service, attribution);
        let ran_words = kebab_case(&format!("{ran:?}"));
        log::info!(
            id = ended.trace.id.as_str(), service = service.name.as_str(),
            took_us = heatherrun_kernel::time::micros(ended.took), kind = kind.as_str(),
            ran = ran_words.as_str(), attempts = ended.count_attempts(""); "request.refused"
        );
        self.emit_metric(Metric::Refused {
            service: &service.name,
            kind: &kind,
            ran,
        });
    }
}

impl EndedRequest<'_> {
    /// Number of attempts sent for `reason`, or of all attempts if it is empty.
    fn count_attempts(&self, reason: &str) -> u64 {
        let matches = |a: &&v1::Attempt| reason.is_empty() || a.reason == reason;
        self.trace.attempts.iter().filter(matches).count() as u64
    }

    /// Attributes a late answer to the first target tried for the shard that
    /// replied last.
    fn late_cause(&self) -> Blame {
        let replied = self.trace.attempts.iter().filter(|a| a.outcome == REPLIED);
        let Some(last) = replied.max_by_key(|a| a.sent_us + a.took_us) else {
            return cause_without_target(Objective::Latency, STRAGGLER);
        };
        let same_shard = |a: &&v1::Attempt| a.shard == last.shard;
        let first = self.trace.attempts.iter().find(same_shard).unwrap_or(last);
        let cause = match first.outcome.split(' ').next().unwrap_or_default() {
            REPLIED | "cancelled" | "Cancelled" => STRAGGLER.to_owned(),
            failure => kebab_case(failure),
        };
        self.target_cause(&first.target, Objective::Latency, cause)
    }

    /// Attributes a missing shard to the last target tried for it.
    fn missing_cause(&self, shard: ShardIx, failure: Failure) -> Blame {
        let cause = kebab_case(&format!("{failure:?}"));
        self.last_failed_cause(Some(shard), Objective::Coverage, &cause)
    }

    /// Attributes a miss to the target of the last attempt that got no reply,
    /// for one shard or for any.
    fn last_failed_cause(
        &self,
        shard: Option<ShardIx>,
        objective: Objective,
        cause: &str,
    ) -> Blame {
        let matches = |a: &&v1::Attempt| {
            a.outcome != REPLIED && shard.is_none_or(|s| a.shard == u32::from(s.0))
        };
        match self.trace.attempts.iter().rev().find(matches) {
            Some(last) => self.target_cause(&last.target, objective, cause.to_owned()),
            None => cause_without_target(objective, cause),
        }
    }

    fn target_cause(&self, name: &str, objective: Objective, cause: String) -> Blame {
        let id = TargetId::from_searcher(&self.service.name, name);
        let target = self.view.targets.get(&id);
        let domains = &self.view.domains;
        let domain_of = |t: &Arc<_>| {
            let t: &heatherrun_kernel::view::Target = t;
            domains
                .iter()
                .find(|d| DomainId::from_name(&d.name) == t.domain)
        };
        let domain = target.and_then(domain_of).map(|d| d.name.clone());
        Blame {
            objective,
            domain: domain.unwrap_or_default(),
            target: name.to_owned(),
            cause,
        }
    }
}

/// Cause of a miss for which no target can be named.
fn cause_without_target(objective: Objective, cause: &str) -> Blame {
    Blame {
        objective,
        domain: String::new(),
        target: String::new(),
        cause: cause.to_owned(),
    }
}

/// Sets the id of the refusal of an invalid request and logs it. It does not
/// count against any objective.
pub(crate) fn record_rejected(refused: &mut v1::Refusal, id: String) {
    log::debug!(id = id.as_str(), kind = refused.kind.as_str(); "request.rejected");
    refused.id = id;
}

/// Outcome of one call, as written in logs.
pub(crate) fn outcome_label(result: &CallResult) -> String {
    match result {
        Ok(_) => REPLIED.to_owned(),
        Err(e) => kebab_case(&format!("{:?}", e.failure)),
    }
}

/// Converts a name such as `TimedOut` to `timed-out`.
fn kebab_case(name: &str) -> String {
    let mut kebab = String::with_capacity(name.len() + 2);
    for c in name.chars() {
        if c.is_ascii_uppercase() && !kebab.is_empty() {
            kebab.push('-');
        }
        kebab.push(c.to_ascii_lowercase());
    }
    kebab
}
