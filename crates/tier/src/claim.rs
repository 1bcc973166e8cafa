//! The entry's side of a once-only request: it is claimed at the holder of
//! its record, run after a grant alone, and its end told to the holder.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::control::{Answer, Ask, Claim, ClaimAnswer, Ending, Settle};
use heatherrun_kernel::message::Ran;
use heatherrun_kernel::{NodeId, QueryId, TargetId, Time};
use heatherrun_policy::once::SKEW_MS;
use heatherrun_schema::v1;
use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};

use crate::batches::peer_address;
use crate::entry::{Entry, Served};
use crate::once::{OnceId, window_ms};
use crate::outcome::{Early, SHED};
use crate::refuse;
use crate::request::Request;

/// Times that the holder is asked, and told, before the entry gives up.
const TRIES: u32 = 5;

/// First pause between two tries.
const PAUSE: Duration = Duration::from_millis(5);

/// Longest time that an answer waits for the holder to note its end.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// What the caller must do, whatever became of the request.
const REPEAT: &str = "repeat with the same id, which is always safe";

type Refused = Box<v1::Refusal>;

/// Answer of a once-only request: from a run, or from the record of one.
pub(crate) enum OnceServed {
    /// It ran now.
    Ran(Served),
    /// It ran before.
    Replayed(Vec<u8>),
}

fn unknown<T>(kind: &str, detail: &str) -> Result<T, Refused> {
    let mut refused = refuse::refusal(Ran::Unknown, kind, detail, REPEAT);
    refused.retry_ms = refuse::RETRY_MS;
    Err(refused)
}

impl Entry {
    /// Serves a once-only request.
    pub(crate) async fn serve_once(
        self: &Arc<Self>,
        request: Request,
    ) -> Result<OnceServed, Refused> {
        let id = self.check_id(&request)?;
        let shared = self.shared(&request.service);
        let Some(_places) = self.admit(&shared, request.class) else {
            self.note_unknown(&request, SHED);
            return unknown("overloaded", "this node is at its limit for the class");
        };
        let query = self.next_id();
        let claim = Claim {
            unit: id.unit(&request.service.name),
            id: id.text.to_owned(),
            issued: id.issued,
            print: request.print,
            by: query,
        };
        match self.claim(&claim, request.deadline).await {
            Some(ClaimAnswer::Granted) => self.run_granted(query, claim, &request).await,
            Some(ClaimAnswer::Ran(body)) => Ok(OnceServed::Replayed(body)),
            Some(ClaimAnswer::Conflict) => Err(refuse::not_run(
                "conflict",
                "the id was used with another body",
                "send each request under an id of its own",
            )),
            Some(ClaimAnswer::TooOld) => Err(refuse::refusal(
                Ran::Unknown,
                "too-old",
                "the id is older than the window in which ids are remembered",
                "find out whether the request ran before sending it under a new id",
            )),
            Some(ClaimAnswer::Unknown) => unknown("pending", "it is running, or may have run"),
            Some(ClaimAnswer::NotHolder) | None => {
                self.note_unknown(&request, "no-holder");
                unknown("unavailable", "the holder of its record gave no answer")
            }
        }
    }

    /// Counts a refusal before the request was run here.
    fn note_unknown(&self, request: &Request, kind: &str) {
        self.outcomes().refused_early(&Early {
            now: self.clock.now(),
            service: &request.service,
            id: &request.trace,
            kind,
            ran: Ran::Unknown,
        });
    }

    fn check_id<'a>(&self, request: &'a Request) -> Result<OnceId<'a>, Refused> {
        let Some(id) = OnceId::parse(&request.trace) else {
            return Err(refuse::not_run(
                "bad-id",
                "the id of a once-only request names its issue time",
                "use \"<unix ms>-<random>\" and keep it for repeats",
            ));
        };
        let now = self.once().unix_ms();
        if id.issued > now + SKEW_MS {
            let detail = "the id was issued in the future";
            let remedy = "set the clock, and repeat with the same id";
            return Err(refuse::refusal(Ran::Unknown, "bad-id", detail, remedy));
        }
        let window = window_ms(request.service.limits.once_secs);
        if id.issued + window < now {
            return Err(refuse::refusal(
                Ran::Unknown,
                "too-old",
                "the id is older than the window in which ids are remembered",
                "find out whether the request ran before sending it under a new id",
            ));
        }
        Ok(id)
    }

    /// Asks the holder until it answers. Asking again under the same query is
    /// safe, since the holder answers it alike.
    async fn claim(&self, claim: &Claim, deadline: Time) -> Option<ClaimAnswer> {
        let mut rng = SmallRng::seed_from_u64(claim.by.seq);
        for tries in 0..TRIES {
            let left = deadline.left(self.clock.now());
            let asking = self.ask(claim.unit, Ask::Claim(claim.clone()));
            let answer = tokio::time::timeout(left, asking).await.ok()?;
            if let Some(Answer::Claim(answer)) = answer
                && answer != ClaimAnswer::NotHolder
            {
                return Some(answer);
            }
            if !self.pause(tries, deadline, &mut rng).await {
                return None;
            }
        }
        None
    }

    /// Waits before another try; false when the deadline leaves no time.
    async fn pause(&self, tries: u32, deadline: Time, rng: &mut impl Rng) -> bool {
        let pause = PAUSE.mul_f64(rng.random_range(0.5..1.5)) * (1 << tries);
        if self.clock.now() + pause >= deadline {
            return false;
        }
        tokio::time::sleep(pause).await;
        true
    }

    fn holder(&self, unit: TargetId) -> Option<NodeId> {
        self.view.load().owners.get(&unit).map(|owner| owner.node)
    }

    async fn ask(&self, unit: TargetId, message: Ask) -> Option<Answer> {
        let node = self.holder(unit)?;
        if node == self.me {
            return match &message {
                Ask::Claim(claim) => Some(Answer::Claim(self.once().claim(claim))),
                Ask::Settle(settle) => {
                    self.once().settle(settle);
                    Some(Answer::Taken)
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
    ) -> Result<OnceServed, Refused> {
        let served = self.run(query, request).await;
        let end = match &served {
            Ok(served) => Ending::Ran(served.merged.body.clone()),
            Err(refused) if refused.ran() == v1::Ran::NotRun => Ending::NotRun,
            Err(_) => Ending::Unknown,
        };
        let settle = Settle {
            unit: claim.unit,
            id: claim.id,
            by: query,
            end,
        };
        let entry = Arc::clone(self);
        let settling = tokio::spawn(async move { entry.settle(settle).await });
        let _ = tokio::time::timeout(SETTLE_TIME, settling).await;
        served.map(OnceServed::Ran)
    }

    /// Tells the holder the end; when it cannot be told the record says
    /// unknown.
    async fn settle(&self, settle: Settle) {
        let mut rng = SmallRng::seed_from_u64(settle.by.seq);
        let deadline = self.clock.now() + SETTLE_TIME;
        for tries in 0..TRIES {
            let answer = self.ask(settle.unit, Ask::Settle(settle.clone())).await;
            if answer == Some(Answer::Taken) {
                return;
            }
            if !self.pause(tries, deadline, &mut rng).await {
                break;
            }
        }
        log::warn!(id = settle.id.as_str(); "once.unsettled");
    }
}
