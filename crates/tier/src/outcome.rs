//! What each request came to: one log line, the counts of service-level
//! burn with what a miss is blamed on, and an event for metrics.

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

/// Cause of a late answer whose target did not fail.
const STRAGGLER: &str = "straggler";

/// Cause of a refusal at the node's own limit.
pub(crate) const SHED: &str = "shed";

/// Outcome of an attempt that brought a reply.
const REPLIED: &str = "ok";

/// One request's end, as metrics take it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Metric<'a> {
    /// It was answered.
    Answered {
        /// Service.
        service: &'a str,
        /// Time from its admission.
        took: Duration,
        /// Calls sent.
        attempts: u64,
        /// Calls sent beside a slow one.
        hedges: u64,
        /// Calls sent after a failed one.
        retries: u64,
        /// True when every shard was reached.
        whole: bool,
    },
    /// It was refused.
    Refused {
        /// Service.
        service: &'a str,
        /// Why.
        kind: &'a str,
        /// Whether it may have run.
        ran: Ran,
    },
}

/// Takes metrics; called on the path of each request, so it must not block.
pub type MetricSink = Arc<dyn Fn(Metric<'_>) + Send + Sync>;

/// One request that ended.
pub struct Ended<'a> {
    /// Present.
    pub now: Time,
    /// Time from its admission.
    pub took: Duration,
    /// Service.
    pub service: &'a Service,
    /// View it was planned by.
    pub view: &'a View,
    /// Its end.
    pub verdict: &'a Verdict,
    /// Its attempts.
    pub trace: &'a v1::ExplainAnswer,
}

/// One request that was refused before it was planned.
#[derive(Clone, Copy)]
pub struct Early<'a> {
    /// Present.
    pub now: Time,
    /// Service.
    pub service: &'a Service,
    /// Id of the request.
    pub id: &'a str,
    /// Why.
    pub kind: &'a str,
    /// Whether it may have run.
    pub ran: Ran,
}

/// Tells what requests came to.
#[derive(Default)]
pub struct Outcomes {
    recorder: Recorder,
    sink: OnceLock<MetricSink>,
}

impl Outcomes {
    /// Counts since the start of the node.
    #[must_use]
    pub const fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Sends metrics to `sink` from now on; the first sink stays.
    pub fn send_metrics(&self, sink: MetricSink) {
        let _ = self.sink.set(sink);
    }

    fn metric(&self, metric: Metric<'_>) {
        if let Some(sink) = self.sink.get() {
            sink(metric);
        }
    }

    /// A request that was refused before it was planned.
    pub fn refused_early(&self, early: &Early<'_>) {
        let Early {
            now,
            service,
            id,
            kind,
            ran,
        } = *early;
        let ran_words = words(&format!("{ran:?}"));
        log::info!(
            id, service = service.name.as_str(), kind, ran = ran_words.as_str();
            "request.refused"
        );
        self.recorder.record(now, service, Event::Refused);
        let blame = blame(Objective::Served, kind);
        self.recorder.blame(now, service, blame);
        self.metric(Metric::Refused {
            service: &service.name,
            kind,
            ran,
        });
    }

    /// A request that was admitted and has its verdict.
    pub fn ended(&self, ended: &Ended<'_>) {
        match ended.verdict {
            Verdict::Answer(merged) => {
                let missing = merged.missing.iter().map(|m| (m.shard, m.failure));
                self.answered(ended, (merged.reached, merged.total), missing);
            }
            Verdict::Refused { ran, failure, .. } => self.refused(ended, *ran, *failure),
        }
    }

    fn answered(
        &self,
        ended: &Ended<'_>,
        (reached, total): (usize, usize),
        missing: impl Iterator<Item = (ShardIx, Failure)>,
    ) {
        let Ended {
            now, took, service, ..
        } = *ended;
        let whole = reached == total;
        self.recorder
            .record(now, service, Event::Answered { took, whole });
        if !recorder::within(took, &service.objectives) {
            self.recorder.blame(now, service, ended.late());
        }
        for (shard, failure) in missing {
            self.recorder
                .blame(now, service, ended.uncovered(shard, failure));
        }
        let attempts = ended.sent_as("");
        log::info!(
            id = ended.trace.id.as_str(), service = service.name.as_str(),
            took_us = heatherrun_kernel::time::micros(took), reached, total, attempts,
            snapshot = ended.trace.snapshot; "request.answered"
        );
        self.metric(Metric::Answered {
            service: &service.name,
            took,
            attempts,
            hedges: ended.sent_as("hedge"),
            retries: ended.sent_as("retry"),
            whole,
        });
    }

    fn refused(&self, ended: &Ended<'_>, ran: Ran, failure: Failure) {
        let Ended { now, service, .. } = *ended;
        let kind = words(&format!("{failure:?}"));
        let mut missed = ended.blame_last(None, Objective::Served, &kind);
        missed.cause.clone_from(&kind);
        self.recorder.record(now, service, Event::Refused);
        self.recorder.blame(now, service, missed);
        let ran_words = words(&format!("{ran:?}"));
        log::info!(
            id = ended.trace.id.as_str(), service = service.name.as_str(),
            took_us = heatherrun_kernel::time::micros(ended.took), kind = kind.as_str(),
            ran = ran_words.as_str(), attempts = ended.sent_as(""); "request.refused"
        );
        self.metric(Metric::Refused {
            service: &service.name,
            kind: &kind,
            ran,
        });
    }
}

impl Ended<'_> {
    /// Attempts sent for `reason`; all of them when it is empty.
    fn sent_as(&self, reason: &str) -> u64 {
        let same = |a: &&v1::Attempt| reason.is_empty() || a.reason == reason;
        self.trace.attempts.iter().filter(same).count() as u64
    }

    /// Blames the first target of the shard that was the last to reply.
    fn late(&self) -> Blame {
        let replied = self.trace.attempts.iter().filter(|a| a.outcome == REPLIED);
        let Some(last) = replied.max_by_key(|a| a.sent_us + a.took_us) else {
            return blame(Objective::Latency, STRAGGLER);
        };
        let shard = |a: &&v1::Attempt| a.shard == last.shard;
        let first = self.trace.attempts.iter().find(shard).unwrap_or(last);
        let cause = match first.outcome.split(' ').next().unwrap_or_default() {
            REPLIED | "cancelled" | "Cancelled" => STRAGGLER.to_owned(),
            failure => words(failure),
        };
        self.blame_target(&first.target, Objective::Latency, cause)
    }

    /// Blames the last target that was asked for an uncovered shard.
    fn uncovered(&self, shard: ShardIx, failure: Failure) -> Blame {
        let cause = words(&format!("{failure:?}"));
        self.blame_last(Some(shard), Objective::Coverage, &cause)
    }

    fn blame_last(&self, shard: Option<ShardIx>, objective: Objective, cause: &str) -> Blame {
        let same = |a: &&v1::Attempt| {
            a.outcome != REPLIED && shard.is_none_or(|s| a.shard == u32::from(s.0))
        };
        match self.trace.attempts.iter().rev().find(same) {
            Some(last) => self.blame_target(&last.target, objective, cause.to_owned()),
            None => blame(objective, cause),
        }
    }

    fn blame_target(&self, name: &str, objective: Objective, cause: String) -> Blame {
        let id = TargetId::of_searcher(&self.service.name, name);
        let target = self.view.targets.get(&id);
        let domains = &self.view.domains;
        let of_target = |t: &Arc<_>| {
            let t: &heatherrun_kernel::view::Target = t;
            domains.iter().find(|d| DomainId::of(&d.name) == t.domain)
        };
        let domain = target.and_then(of_target).map(|d| d.name.clone());
        Blame {
            objective,
            domain: domain.unwrap_or_default(),
            target: name.to_owned(),
            cause,
        }
    }
}

fn blame(objective: Objective, cause: &str) -> Blame {
    Blame {
        objective,
        domain: String::new(),
        target: String::new(),
        cause: cause.to_owned(),
    }
}

/// Names and logs a refusal of a request that holds a fault. It counts
/// against no objective.
pub(crate) fn reject(refused: &mut v1::Refusal, id: String) {
    log::debug!(id = id.as_str(), kind = refused.kind.as_str(); "request.rejected");
    refused.id = id;
}

/// Outcome of one call for log lines.
pub(crate) fn words_of(result: &CallResult) -> String {
    match result {
        Ok(_) => REPLIED.to_owned(),
        Err(e) => words(&format!("{:?}", e.failure)),
    }
}

/// `TimedOut` as `timed-out`.
fn words(name: &str) -> String {
    let mut made = String::with_capacity(name.len() + 2);
    for c in name.chars() {
        if c.is_ascii_uppercase() && !made.is_empty() {
            made.push('-');
        }
        made.push(c.to_ascii_lowercase());
    }
    made
}
