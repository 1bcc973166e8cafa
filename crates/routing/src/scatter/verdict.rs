//! Decision when a request is answered or fails, and what is missing then.

use heatherrun_kernel::Time;

use super::Scatter;
use super::event::{Cause, RequestShard, TriedShard, Verdict};
use crate::choice::Hold;
use crate::extra_calls::Need;

/// Tolerance for rounding errors when the share of answered shards is compared
/// with the minimum.
const SHARE_TOLERANCE: f64 = 1e-9;

impl Scatter {
    /// Shards without a part, each with the cause; a shard with a call still in
    /// flight is reported as [`Cause::Late`].
    pub fn missing(&self) -> impl Iterator<Item = (RequestShard, Cause)> {
        let missing = self.shards.iter().enumerate();
        let missing = missing.filter(|(_, shard)| shard.part.is_none());
        missing.map(|(ix, shard)| {
            let has_in_flight = !shard.in_flight.is_empty() && !shard.is_left_out;
            let cause = shard.cause.filter(|_| !has_in_flight);
            (ix, cause.unwrap_or(Cause::Late))
        })
    }

    /// What was tried for the shards without a part.
    pub fn tried(&self) -> impl Iterator<Item = TriedShard<'_>> {
        let shards = self.shards.iter().enumerate();
        let missing = shards.filter(|(_, shard)| shard.part.is_none());
        missing.map(|(ix, shard)| TriedShard {
            shard: ix,
            executed: shard.executed,
            unexecuted: shard.unexecuted,
            unpaid: shard.unpaid,
            targets: &shard.tried,
        })
    }

    /// Whether over half of the request's time is left.
    #[must_use]
    pub fn has_half_left(&self, started: Time, now: Time) -> bool {
        self.plan.end.time_left(now) > self.plan.end.time_left(started) / 2
    }

    /// Final outcome of the request; `None` while it is undecided.
    ///
    /// An answer with enough shards is given once no other shard can answer before the
    /// time to answer, or that time has come; a failure once too few shards can still answer,
    /// or at the deadline.
    #[must_use]
    pub fn verdict(&self, now: Time) -> Option<Verdict> {
        let total = self.shards.len();
        let answered = self.shards.iter().filter(|s| s.part.is_some()).count();
        let pending = self.shards.iter().filter(|s| s.is_pending()).count();
        let enough = answered > 0 && self.meets_min_share(answered);
        let expired = now >= self.plan.end;
        let answer_by = self.plan.answer_by;
        let may_answer =
            now >= answer_by || !self.shards.iter().any(|s| s.may_answer_before(answer_by));
        let is_whole = answered > 0 && answered == total;
        if is_whole || (enough && (may_answer || expired)) {
            return Some(Verdict::Answer(
                self.shards.iter().map(|s| s.part).collect(),
            ));
        }
        let cannot_answer = pending == 0 || !self.meets_min_share(answered + pending);
        (expired || cannot_answer).then(|| self.failure(cannot_answer && !expired))
    }

    /// When enough of the shards whose targets may not be sent calls now have
    /// one that may, and why not now; `None` when that is not what the request
    /// lacks.
    #[must_use]
    pub fn held(&self) -> Option<(Time, Hold)> {
        let missing = self.shards.iter().filter(|s| s.part.is_none());
        let mut holds: Vec<_> = missing.filter_map(|s| s.held).collect();
        holds.sort_unstable();
        let available = self.shards.len() - holds.len();
        let needed = (1..=holds.len()).find(|n| self.meets_min_share(available + n))?;
        if self.meets_min_share(available) {
            return None;
        }
        holds.get(needed - 1).copied()
    }

    /// What another call of the shard is needed for: whether the shards with a
    /// part or a call in flight make an answer without it.
    pub(super) fn need(&self, ix: RequestShard) -> Need {
        let others = self.shards.iter().enumerate().filter(|(n, _)| *n != ix);
        let others =
            others.filter(|(_, s)| s.part.is_some() || !(s.in_flight.is_empty() || s.is_left_out));
        let others = others.count();
        match (0..=self.shards.len()).find(|n| self.meets_min_share(others + n)) {
            Some(0) => Need::Optional,
            missing => {
                Need::Missing(missing.map_or(u16::MAX, |n| u16::try_from(n).unwrap_or(u16::MAX)))
            }
        }
    }

    /// Whether this number of answered shards makes an answer.
    pub(super) fn meets_min_share(&self, answered: usize) -> bool {
        #[expect(
            clippy::cast_precision_loss,
            reason = "the number of shards is far below 2^52"
        )]
        let share = answered as f64 / self.shards.len().max(1) as f64;
        share + SHARE_TOLERANCE >= self.plan.min_share
    }

    /// Failure of the request, before its deadline or at it.
    pub(super) fn failure(&self, before_deadline: bool) -> Verdict {
        let not_run = !self.may_have_run();
        let cause = self.shards.iter().filter(|s| s.part.is_none());
        let cause = cause.filter_map(|s| s.cause).max();
        let cause = match cause {
            Some(cause) if before_deadline => cause,
            Some(cause) if not_run => cause,
            _ => Cause::Late,
        };
        Verdict::None { not_run, cause }
    }
}
