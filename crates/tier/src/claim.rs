//! The entry's side of a once-only request. The entry claims the request at
//! the node that holds its record, runs it only if the claim is granted, and
//! reports to the holder how it ended.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::control::{
    Claim, ClaimAnswer, ControlAnswer, ControlRequest, Ending, OutcomeReport,
};
use heatherrun_kernel::message::Ran;
use heatherrun_kernel::{NodeId, QueryId, TargetId, Time};
use heatherrun_policy::once::MAX_CLOCK_SKEW_MS;
use heatherrun_schema::v1;
use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};

use crate::batches::peer_address;
use crate::entry::{Entry, ServedRequest};
use crate::once::{OnceId, once_window_ms};
use crate::outcome::{EarlyRefusal, SHED};
use crate::refuse;
use crate::request::Request;

/// Attempts to reach the holder, for a claim and for the report of its end,
/// before the entry gives up.
const MAX_HOLDER_ATTEMPTS: u32 = 5;

/// Mean delay before the second attempt; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Longest time for which the answer to the caller is held back until the
/// holder has recorded how the request ended.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Remedy that holds whether or not the request ran.
const REPEAT_REMEDY: &str = "repeat with the same id, which is always safe";

type BoxedRefusal = Box<v1::Refusal>;

/// Answer to a once-only request: from this run or from an earlier one.
pub(crate) enum OnceAnswer {
    /// The request ran now.
    Ran(ServedRequest),
    /// The request ran before; the answer is the recorded one.
    Replayed(Vec<u8>),
}

fn refuse_unknown<T>(kind: &str, detail: &str) -> Result<T, BoxedRefusal> {
    let mut refused = refuse::refusal(Ran::Unknown, kind, detail, REPEAT_REMEDY);
    refused.retry_ms = refuse::RETRY_MS;
    Err(refused)
}

impl Entry {
    /// Serves a once-only request.
    pub(crate) async fn serve_once(
        self: &Arc<Self>,
        request: Request,
    ) -> Result<OnceAnswer, BoxedRefusal> {
        let id = self.validate_id(&request)?;
        let service_state = self.service_state(&request.service);
        let Some(_places) = self.admit(&service_state, request.class) else {
            self.record_unknown_refusal(&request, SHED);
            return refuse_unknown("overloaded", "this node is at its limit for the class");
        };
        let query = self.next_id();
        let claim = Claim {
            unit: id.partition(&request.service.name),
            id: id.text.to_owned(),
            issued: id.issued_ms,
            fingerprint: request.fingerprint,
            claimer: query,
        };
        match self.claim_record(&claim, request.deadline).await {
            Some(ClaimAnswer::Granted) => self.run_granted(query, claim, &request).await,
            Some(ClaimAnswer::Ran(body)) => Ok(OnceAnswer::Replayed(body)),
            Some(ClaimAnswer::Conflict) => Err(refuse::not_run(
                "conflict",
                "the id was used before with another body",
                "send each request under its own id",
            )),
            Some(ClaimAnswer::TooOld) => Err(refuse::refusal(
                Ran::Unknown,
                "too-old",
                "the id is older than the window in which ids are remembered",
                "find out whether the request ran before sending it under a new id",
            )),
            Some(ClaimAnswer::Unknown) => {
                refuse_unknown("pending", "the request is running or may have run")
            }
            Some(ClaimAnswer::NotHolder) | None => {
                self.record_unknown_refusal(&request, "no-holder");
                refuse_unknown(
                    "unavailable",
                    "the node that holds the record of the request did not answer",
                )
            }
        }
    }

    /// Records the refusal of a request that this node did not run, but that
    /// may have run before.
    fn record_unknown_refusal(&self, request: &Request, kind: &str) {
        self.outcomes().record_early_refusal(&EarlyRefusal {
            now: self.clock.now(),
            service: &request.service,
            id: &request.trace_id,
            kind,
            ran: Ran::Unknown,
        });
    }

    fn validate_id<'a>(&self, request: &'a Request) -> Result<OnceId<'a>, BoxedRefusal> {
        let Some(id) = OnceId::parse(&request.trace_id) else {
            return Err(refuse::not_run(
                "bad-id",
                "the id of a once-only request must contain its issue time",
                "use \"<unix ms>-<random>\" and keep it for repeats",
            ));
        };
        let now = self.once().unix_ms();
        if id.issued_ms > now + MAX_CLOCK_SKEW_MS {
            let detail = "the id was issued in the future";
            let remedy = "correct the clock and repeat with the same id";
            return Err(refuse::refusal(Ran::Unknown, "bad-id", detail, remedy));
        }
        let window = once_window_ms(request.service.limits.once_secs);
        if id.issued_ms + window < now {
            return Err(refuse::refusal(
                Ran::Unknown,
                "too-old",
                "the id is older than the window in which ids are remembered",
                "find out whether the request ran before sending it under a new id",
            ));
        }
        Ok(id)
    }

    /// Sends the claim to the holder until it answers. Repeating it is safe,
    /// since a claim by the same query gets the same answer.
    async fn claim_record(&self, claim: &Claim, deadline: Time) -> Option<ClaimAnswer> {
        let mut rng = SmallRng::seed_from_u64(claim.claimer.seq);
        for retries in 0..MAX_HOLDER_ATTEMPTS {
            let left = deadline.time_left(self.clock.now());
            let reply = self.request_holder(claim.unit, ControlRequest::Claim(claim.clone()));
            let answer = tokio::time::timeout(left, reply).await.ok()?;
            if let Some(ControlAnswer::Claim(answer)) = answer
                && answer != ClaimAnswer::NotHolder
            {
                return Some(answer);
            }
            if !self.wait_before_retry(retries, deadline, &mut rng).await {
                return None;
            }
        }
        None
    }

    /// Waits before the next attempt; false if the deadline would pass.
    async fn wait_before_retry(&self, retries: u32, deadline: Time, rng: &mut impl Rng) -> bool {
        let delay = FIRST_RETRY_DELAY.mul_f64(rng.random_range(0.5..1.5)) * (1 << retries);
        if self.clock.now() + delay >= deadline {
            return false;
        }
        tokio::time::sleep(delay).await;
        true
    }

    fn holder(&self, unit: TargetId) -> Option<NodeId> {
        self.view.load().owners.get(&unit).map(|owner| owner.node)
    }

    async fn request_holder(
        &self,
        unit: TargetId,
        message: ControlRequest,
    ) -> Option<ControlAnswer> {
        let node = self.holder(unit)?;
        if node == self.own_id {
            return match &message {
                ControlRequest::Claim(claim) => {
                    Some(ControlAnswer::Claim(self.once().claim(claim)))
                }
                ControlRequest::ReportOutcome(report) => {
                    self.once().record_outcome(report);
                    Some(ControlAnswer::Accepted)
                }
                _ => None,
            };
        }
        let address = peer_address(&self.view.load(), node)?;
        (self.peers.control)((address, message)).await.ok()
    }

    async fn run_granted(
        self: &Arc<Self>,
        query: QueryId,
        claim: Claim,
        request: &Request,
    ) -> Result<OnceAnswer, BoxedRefusal> {
        let served = self.run(query, request).await;
        let end = match &served {
            Ok(served) => Ending::Ran(served.merged.body.clone()),
            Err(refused) if refused.ran() == v1::Ran::NotRun => Ending::NotRun,
            Err(_) => Ending::Unknown,
        };
        let report = OutcomeReport {
            unit: claim.unit,
            id: claim.id,
            claimer: query,
            end,
        };
        let entry = Arc::clone(self);
        let report_task = tokio::spawn(async move { entry.report_outcome(report).await });
        let _ = tokio::time::timeout(REPORT_TIMEOUT, report_task).await;
        served.map(OnceAnswer::Ran)
    }

    /// Reports the end of the request to the holder. If that fails, the record
    /// leaves open whether the request ran.
    async fn report_outcome(&self, report: OutcomeReport) {
        let mut rng = SmallRng::seed_from_u64(report.claimer.seq);
        let deadline = self.clock.now() + REPORT_TIMEOUT;
        for retries in 0..MAX_HOLDER_ATTEMPTS {
            let answer = self
                .request_holder(report.unit, ControlRequest::ReportOutcome(report.clone()))
                .await;
            if answer == Some(ControlAnswer::Accepted) {
                return;
            }
            if !self.wait_before_retry(retries, deadline, &mut rng).await {
                break;
            }
        }
        log::warn!(id = report.id.as_str(); "once.unsettled");
    }
}
