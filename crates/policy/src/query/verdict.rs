//! When a query ends, and with what.

use heatherrun_kernel::Time;
use heatherrun_kernel::message::{Failure, Ran};

use super::{Merged, Missing, PATIENCE, Query, Verdict, index};
use crate::answer::weight;

impl Query {
    /// Point at which something must be decided without a reply.
    #[must_use]
    pub fn wake_at(&self, now: Time) -> Time {
        let mut wake = self.end();
        for slot in &self.slots {
            if let Some(at) = slot.wake_at() {
                wake = wake.min(at);
            }
        }
        let patience = self.patience_end();
        if self.is_partial_accepted() && patience > now {
            wake = wake.min(patience);
        }
        wake.max(now)
    }

    fn is_partial_accepted(&self) -> bool {
        (1..100).contains(&self.spec.least)
    }

    /// Point at which an answer with enough coverage waits no longer.
    fn patience_end(&self) -> Time {
        let sent = self.slots.iter().filter(|s| !s.is_settled());
        let last = sent.filter_map(|s| s.open.iter().map(|o| o.at).min()).max();
        match last {
            Some(last) if !self.probing => last + self.spec.hedge * PATIENCE,
            _ => self.end(),
        }
    }

    /// The verdict, once every shard is settled, enough of them are, too many
    /// failed, or time has run out.
    pub fn verdict(&mut self, now: Time) -> Option<Verdict> {
        let total = self.slots.len();
        let failed = self.slots.iter().filter(|s| s.is_failed()).count();
        let settled = self.slots.iter().filter(|s| s.is_settled()).count();
        let reached = settled - failed;
        let hopeless = !self.covers(total - failed, total);
        let patient =
            self.is_partial_accepted() && self.covers(reached, total) && now >= self.patience_end();
        let done = settled == total || hopeless || patient || now >= self.end();
        if !done {
            return None;
        }
        Some(if self.covers(reached, total) {
            Verdict::Answer(self.merge(reached, total))
        } else {
            self.refuse(reached, total)
        })
    }

    fn covers(&self, reached: usize, total: usize) -> bool {
        reached > 0 && reached * 100 >= usize::from(self.spec.least) * total
    }

    fn refuse(&self, reached: usize, total: usize) -> Verdict {
        let mut ran = Ran::NotRun;
        if self.ran || self.open() > 0 {
            ran = Ran::Unknown;
        }
        let missing = self.slots.iter().filter(|s| s.reply.is_none());
        let failures = missing.map(|s| s.failure.unwrap_or(Failure::TimedOut));
        Verdict::Refused {
            ran,
            failure: failures
                .max_by_key(|f| weight(*f))
                .unwrap_or(Failure::TimedOut),
            reached: (reached, total),
        }
    }

    fn merge(&mut self, reached: usize, total: usize) -> Merged {
        let mut merged = Merged {
            snapshot: self.snapshot,
            reached,
            total,
            ..Merged::default()
        };
        for (shard, slot) in self.slots.iter_mut().enumerate() {
            match slot.reply.take() {
                Some((lots, body)) => {
                    merged.lots.extend(lots);
                    merged.body = body;
                }
                None => merged.missing.push(Missing {
                    shard: index(shard),
                    failure: slot.failure.unwrap_or(Failure::TimedOut),
                }),
            }
        }
        merged.finish(self.spec.limit);
        merged
    }
}
