//! Builds the reply to a request that this node has decided on.

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use heatherrun_kernel::time::micros;
use heatherrun_ports::http_reply::Reply;
use heatherrun_routing::choice::Hold;
use heatherrun_routing::scatter::{CallIx, Cause, Scatter, Verdict};
use http::Response;

use super::{ActiveRequest, Outcome};
use crate::log_throttle::LineKind;
use crate::reply;

/// `Retry-After` of requests that no target ran.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// `Retry-After` of requests that no known target may serve: after an outage of
/// the store, targets are known again within two seconds.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Maximum `Retry-After` of requests whose targets take a limited rate: another
/// node may have a share of it left much earlier than this one.
const MAX_RATE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of missing shards named in one log line.
const MAX_LOGGED_SHARDS: usize = 12;

impl ActiveRequest {
    pub(super) fn build_reply(&self, outcome: Outcome) -> Reply {
        let Outcome {
            scatter,
            verdict,
            replies,
        } = outcome;
        match verdict {
            Verdict::Answer(chosen) => self.build_answer(&scatter, &chosen, replies),
            Verdict::None { not_run, cause } => {
                self.build_refusal(&scatter, not_run, cause, replies)
            }
        }
    }

    /// Builds the answer from the replies of the chosen calls, one per shard.
    fn build_answer(
        &self,
        scatter: &Scatter,
        chosen: &[Option<CallIx>],
        mut replies: Vec<Option<Response<Bytes>>>,
    ) -> Reply {
        let chosen_calls = chosen.iter().flatten();
        let mut parts: Vec<_> = chosen_calls.filter_map(|ix| replies[*ix].take()).collect();
        let missing = chosen.len() - parts.len();
        let now = self.state.clock.now();
        let elapsed = now.since(self.start);
        self.state
            .metrics
            .record_answer(&self.route.name, elapsed, missing);
        self.state
            .crash_tracker
            .record_answer(now, || self.outgoing.fingerprint());
        let (id, route) = (self.outgoing.id.as_str(), &*self.route.name);
        let (version, calls) = (self.table.config().version, scatter.call_count());
        log::debug!(id, route, version, calls, missing; "request.answered");
        if missing > 0 && self.state.log_throttle.allows(now, LineKind::PartialAnswer) {
            log::info!(
                id, route, version, shards = chosen.len(), calls, hedges = scatter.hedge_count(),
                missing = self.describe_missing(scatter).as_str(), took_us = micros(elapsed);
                "request.partial"
            );
        }
        match self.max_records {
            Some(max_records) => {
                let merged = reply::merge_parts(&self.state, &parts, missing, max_records);
                self.record_answer_delay();
                merged
            }
            None => match parts.pop() {
                Some(part) => reply::forward(part),
                None => reply::outcome_unknown(Cause::Lost),
            },
        }
    }

    /// Records how long after the point of answer a merged answer is ready, if
    /// it had to wait for that point.
    fn record_answer_delay(&self) {
        let now = self.state.clock.now();
        if now >= self.plan.answer_by {
            let delay = now.since(self.plan.answer_by);
            self.outgoing.route_latency.record_answer_delay(delay);
        }
    }

    /// Missing shards and causes for a log line, as "service:cause", at most
    /// [`MAX_LOGGED_SHARDS`].
    fn describe_missing(&self, scatter: &Scatter) -> String {
        let mut text = String::new();
        for (count, (shard, cause)) in scatter.missing().enumerate() {
            if count == MAX_LOGGED_SHARDS {
                text.push_str(",..");
                break;
            }
            if count > 0 {
                text.push(',');
            }
            text.push_str(&self.shards[shard]);
            text.push(':');
            text.push_str(cause.name());
        }
        text
    }

    /// Builds the reply to a request that got no answer.
    fn build_refusal(
        &self,
        scatter: &Scatter,
        not_run: bool,
        cause: Cause,
        mut replies: Vec<Option<Response<Bytes>>>,
    ) -> Reply {
        let now = self.state.clock.now();
        let elapsed = now.since(self.start);
        let name = &self.route.name;
        self.state
            .metrics
            .record_failure(name, not_run, cause.name());
        if self.state.log_throttle.allows(now, LineKind::FailedRequest) {
            let (id, route) = (self.outgoing.id.as_str(), &*self.route.name);
            let (version, calls) = (self.table.config().version, scatter.call_count());
            log::info!(
                id, route, version, shards = self.shards.len(), calls,
                hedges = scatter.hedge_count(), missing = self.describe_missing(scatter).as_str(),
                not_run, cause = cause.name(), left_us = micros(self.plan.end.time_left(self.start)),
                took_us = micros(elapsed); "request.failed"
            );
        }
        if !not_run && scatter.has_half_left(self.start, now) {
            self.log_ended_early(scatter);
        }
        if not_run {
            self.credit.refund();
            let held_for = scatter.held().map(|(until, hold)| match hold {
                Hold::Quiet => until.time_left(now),
                Hold::Rate => until.time_left(now).min(MAX_RATE_RETRY_AFTER),
            });
            let least = if cause == Cause::NoTarget {
                NO_TARGET_RETRY_AFTER
            } else {
                NOT_RUN_RETRY_AFTER
            };
            let retry_after = held_for.unwrap_or_default().max(least);
            return reply::not_run(cause.name(), retry_after);
        }
        let error_reply = match self.max_records {
            None => self.take_error_reply(&mut replies),
            Some(_) => None,
        };
        error_reply.map_or_else(|| reply::outcome_unknown(cause), reply::forward)
    }

    /// Logs what was tried for a request that may have run and ends without an
    /// answer although time is left.
    fn log_ended_early(&self, scatter: &Scatter) {
        let now = self.state.clock.now();
        if !self.state.log_throttle.allows(now, LineKind::EndedEarly) {
            return;
        }
        let mut tried = String::new();
        for shard in scatter.tried().take(MAX_LOGGED_SHARDS) {
            let separator = if tried.is_empty() { "" } else { "," };
            let service = &self.shards[shard.shard];
            let _ = write!(tried, "{separator}{service}:{shard}");
        }
        let (id, route) = (self.outgoing.id.as_str(), &*self.route.name);
        log::info!(
            id, route, attempts = self.plan.attempts, tried = tried.as_str(),
            left_us = micros(self.plan.end.time_left(now));
            "request.ended-early"
        );
    }

    /// Takes the error reply of a target that ran the request: it tells the
    /// caller more than a reply of this node.
    fn take_error_reply(&self, replies: &mut [Option<Response<Bytes>>]) -> Option<Response<Bytes>> {
        let is_error = |r: &Response<Bytes>| {
            !(self.state.site.parse_reply)(r.status(), r.headers()).not_run
                && !r.status().is_success()
        };
        let found = replies
            .iter_mut()
            .find(|r| r.as_ref().is_some_and(&is_error));
        found.and_then(Option::take)
    }
}
