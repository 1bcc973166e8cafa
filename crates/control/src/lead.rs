//! Leadership of one failure domain by a lease of the platform's store.
//!
//! Time counts from before a call was sent, so that the leader's own end of
//! the lease lies before the store's. A leader that cannot renew goes on as
//! *unsure*; see [`crate::grants`] for what it may still grant.

use std::time::Duration;

use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::{Epoch, NodeId, Revision, Time};
use serde::{Deserialize, Serialize};

/// Time to live of the lease.
pub const TTL: Duration = Duration::from_secs(3);

/// Time between two renewals.
pub const RENEW: Duration = Duration::from_secs(1);

/// Time between two tries of a candidate.
pub const RETRY: Duration = Duration::from_millis(500);

/// Longest gap between two looks at the clock; a longer one was a pause.
pub const PAUSE: Duration = Duration::from_secs(2);

/// Value of the key that names the leader of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Leader.
    pub info: NodeInfo,
    /// Its lease.
    pub lease: u64,
}

/// How the last term of a failure domain ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastTerm {
    /// Term.
    pub term: Epoch,
    /// True once its leader had given everything back.
    pub clean: bool,
}

/// Next call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// None before this time.
    Wait(Time),
    /// Read the key that names the leader.
    Look,
    /// Take a lease.
    Grant,
    /// Write the key with this lease; it must be absent.
    Claim(u64),
    /// Renew this lease.
    Renew(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Follow,
    Stand,
    Claim { lease: u64, end: Time },
    Lead(Tenure),
}

/// A leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Generation: the revision at which the key was written.
    pub term: Epoch,
    /// End of the lease on the leader's clock.
    pub end: Time,
    /// True once the lease ended without being renewed.
    pub unsure: bool,
    /// True when the leader was paused while its lease ended.
    pub paused: bool,
    /// True when a call to the store failed after the last renewal.
    pub cut: bool,
    lease: u64,
    renew: Time,
}

/// Leadership of one failure domain as one node takes part in it.
#[derive(Clone, Debug)]
pub struct Lead {
    me: NodeId,
    phase: Phase,
    retry: Time,
    checked: Time,
    delay: Duration,
    claimed: Option<(u64, Time)>,
}

impl Lead {
    /// Node `me`, which follows at first.
    #[must_use]
    pub const fn new(me: NodeId) -> Self {
        Self {
            me,
            phase: Phase::Follow,
            retry: Time(0),
            checked: Time(0),
            delay: Duration::ZERO,
            claimed: None,
        }
    }

    /// The leadership, when this node holds it or held it last.
    #[must_use]
    pub const fn tenure(&self) -> Option<Tenure> {
        match self.phase {
            Phase::Lead(tenure) => Some(tenure),
            _ => None,
        }
    }

    /// The lease to give back on a planned stop.
    #[must_use]
    pub const fn lease(&self) -> Option<u64> {
        match self.phase {
            Phase::Lead(tenure) => Some(tenure.lease),
            _ => None,
        }
    }

    /// Looks at the clock; must be called right before acting as leader.
    pub fn check(&mut self, now: Time) {
        let gap = now.since(self.checked);
        self.checked = self.checked.max(now);
        if let Phase::Lead(tenure) = &mut self.phase
            && now >= tenure.end
        {
            tenure.paused |= gap > PAUSE;
            tenure.unsure = true;
        }
    }

    /// Next call. `quiet` is true when the node hears no leader; `delay`
    /// orders the candidates.
    #[must_use]
    pub fn next(&mut self, now: Time, quiet: bool, delay: Duration) -> Step {
        self.check(now);
        self.delay = delay;
        match self.phase {
            Phase::Follow if !quiet => {
                self.retry = now + delay;
                Step::Wait(now + RETRY / 2)
            }
            Phase::Follow if now < self.retry => Step::Wait(self.retry),
            Phase::Follow => Step::Look,
            Phase::Stand => Step::Grant,
            Phase::Claim { lease, end } if now < end => Step::Claim(lease),
            Phase::Claim { .. } => {
                self.phase = Phase::Follow;
                Step::Look
            }
            Phase::Lead(tenure) if now < tenure.renew => Step::Wait(tenure.renew),
            Phase::Lead(tenure) => Step::Renew(tenure.lease),
        }
    }

    /// What the key holds. A claim of this node whose answer was lost is
    /// settled here.
    pub fn on_look(&mut self, now: Time, found: Option<(Revision, &Record)>) {
        self.retry = now + RETRY + self.delay;
        if !matches!(self.phase, Phase::Follow) {
            return;
        }
        let Some((revision, record)) = found else {
            self.phase = Phase::Stand;
            return;
        };
        if let Some((lease, end)) = self.claimed
            && record.info.id == self.me
            && record.lease == lease
        {
            self.take(now, lease, end, revision);
        }
    }

    /// A lease was taken by a call sent at `sent`.
    pub fn on_lease(&mut self, sent: Time, lease: u64) {
        if matches!(self.phase, Phase::Stand) {
            let end = sent + TTL;
            self.phase = Phase::Claim { lease, end };
            self.claimed = Some((lease, end));
        }
    }

    /// The key was written at `revision`.
    pub fn on_claimed(&mut self, now: Time, revision: Revision) {
        if let Phase::Claim { lease, end } = self.phase {
            self.take(now, lease, end, revision);
        }
    }

    /// The lease was renewed by a call sent at `sent`.
    pub fn on_renewed(&mut self, sent: Time) {
        if let Phase::Lead(tenure) = &mut self.phase {
            tenure.end = sent + TTL;
            tenure.renew = sent + RENEW;
            tenure.unsure = false;
            tenure.paused = false;
            tenure.cut = false;
        }
    }

    /// The store knows the lease no more, or another claim won.
    pub fn on_lost(&mut self, now: Time) {
        self.phase = Phase::Follow;
        self.claimed = None;
        self.retry = now;
    }

    /// The store gave no answer or none that helps.
    pub fn on_failed(&mut self, now: Time) {
        self.retry = now + RETRY;
        match &mut self.phase {
            Phase::Lead(tenure) => {
                tenure.renew = now + RETRY;
                tenure.cut = true;
            }
            phase => *phase = Phase::Follow,
        }
    }

    /// Gives the leadership up.
    pub fn resign(&mut self) {
        self.phase = Phase::Follow;
        self.claimed = None;
        self.retry = Time::MAX;
    }

    fn take(&mut self, now: Time, lease: u64, end: Time, revision: Revision) {
        self.checked = now;
        self.phase = Phase::Lead(Tenure {
            term: Epoch(revision.0),
            end,
            unsure: now >= end,
            paused: false,
            cut: false,
            lease,
            renew: now,
        });
    }
}
