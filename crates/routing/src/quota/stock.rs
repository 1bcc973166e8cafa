//! Credit of one team at one node.

use std::time::Duration;

use heatherrun_kernel::Time;

use super::{CREDIT_TTL, Demand, Grant, Limit, TRUST_TIME};

/// Time constant of the demand estimate.
const DEMAND_SECS: f64 = 1.0;

/// Period of demand that the stock covers, and the number of standard deviations
/// of the arrivals in it that it covers in addition.
const STOCK_SECS: f64 = 0.5;
const STOCK_DEVIATIONS: f64 = 1.5;

/// Mean demand in that period below which a node holds no stock. The credit of a
/// small team would lie unused at the nodes that served its last requests.
const MIN_STOCK: f64 = 0.75;

/// Time without a granter from which the other nodes may no longer count this
/// one, and the share of the rate that it uses at most from then on. It stays
/// below the overshoot that a quota allows.
const ISOLATED_AFTER: Duration = Duration::from_secs(15);
const ISOLATED_SHARE: f64 = 0.08;

/// Time for which an own bucket is kept after its last use.
const OWN_TTL: Duration = Duration::from_secs(10);

/// What a request of a team was admitted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Credit of the granter.
    Credit,
    /// No credit yet; it is reported to the granter.
    Advance,
    /// This node's share of the rate.
    OwnShare,
}

impl Source {
    /// Name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Credit => "credit",
            Self::Advance => "advance",
            Self::OwnShare => "own-share",
        }
    }
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Admitted(Source),
    /// The granter must be asked.
    Ask,
    /// The team is over its limit; credit is expected after this time.
    OverLimit(Duration),
}

/// What a node knows when it decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Limit of the team.
    pub limit: Limit,
    /// When the last answered message to the granter was sent; `None` if it
    /// never answered.
    pub contact: Option<Time>,
    /// Share of this node in limits of all nodes; zero in reserve.
    pub share: f64,
    /// Whether this node may admit a request without credit.
    pub may_advance: bool,
}

impl Terms {
    /// Whether the granter is in touch.
    #[must_use]
    pub fn is_in_touch(&self, now: Time) -> bool {
        self.contact.is_some_and(|at| now.since(at) < TRUST_TIME)
    }
}

/// Credit of one team at this node.
#[derive(Debug, Default)]
pub struct Stock {
    credit: f64,
    expires: Time,
    /// Requests admitted without credit that no answered message reported.
    unreported: f64,
    /// Those among them that the message under way reports.
    reporting: f64,
    /// Requests in the last second, decayed, at `counted_at`.
    recent: f64,
    counted_at: Time,
    /// Until when the granter has no credit.
    denied_until: Time,
    /// Own bucket, in use while the granter is out of touch.
    own: Option<OwnBucket>,
}

/// Bucket of this node's share.
#[derive(Clone, Copy, Debug)]
struct OwnBucket {
    level: f64,
    filled_at: Time,
    used_at: Time,
}

impl Stock {
    /// Records that a request of the team arrived.
    pub fn record_request(&mut self, now: Time) {
        self.recent = self.demand(now) * DEMAND_SECS + 1.0;
        self.counted_at = now;
    }

    /// Requests per second of the team at this node.
    #[must_use]
    pub fn demand(&self, now: Time) -> f64 {
        let secs = now.since(self.counted_at).as_secs_f64();
        self.recent * (-secs / DEMAND_SECS).exp() / DEMAND_SECS
    }

    /// Decides on a request, and takes what it needs.
    pub fn take(&mut self, now: Time, terms: &Terms) -> Decision {
        self.expire(now);
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return Decision::Admitted(Source::Credit);
        }
        if !terms.is_in_touch(now) {
            if terms.share <= 0.0 {
                return Decision::Ask;
            }
            return self.take_own(now, terms);
        }
        self.leave_own(now);
        if now < self.denied_until {
            return Decision::OverLimit(self.denied_until.time_left(now));
        }
        if terms.may_advance && self.unreported < 1.0 {
            self.unreported += 1.0;
            return Decision::Admitted(Source::Advance);
        }
        Decision::Ask
    }

    /// Returns what a request took that was not run.
    pub fn refund(&mut self, source: Source) {
        match source {
            Source::Advance if self.unreported - self.reporting >= 1.0 => self.unreported -= 1.0,
            Source::OwnShare => {
                if let Some(own) = &mut self.own {
                    own.level += 1.0;
                }
            }
            Source::Credit | Source::Advance => self.credit += 1.0,
        }
    }

    /// Demand for the next message, while `waiting` requests wait. The credit
    /// that is returned is no longer held.
    pub fn report(&mut self, now: Time, waiting: f64) -> Demand {
        self.expire(now);
        let mean = self.demand(now) * STOCK_SECS;
        let target = if mean < MIN_STOCK {
            0.0
        } else {
            (mean + STOCK_DEVIATIONS * mean.sqrt()).round()
        };
        let kept = if target > 0.0 { target + 1.0 } else { 0.0 };
        let returned = (self.credit - kept).max(0.0).floor();
        self.credit -= returned;
        self.reporting = self.unreported;
        Demand {
            used: self.unreported,
            returned,
            wanted: waiting + (target - self.credit).max(0.0),
            waiting,
            held: self.credit,
        }
    }

    /// Applies the answer to the message sent at `sent`.
    pub fn apply(&mut self, now: Time, sent: Time, grant: &Grant) {
        self.unreported -= self.reporting;
        self.reporting = 0.0;
        self.expire(now);
        self.credit += grant.granted.max(0.0).floor();
        if grant.granted >= 1.0 || self.credit < 1.0 {
            self.expires = sent + CREDIT_TTL;
        }
        self.denied_until = if grant.retry_after.is_zero() {
            Time::default()
        } else {
            now + grant.retry_after
        };
    }

    /// Records that the message under way was not answered. What it reported may
    /// be reported twice, which only costs the team credit.
    pub fn report_lost(&mut self) {
        self.reporting = 0.0;
    }

    /// Whether there is nothing to tell the granter.
    #[must_use]
    pub fn is_idle(&self, now: Time) -> bool {
        self.unreported <= 0.0 && self.credit <= 0.0 && self.demand(now) < 0.05
    }

    /// Reduces the credit in proportion when the limit is lowered.
    pub fn limit_changed(&mut self, old: Limit, new: Limit) {
        let ratio = new.capacity() / old.capacity();
        if ratio < 1.0 {
            self.credit = (self.credit * ratio).floor();
        }
    }

    fn expire(&mut self, now: Time) {
        if now >= self.expires {
            self.credit = 0.0;
        }
    }

    /// Stops the own bucket from filling. It is kept for some time, so that a
    /// link that fails again and again does not yield a first request each time.
    fn leave_own(&mut self, now: Time) {
        self.own = self.own.take().filter(|o| now.since(o.used_at) < OWN_TTL);
        if let Some(own) = &mut self.own {
            own.filled_at = now;
        }
    }

    fn take_own(&mut self, now: Time, terms: &Terms) -> Decision {
        let isolated = terms
            .contact
            .is_none_or(|at| now.since(at) >= ISOLATED_AFTER);
        let share = if isolated && terms.contact.is_some() {
            terms.share.min(ISOLATED_SHARE)
        } else {
            terms.share
        };
        let per_sec = (terms.limit.per_sec * share).max(1e-6);
        let first = if terms.may_advance {
            1.0 - self.unreported
        } else {
            0.0
        };
        let own = self.own.get_or_insert(OwnBucket {
            level: first,
            filled_at: now,
            used_at: now,
        });
        own.used_at = now;
        let secs = now.since(own.filled_at).as_secs_f64();
        let capacity = (terms.limit.burst * share).max(1.0);
        own.level = (own.level + per_sec * secs).min(capacity);
        own.filled_at = now;
        if own.level >= 1.0 {
            own.level -= 1.0;
            return Decision::Admitted(Source::OwnShare);
        }
        let wait = ((1.0 - own.level) / per_sec).min(60.0);
        Decision::OverLimit(Duration::from_secs_f64(wait))
    }
}
