//! Has another node serve a request, and builds the reply if none did.

use std::time::Duration;

use heatherrun_kernel::routes::Repeat;
use heatherrun_kernel::time::micros;
use heatherrun_ports::http_reply::Reply;
use heatherrun_routing::links::Phase;
use heatherrun_routing::scatter::{Cause, Scatter};

use super::ActiveRequest;
use crate::forward::Forwarded;
use crate::forward::message::{ForwardedRequest, Terms};
use crate::log_throttle::LineKind;
use crate::reply;

/// Reason and `Retry-After` of requests that neither this node nor another one
/// can send: the links are tried several times meanwhile.
const NO_LINKS: &str = "no-links";
const NO_LINKS_RETRY_AFTER: Duration = Duration::from_millis(500);

impl ActiveRequest {
    /// Waits until this node stops and must have answered its requests.
    pub(super) async fn stop_ended(&self) {
        let mut stop_end = self.state.stop_end();
        let end = stop_end.wait_for(Option::is_some).await;
        let end = end.ok().and_then(|end| *end);
        match end {
            Some(end) => self.state.clock.sleep_until(end).await,
            None => std::future::pending().await,
        }
    }

    /// Forwards a request that has been started here, if another node may run it
    /// and is better off: this node has lost its links, or `failed_by` says that
    /// it cannot send the request. No more calls are sent here then.
    pub(super) fn forward_started<'a>(
        &'a self,
        scatter: &mut Scatter,
        failed_by: Option<Cause>,
    ) -> Option<impl Future<Output = Forwarded> + std::marker::Send + use<'a>> {
        let is_lost = matches!(self.state.links.phase(), Phase::Suspect | Phase::Down);
        if self.terms.is_some()
            || scatter.is_closed()
            || !(is_lost || failed_by == Some(Cause::NotSent))
        {
            return None;
        }
        let (attempts, is_repeat) = (scatter.attempts_left(), scatter.may_have_run());
        let may_run = !is_repeat || self.plan.repeat == Repeat::Idempotent;
        if !may_run || attempts == 0 {
            return None;
        }
        let counted = self.state.forwarder.retry();
        if counted.is_none() && !is_lost {
            return None;
        }
        scatter.close();
        Some(async move {
            let forwarded = self.forward(attempts, true, is_repeat).await;
            drop(counted);
            forwarded
        })
    }

    /// Forwards the request to another node. `is_counted` and `is_repeat` are
    /// those of [`Terms`].
    pub(super) async fn forward(
        &self,
        attempts: u16,
        is_counted: bool,
        is_repeat: bool,
    ) -> Forwarded {
        let state = &self.state;
        let now = state.clock.now();
        let spent = self.path.spent + now.since(self.start);
        let terms = Terms {
            time_left: micros(self.plan.end.time_left(now)),
            spent: micros(spent),
            round_trip: micros(self.path.round_trip),
            attempts,
            is_counted,
            is_repeat,
            version: self.table.config().version,
        };
        let request = ForwardedRequest::new(&self.outgoing, terms);
        let forwarded = state
            .forwarder
            .forward(state, &request, &self.route.regions);
        let forwarded = forwarded.await;
        state.metrics.record_forward(forwarded.name());
        let (id, route) = (self.outgoing.id.as_str(), &*self.route.name);
        log::debug!(id, route, end = forwarded.name(); "request.forwarded");
        forwarded
    }

    /// Builds the reply to a request that was only forwarded.
    pub(super) fn build_forwarded(&self, forwarded: Forwarded) -> Reply {
        let state = &self.state;
        let now = state.clock.now();
        let loss = if now < self.plan.end {
            Cause::Lost
        } else {
            Cause::Late
        };
        let (not_run, cause) = match forwarded {
            Forwarded::Reply(reply) => return reply,
            Forwarded::Unable => (true, NO_LINKS),
            Forwarded::Lost => (false, loss.name()),
        };
        state
            .metrics
            .record_failure(&self.route.name, not_run, cause);
        if state.log_throttle.allows(now, LineKind::FailedRequest) {
            let (id, route) = (self.outgoing.id.as_str(), &*self.route.name);
            let took_us = micros(now.since(self.start));
            log::info!(id, route, not_run, cause, took_us; "request.not-forwarded");
        }
        if not_run {
            self.credit.refund();
            reply::not_run(cause, NO_LINKS_RETRY_AFTER)
        } else {
            reply::outcome_unknown(loss)
        }
    }
}
