//! Decides when a query ends and with which verdict.

use heatherrun_kernel::Time;
use heatherrun_kernel::message::{Failure, Ran};

use super::{Merged, Missing, PARTIAL_WAIT_FACTOR, Query, Verdict, shard_index};
use crate::answer::severity;

impl Query {
    /// Time of the next timer of the query: a retry round, a hedge, the end of
    /// the wait for full coverage, or the deadline.
    #[must_use]
    pub fn wake_at(&self, now: Time) -> Time {
        let mut wake = self.answer_deadline();
        for state in &self.shard_states {
            if let Some(at) = state.wake_at() {
                wake = wake.min(at);
            }
        }
        let partial_end = self.partial_wait_end();
        if self.accepts_partial() && partial_end > now {
            wake = wake.min(partial_end);
        }
        wake.max(now)
    }

    fn accepts_partial(&self) -> bool {
        (1..100).contains(&self.spec.min_coverage)
    }

    /// Time from which an answer with enough coverage no longer waits for the
    /// remaining shards.
    fn partial_wait_end(&self) -> Time {
        let unsettled = self.shard_states.iter().filter(|state| !state.is_settled());
        let last_sent = unsettled
            .filter_map(|state| state.open_calls.iter().map(|sent| sent.sent_at).min())
            .max();
        match last_sent {
            Some(sent_at) if !self.probing => sent_at + self.spec.hedge_delay * PARTIAL_WAIT_FACTOR,
            _ => self.answer_deadline(),
        }
    }

    /// Returns the verdict once every shard has replied or failed, enough
    /// shards have replied and the wait for the others is over, the accepted
    /// coverage has become unreachable, or the time has run out.
    pub fn verdict(&mut self, now: Time) -> Option<Verdict> {
        let total = self.shard_states.len();
        let failed = self
            .shard_states
            .iter()
            .filter(|state| state.is_failed())
            .count();
        let settled = self
            .shard_states
            .iter()
            .filter(|state| state.is_settled())
            .count();
        let covered_shards = settled - failed;
        let minimum_unreachable = !self.covers_minimum(total - failed, total);
        let waited_enough = self.accepts_partial()
            && self.covers_minimum(covered_shards, total)
            && now >= self.partial_wait_end();
        let done = settled == total
            || minimum_unreachable
            || waited_enough
            || now >= self.answer_deadline();
        if !done {
            return None;
        }
        Some(if self.covers_minimum(covered_shards, total) {
            Verdict::Answer(self.merge(covered_shards, total))
        } else {
            self.refusal(covered_shards, total)
        })
    }

    fn covers_minimum(&self, covered_shards: usize, total: usize) -> bool {
        covered_shards > 0 && covered_shards * 100 >= usize::from(self.spec.min_coverage) * total
    }

    fn refusal(&self, covered_shards: usize, total: usize) -> Verdict {
        let mut ran = Ran::NotRun;
        if self.may_have_run || self.open_calls() > 0 {
            ran = Ran::Unknown;
        }
        let missing = self
            .shard_states
            .iter()
            .filter(|state| state.reply.is_none());
        let failures = missing.map(|state| state.failure.unwrap_or(Failure::TimedOut));
        Verdict::Refused {
            ran,
            failure: failures
                .max_by_key(|failure| severity(*failure))
                .unwrap_or(Failure::TimedOut),
            coverage: (covered_shards, total),
        }
    }

    fn merge(&mut self, covered_shards: usize, total: usize) -> Merged {
        let mut merged = Merged {
            snapshot: self.snapshot,
            covered_shards,
            total,
            ..Merged::default()
        };
        for (shard, state) in self.shard_states.iter_mut().enumerate() {
            match state.reply.take() {
                Some((lots, body)) => {
                    merged.lots.extend(lots);
                    merged.body = body;
                }
                None => merged.missing.push(Missing {
                    shard: shard_index(shard),
                    failure: state.failure.unwrap_or(Failure::TimedOut),
                }),
            }
        }
        merged.rank_lots(self.spec.limit);
        merged
    }
}
