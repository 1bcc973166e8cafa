//! Progress of one shard of a request.

use std::sync::Arc;

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;

use super::event::{CallIx, Cause};
use crate::choice::Hold;
use crate::target::Target;

/// A call without an end so far.
#[derive(Clone, Debug)]
pub(super) struct InFlightCall {
    pub call: CallIx,
    pub target: Arc<Target>,
    pub sent_at: Time,
}

/// Progress of one shard of the request.
#[derive(Debug, Default)]
pub(super) struct ShardState {
    /// Targets that were sent a call and are not chosen again.
    pub tried: Vec<Name>,
    /// Targets among `tried` that refused the call without running it.
    pub refused_by: Vec<Arc<Target>>,
    /// When the targets in `refused_by` may be tried again.
    pub readmit_at: Option<Time>,
    /// Number of times that targets which refused a call were allowed again.
    pub readmissions: u32,
    pub in_flight: Vec<InFlightCall>,
    /// Calls that ran or may have run and returned no part.
    pub executed: u16,
    /// Calls that were refused or not sent.
    pub unexecuted: u16,
    /// Whether a call has reached a target; any further call counts against the
    /// budget of extra calls.
    pub reached_target: bool,
    /// When the call in flight is overdue and is hedged.
    pub hedge_at: Option<Time>,
    /// When another attempt to send a call is made.
    pub retry_at: Option<Time>,
    /// Attempts since its latest call that found no target or no budget.
    pub waits: u32,
    /// Calls that the budget refused.
    pub unpaid: u32,
    /// Call whose reply is the part of the answer for this shard.
    pub part: Option<CallIx>,
    /// Greatest cause of failure so far.
    pub cause: Option<Cause>,
    /// Whether the answer does not wait for it, since its targets are silent.
    pub is_left_out: bool,
    /// When the first of its targets may be sent a call, and why none may now.
    pub held: Option<(Time, Hold)>,
}

impl ShardState {
    /// Records that a target refused a call and may be tried again at
    /// `readmit_at`.
    pub fn record_refusal(&mut self, target: Arc<Target>, readmit_at: Time) {
        self.refused_by.push(target);
        self.readmit_at = Some(readmit_at);
    }

    /// Allows the targets that refused a call again if their time has come; their
    /// queues are shorter by then.
    pub fn readmit_refusing(&mut self, now: Time) -> bool {
        if self.readmit_at.is_none_or(|at| now < at) {
            return false;
        }
        self.readmit_at = None;
        self.readmissions += 1;
        let refused = std::mem::take(&mut self.refused_by);
        let is_refused = |id: &Name| refused.iter().any(|t| t.entry.id == *id);
        self.tried.retain(|id| !is_refused(id));
        true
    }

    /// Whether the shard may get a part before `time` that is waited for.
    pub fn may_answer_before(&self, time: Time) -> bool {
        let is_open = !self.in_flight.is_empty() || self.retry_at.is_some_and(|at| at < time);
        self.part.is_none() && is_open && !self.is_left_out
    }

    /// Whether the shard may still get a part.
    pub const fn is_pending(&self) -> bool {
        self.part.is_none() && (!self.in_flight.is_empty() || self.retry_at.is_some())
    }
}
