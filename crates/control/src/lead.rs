//! Leader election of one failure domain, by a lease in the platform's store.
//!
//! The leader counts the lease from the time at which it sent the call, so that
//! it regards the lease as ended before the store does. A leader whose lease
//! ended without renewal continues with an *expired lease*; see
//! [`crate::grants`] for what it may still grant.

use std::time::Duration;

use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::{Epoch, NodeId, Revision, Time};
use serde::{Deserialize, Serialize};

/// Time to live of the leader's lease.
pub const LEASE_TTL: Duration = Duration::from_secs(3);

/// Time between two renewals of the lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Delay of the next store call of a candidate, or of a leader whose renewal
/// failed.
pub const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest time between two calls of [`Leadership::check_lease`] by a process
/// that runs; a longer one means that it was paused.
pub const MAX_CHECK_GAP: Duration = Duration::from_secs(2);

/// Value of the key that names the leader of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Names and addresses of the leader.
    pub info: NodeInfo,
    /// Id of its lease in the store.
    pub lease: u64,
}

/// How the last term of a failure domain ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastTerm {
    /// The term that ended.
    pub term: Epoch,
    /// True once its leader has resigned in a planned shutdown.
    pub clean: bool,
}

/// Next call that a node shall make to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// No call before this time.
    Wait(Time),
    /// Read the key that names the leader.
    ReadKey,
    /// Request a lease.
    Grant,
    /// Write the key that names the leader, with this lease, if it is absent.
    Claim(u64),
    /// Renew this lease.
    Renew(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Follower,
    /// The key was absent; the node needs a lease to write it.
    Candidate,
    /// The node has a lease and tries to write the key.
    Claiming {
        lease: u64,
        end: Time,
    },
    Leader(Tenure),
}

/// Leadership held by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Term: the revision at which the key was written.
    pub term: Epoch,
    /// End of the lease on the leader's clock.
    pub lease_end: Time,
    /// True once the lease ended without being renewed.
    pub lease_expired: bool,
    /// True when the process was paused while its lease ended.
    pub paused: bool,
    /// True when a call to the store failed after the last renewal.
    pub store_failed: bool,
    lease: u64,
    renew_at: Time,
}

/// Election state of one node in one failure domain.
#[derive(Clone, Debug)]
pub struct Leadership {
    me: NodeId,
    phase: Phase,
    retry_at: Time,
    last_check: Time,
    candidate_delay: Duration,
    /// Lease of the last claim and its end, to recognize a claim that succeeded
    /// although its answer was lost.
    last_claim: Option<(u64, Time)>,
}

impl Leadership {
    /// Election state of node `me`, which starts as a follower.
    #[must_use]
    pub const fn new(me: NodeId) -> Self {
        Self {
            me,
            phase: Phase::Follower,
            retry_at: Time(0),
            last_check: Time(0),
            candidate_delay: Duration::ZERO,
            last_claim: None,
        }
    }

    /// The leadership, if this node holds it or its lease ended without a
    /// successor being known.
    #[must_use]
    pub const fn tenure(&self) -> Option<Tenure> {
        match self.phase {
            Phase::Leader(tenure) => Some(tenure),
            _ => None,
        }
    }

    /// The lease to revoke on a planned shutdown.
    #[must_use]
    pub const fn lease(&self) -> Option<u64> {
        match self.phase {
            Phase::Leader(tenure) => Some(tenure.lease),
            _ => None,
        }
    }

    /// Marks the lease as expired if it ended. Must be called right before acting
    /// as leader.
    pub fn check_lease(&mut self, now: Time) {
        let gap = now.since(self.last_check);
        self.last_check = self.last_check.max(now);
        if let Phase::Leader(tenure) = &mut self.phase
            && now >= tenure.lease_end
        {
            tenure.paused |= gap > MAX_CHECK_GAP;
            tenure.lease_expired = true;
        }
    }

    /// Returns the next call to the store. `no_leader` is true when the node
    /// hears no leader; `delay` differs per node, so that candidates don't all
    /// try at once.
    #[must_use]
    pub fn next_step(&mut self, now: Time, no_leader: bool, delay: Duration) -> Step {
        self.check_lease(now);
        self.candidate_delay = delay;
        match self.phase {
            Phase::Follower if !no_leader => {
                self.retry_at = now + delay;
                Step::Wait(now + RETRY_DELAY / 2)
            }
            Phase::Follower if now < self.retry_at => Step::Wait(self.retry_at),
            Phase::Follower => Step::ReadKey,
            Phase::Candidate => Step::Grant,
            Phase::Claiming { lease, end } if now < end => Step::Claim(lease),
            Phase::Claiming { .. } => {
                self.phase = Phase::Follower;
                Step::ReadKey
            }
            Phase::Leader(tenure) if now < tenure.renew_at => Step::Wait(tenure.renew_at),
            Phase::Leader(tenure) => Step::Renew(tenure.lease),
        }
    }

    /// Handles the value read from the key. A claim of this node that succeeded
    /// although its answer was lost is recognized here.
    pub fn on_key_read(&mut self, now: Time, found: Option<(Revision, &LeaderRecord)>) {
        self.retry_at = now + RETRY_DELAY + self.candidate_delay;
        if !matches!(self.phase, Phase::Follower) {
            return;
        }
        let Some((revision, record)) = found else {
            self.phase = Phase::Candidate;
            return;
        };
        if let Some((lease, end)) = self.last_claim
            && record.info.id == self.me
            && record.lease == lease
        {
            self.become_leader(now, lease, end, revision);
        }
    }

    /// Handles a lease granted to a call sent at `sent`.
    pub fn on_lease(&mut self, sent: Time, lease: u64) {
        if matches!(self.phase, Phase::Candidate) {
            let end = sent + LEASE_TTL;
            self.phase = Phase::Claiming { lease, end };
            self.last_claim = Some((lease, end));
        }
    }

    /// Handles the success of a claim: the key was written at `revision`.
    pub fn on_claimed(&mut self, now: Time, revision: Revision) {
        if let Phase::Claiming { lease, end } = self.phase {
            self.become_leader(now, lease, end, revision);
        }
    }

    /// Handles the renewal of the lease by a call sent at `sent`.
    pub fn on_renewed(&mut self, sent: Time) {
        if let Phase::Leader(tenure) = &mut self.phase {
            tenure.lease_end = sent + LEASE_TTL;
            tenure.renew_at = sent + RENEWAL_INTERVAL;
            tenure.lease_expired = false;
            tenure.paused = false;
            tenure.store_failed = false;
        }
    }

    /// Handles the loss of the lease or of a claim: the store no longer has the
    /// lease, or another node wrote the key.
    pub fn on_lease_lost(&mut self, now: Time) {
        self.phase = Phase::Follower;
        self.last_claim = None;
        self.retry_at = now;
    }

    /// Handles a store call that got no answer or an unusable one.
    pub fn on_store_failed(&mut self, now: Time) {
        self.retry_at = now + RETRY_DELAY;
        match &mut self.phase {
            Phase::Leader(tenure) => {
                tenure.renew_at = now + RETRY_DELAY;
                tenure.store_failed = true;
            }
            phase => *phase = Phase::Follower,
        }
    }

    /// Gives up the leadership and never becomes a candidate again.
    pub fn resign(&mut self) {
        self.phase = Phase::Follower;
        self.last_claim = None;
        self.retry_at = Time::MAX;
    }

    fn become_leader(&mut self, now: Time, lease: u64, end: Time, revision: Revision) {
        self.last_check = now;
        self.phase = Phase::Leader(Tenure {
            term: Epoch(revision.0),
            lease_end: end,
            lease_expired: now >= end,
            paused: false,
            store_failed: false,
            lease,
            renew_at: now,
        });
    }
}
