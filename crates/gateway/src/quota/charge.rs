//! Charges a request to its team before it is served.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Team;
use heatherrun_ports::http_reply::Reply;
use heatherrun_routing::quota::Limit;
use heatherrun_routing::quota::stock::{Decision, Source, Terms};

use super::{Quota, TeamQuota};
use crate::log_throttle::LineKind;
use crate::reply;
use crate::state::State;

/// Maximum wait of a request for credit, and the part of its objective.
const MAX_WAIT: Duration = Duration::from_millis(60);
const OBJECTIVE_DIVISOR: u32 = 5;

/// `Retry-After` of requests whose quota cannot be checked: a node in reserve
/// reaches another granter within that time.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Maximum share by which `Retry-After` is lengthened at random, so that callers
/// do not return together.
const RETRY_JITTER: f64 = 0.25;

/// Decision on a request of a team.
#[derive(Debug)]
pub enum Charge {
    /// It may run.
    Admitted(Credit),
    /// The team is over its limit; credit is expected after this time.
    OverLimit(Duration),
    /// No granter was reached, and this node has no share.
    Unavailable,
}

/// What a request took. It is used up unless it is refunded.
#[derive(Debug, Default)]
pub struct Credit(Option<(Arc<TeamQuota>, Source)>);

impl Credit {
    /// Returns the credit of a request that no target ran.
    pub fn refund(&self) {
        if let Some((team, source)) = &self.0 {
            team.lock().0.refund(*source);
        }
    }
}

/// Counts a waiting request as long as it exists.
struct Waiting(Arc<TeamQuota>);

impl Waiting {
    fn new(team: &Arc<TeamQuota>) -> Self {
        team.waiting.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(team))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Quota {
    /// Charges a request that arrived at `now` to `team`, and waits for credit
    /// up to a fifth of the objective.
    pub async fn charge(
        &self,
        state: &State,
        team: &Team,
        now: Time,
        objective: Duration,
    ) -> Charge {
        let Some(limit) = Limit::of(team) else {
            return Charge::Admitted(Credit::default());
        };
        let mut known = self.teams.load().get(&team.name).cloned();
        if known.is_none() {
            self.update(state, now);
            known = self.teams.load().get(&team.name).cloned();
        }
        let Some(team) = known else {
            return Charge::Unavailable;
        };
        team.lock().0.record_request(now);
        let until = now + MAX_WAIT.min(objective / OBJECTIVE_DIVISOR);
        let mut waiting = None;
        loop {
            let now = state.clock.now();
            // Subscribed before the decision, so that no answer is missed.
            let mut answers = self.groups[team.group].answers.subscribe();
            let wake_at = match self.take(state, &team, now, limit) {
                Decision::Admitted(source) => {
                    if source == Source::Advance {
                        // Once it is reported, the node may admit the next one.
                        self.ask(&team);
                    }
                    return Charge::Admitted(Credit(Some((team, source))));
                }
                Decision::OverLimit(after) if now + after < until => now + after,
                Decision::OverLimit(after) => return Charge::OverLimit(after),
                Decision::Ask if now >= until => return Charge::Unavailable,
                Decision::Ask => {
                    waiting.get_or_insert_with(|| Waiting::new(&team));
                    self.ask(&team);
                    until
                }
            };
            tokio::select! {
                _ = answers.changed() => {}
                () = state.clock.sleep_until(wake_at) => {}
            }
        }
    }

    fn take(&self, state: &State, team: &TeamQuota, now: Time, limit: Limit) -> Decision {
        let contact = self.groups[team.group].contact().0.answered();
        let terms = Terms {
            limit,
            contact,
            share: state.shares.load().total_share,
            may_advance: team.may_advance.load(Ordering::Relaxed),
        };
        team.lock().0.take(now, &terms)
    }

    /// Has the granter asked at once.
    fn ask(&self, team: &TeamQuota) {
        let first = self.groups[team.group].first.load(Ordering::Relaxed);
        self.groups[first].ask.notify_one();
    }
}

/// Charges a request with this id to its team.
///
/// # Errors
/// The reply that refuses it.
pub async fn charge_team(
    state: &State,
    team: &Team,
    id: &str,
    now: Time,
    objective: Duration,
) -> Result<Credit, Box<Reply>> {
    let charge = state.quota.charge(state, team, now, objective).await;
    let refusal = match charge {
        Charge::Admitted(credit) => {
            if let Some((_, source)) = &credit.0 {
                state.metrics.record_quota(&team.name, source.name());
            }
            return Ok(credit);
        }
        Charge::OverLimit(after) => {
            state.metrics.record_quota(&team.name, "over-limit");
            state.metrics.record_rejection("over-quota");
            log_refusal(state, team, id, "over-limit");
            let jitter = 1.0 + RETRY_JITTER * rand::random::<f64>();
            reply::over_quota(after.mul_f64(jitter))
        }
        Charge::Unavailable => {
            state.metrics.record_quota(&team.name, "unavailable");
            state.metrics.record_rejection("quota-unknown");
            log_refusal(state, team, id, "unavailable");
            let reason = "the quota of the team cannot be checked";
            reply::not_run(reason, UNAVAILABLE_RETRY_AFTER)
        }
    };
    Err(Box::new(refusal))
}

fn log_refusal(state: &State, team: &Team, id: &str, cause: &str) {
    let now = state.clock.now();
    if !state.log_throttle.allows(now, LineKind::OverQuota) {
        return;
    }
    let teams = state.quota.teams.load();
    let used = teams.get(&team.name).map(|t| t.lock().0.demand(now));
    let (used, limit) = (used.unwrap_or_default(), team.per_sec.unwrap_or_default());
    log::info!(id, team = &*team.name, used, limit, cause; "request.over-quota");
}
