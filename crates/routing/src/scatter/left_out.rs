//! Shards that a request leaves out from its start, because their targets are
//! silent or want no calls for longer than the request may wait. They are
//! recalled if the answer needs them after all.

use heatherrun_kernel::Time;

use super::Scatter;
use super::event::{CallToSend, Cause, Context, Reason, RequestShard};
use crate::silence::Silence;

impl Scatter {
    /// Shards whose targets are all silent, if the minimum may allow to leave
    /// them out.
    pub(super) fn silent_shards(&self, cx: &Context<'_>) -> Vec<(RequestShard, Silence)> {
        let total = self.shards.len();
        if total < 2 || !self.meets_min_share(total - 1) {
            return Vec::new();
        }
        let silences = (0..total).map(|ix| (ix, (cx.silence)(ix)));
        let silent: Vec<_> = silences.filter(|(_, s)| *s != Silence::None).collect();
        if self.meets_min_share(total - silent.len()) {
            silent
        } else {
            Vec::new()
        }
    }

    /// Leaves out the silent shards, of which those whose time has come are
    /// tried without being waited for, or calls them all if the others do not
    /// make an answer.
    pub(super) fn start_silent(
        &mut self,
        now: Time,
        silent: &[(RequestShard, Silence)],
        cx: &Context<'_>,
        calls_to_send: &mut Vec<CallToSend>,
    ) {
        let pending = self.shards.iter().filter(|s| s.is_pending()).count();
        let may_leave_out = self.meets_min_share(pending);
        for &(ix, silence) in silent {
            if may_leave_out {
                self.shards[ix].is_left_out = true;
                self.shards[ix].cause = Some(Cause::Silent);
            }
            if !may_leave_out || silence == Silence::Trial {
                self.try_send(now, ix, Reason::First, cx, calls_to_send);
            }
        }
    }

    /// Calls the shards that were left out if the others no longer make an
    /// answer.
    pub(super) fn recall_left_out(
        &mut self,
        now: Time,
        cx: &Context<'_>,
        calls_to_send: &mut Vec<CallToSend>,
    ) {
        let is_left_out = |ix: &RequestShard| {
            let shard = &self.shards[*ix];
            let may_wait = shard.held.is_some_and(|(until, _)| until < self.plan.end);
            shard.is_left_out || (may_wait && shard.part.is_none() && !shard.is_pending())
        };
        let left_out: Vec<_> = (0..self.shards.len()).filter(is_left_out).collect();
        if left_out.is_empty() || self.is_closed {
            return;
        }
        let others = self.shards.iter().filter(|s| !s.is_left_out);
        let others = others.filter(|s| s.part.is_some() || s.is_pending());
        if self.meets_min_share(others.count()) {
            return;
        }
        for ix in left_out {
            let shard = &mut self.shards[ix];
            shard.is_left_out = false;
            shard.cause = None;
            shard.held = None;
            if !shard.is_pending() {
                self.try_send(now, ix, Reason::First, cx, calls_to_send);
            }
        }
    }

    /// Whether a call to a shard that was left out is in flight. Its end tells
    /// whether the shard is back.
    #[must_use]
    pub fn is_trying_silent(&self) -> bool {
        let is_tried = |s: &super::ShardState| s.is_left_out && !s.in_flight.is_empty();
        self.shards.iter().any(is_tried)
    }
}
