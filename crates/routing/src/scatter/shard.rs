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
    pub refused_by: Vec<Name>,
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
    /// Call whose reply is the part of the answer for this shard.
    pub part: Option<CallIx>,
    /// Greatest cause of failure so far.
    pub cause: Option<Cause>,
    /// When the first of its targets may be sent a call, and why none may now.
    pub held: Option<(Time, Hold)>,
}

impl ShardState {
    /// Whether the shard may still get a part.
    pub const fn is_pending(&self) -> bool {
        self.part.is_none() && (!self.in_flight.is_empty() || self.retry_at.is_some())
    }
}
