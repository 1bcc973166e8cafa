//! What one query knows of one shard.

use std::time::Duration;

use heatherrun_kernel::message::{Failure, Lot};
use heatherrun_kernel::{TargetId, Time};

use crate::query::Sent;

/// Attempts for one shard of a search at the most, the first included.
const MOST_ATTEMPTS: usize = 8;

/// Calls open for one shard at the most.
const MOST_OPEN: usize = 3;

/// First pause before a shard whose replicas all refused is tried again.
const PAUSE: Duration = Duration::from_millis(4);

/// Such pauses at the most.
const MOST_PAUSES: u32 = 6;

/// Longest such pause.
const MOST_PAUSE: Duration = Duration::from_millis(64);

/// One shard of a query.
#[derive(Debug, Default)]
pub(crate) struct Slot {
    /// Calls that are out.
    pub open: Vec<Sent>,
    /// Targets tried since the last pause.
    pub tried: Vec<TargetId>,
    /// Calls sent.
    pub attempts: usize,
    /// Reply to merge.
    pub reply: Option<(Vec<Lot>, Vec<u8>)>,
    /// Why the last attempt failed.
    pub failure: Option<Failure>,
    /// When the shard is tried again.
    pub again: Option<Time>,
    /// When the open call is hedged.
    pub hedge: Option<Time>,
    pauses: u32,
}

impl Slot {
    /// Whether nothing more will be known of the shard.
    pub fn is_settled(&self) -> bool {
        self.reply.is_some() || self.is_failed()
    }

    /// Whether the shard stays uncovered.
    pub fn is_failed(&self) -> bool {
        let idle = self.open.is_empty() && self.again.is_none();
        self.reply.is_none() && idle && self.failure.is_some()
    }

    /// Whether nothing was sent or refused yet.
    pub fn is_held(&self) -> bool {
        self.open.is_empty() && self.reply.is_none() && self.failure.is_none()
    }

    /// Whether another attempt may be made at all.
    pub fn may_send(&self) -> bool {
        self.reply.is_none() && self.attempts < MOST_ATTEMPTS && self.open.len() < MOST_OPEN
    }

    /// Plans another round over all replicas; `jitter` lies between 0 and 1.
    /// False when the deadline is too near.
    pub fn pause(&mut self, now: Time, end: Time, jitter: f64) -> bool {
        if self.attempts >= MOST_ATTEMPTS || self.pauses >= MOST_PAUSES {
            return false;
        }
        let pause = (PAUSE * (1 << self.pauses)).min(MOST_PAUSE);
        let again = now + pause.mul_f64(0.5 + jitter);
        if again >= end {
            return false;
        }
        self.pauses += 1;
        self.tried.clear();
        self.again = Some(again);
        true
    }

    /// Next point at which something must be decided for the shard.
    pub fn wake_at(&self) -> Option<Time> {
        if self.reply.is_some() {
            return None;
        }
        match (self.again, self.hedge) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}
