//! Events of a request, the calls that it asks for, and its outcome.

use std::{fmt, sync::Arc, time::Duration};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;

use crate::choice::Hold;
use crate::extra_calls::Need;
use crate::silence::Silence;
use crate::target::Target;

/// Index of a call within its request, in the order of sending.
pub type CallIx = usize;

/// Index of a shard within its request.
pub type RequestShard = usize;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The reply is the part of the answer for its shard.
    Part,
    /// The request could not be sent to the target.
    NotSent,
    /// The target reported that it did not run the request.
    NotRun,
    /// The target replied with a failure.
    Failed,
    /// The request was sent and no reply came; the target may have run it.
    Lost,
}

impl CallEnd {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Part => "part",
            Self::NotSent => "not-sent",
            Self::NotRun => "not-run",
            Self::Failed => "failed",
            Self::Lost => "lost",
        }
    }
}

/// Why a shard is missing from an answer, or why a request has no answer. The
/// causes are ordered: of several, the greatest is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// No known target may serve the request.
    NoTarget,
    /// All targets are at their concurrency limit.
    AtCapacity,
    /// All targets want no calls for some time.
    Quiet,
    /// All targets take a limited rate, and this node's share of it is used up.
    Limited,
    /// The targets did not reply to earlier requests, and the shard was left out.
    Silent,
    /// The request could not be sent to a target.
    NotSent,
    /// A target refused the request without running it.
    Refused,
    /// The deadline passed.
    Late,
    /// A target replied with a failure.
    Failed,
    /// No reply came to a call that a target may have run.
    Lost,
}

impl From<Hold> for Cause {
    fn from(hold: Hold) -> Self {
        match hold {
            Hold::Quiet => Self::Quiet,
            Hold::Rate => Self::Limited,
        }
    }
}

impl Cause {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoTarget => "no-target",
            Self::AtCapacity => "no-room",
            Self::Quiet => "quiet",
            Self::Limited => "limited",
            Self::Silent => "silent",
            Self::NotSent => "not-sent",
            Self::Refused => "refused",
            Self::Late => "late",
            Self::Failed => "failed",
            Self::Lost => "lost",
        }
    }
}

/// Why a call is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// First call of its shard, also when it had to wait for spare capacity.
    First,
    /// Sent concurrently with an overdue call.
    Hedge,
    /// Sent after a call that failed, was refused or could not be sent.
    Retry,
}

impl Reason {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
        }
    }
}

/// What was tried for a shard without a part.
#[derive(Clone, Copy, Debug)]
pub struct TriedShard<'a> {
    /// Index of the shard.
    pub shard: RequestShard,
    /// Calls that ran or may have run.
    pub executed: u16,
    /// Calls that were refused or not sent.
    pub unexecuted: u16,
    /// Calls that the budget of extra calls refused.
    pub unpaid: u32,
    /// Targets that were called since those that refused were last allowed
    /// again.
    pub targets: &'a [Name],
}

impl fmt::Display for TriedShard<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (ran, not_run, unpaid) = (self.executed, self.unexecuted, self.unpaid);
        write!(f, "ran={ran}/not-run={not_run}/no-budget={unpaid}/targets=")?;
        for (n, target) in self.targets.iter().enumerate() {
            let separator = if n == 0 { "" } else { "+" };
            write!(f, "{separator}{target}")?;
        }
        Ok(())
    }
}

/// A call that the driver must send.
#[derive(Clone, Debug)]
pub struct CallToSend {
    /// Index of the call.
    pub call: CallIx,
    /// Index of the shard.
    pub shard: RequestShard,
    /// Target to send the call to.
    pub target: Arc<Target>,
    /// Why the call is sent.
    pub reason: Reason,
}

/// Final outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Answer made of the replies to these calls, one entry per shard; `None`
    /// marks a missing shard.
    Answer(Vec<Option<CallIx>>),
    /// The request failed.
    None {
        /// Whether it is certain that no target ran or will run any part of the
        /// request.
        not_run: bool,
        /// Why there is no answer.
        cause: Cause,
    },
}

impl Verdict {
    /// Why there is no answer; `None` if there is one.
    #[must_use]
    pub const fn cause(&self) -> Option<Cause> {
        match self {
            Self::Answer(_) => None,
            Self::None { cause, .. } => Some(*cause),
        }
    }

    /// The verdict on a request that another node may have run as well.
    #[must_use]
    pub fn or_lost(self) -> Self {
        match self {
            Self::Answer(_) => self,
            Self::None { cause, .. } => Self::None {
                not_run: false,
                cause: cause.max(Cause::Lost),
            },
        }
    }
}

/// Result of choosing a target for a call.
pub enum TargetChoice {
    /// The target to send the call to.
    Target(Arc<Target>),
    /// All targets that may serve the request are at their concurrency limit.
    AtCapacity,
    /// No target that may serve the request may be sent a call before this time.
    Held(Time, Hold),
    /// No target may serve the request.
    NoTarget,
}

/// Callbacks into the state of the node that [`Scatter`] needs for its
/// decisions.
pub struct Context<'a> {
    /// Chooses a target of the shard that is not among those already tried.
    pub choose: &'a dyn Fn(RequestShard, &[Name]) -> TargetChoice,
    /// Consumes one extra call to the shard from the budget; false when the
    /// budget is exhausted for calls with this need.
    pub take_extra: &'a dyn Fn(RequestShard, Need) -> bool,
    /// Whether all targets of the shard are silent.
    pub silence: &'a dyn Fn(RequestShard) -> Silence,
    /// Delay after which a call to the target is overdue and is hedged.
    pub hedge_delay: &'a dyn Fn(&Target) -> Duration,
    /// Records that a call to the target is overdue; false if another target is
    /// not to be called now, since nobody replies.
    pub record_overdue: &'a dyn Fn(&Target) -> bool,
}
