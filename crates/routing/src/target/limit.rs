//! The rate of calls that a target names in its replies.

use std::sync::atomic::Ordering;

use heatherrun_kernel::Time;
use heatherrun_kernel::site::StatedLimit;

use super::{NO_LIMIT, Target};

/// Lowest limit that is kept. Without any call, the end of a limit of zero would
/// go unnoticed.
const MIN_LIMIT_PER_SEC: f64 = 0.2;

/// Unit of [`Target::limit`]: calls per second are counted in thousandths.
const LIMIT_UNITS_PER_CALL: f64 = 1_000.0;

/// Effect of a reply on the limit of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// Nothing that matters.
    None,
    /// It named a limit, or another one than before.
    Named,
    /// It no longer names a limit.
    Ended,
}

impl Target {
    /// Records what the reply to a call sent at `sent_at` says of the limit.
    ///
    /// Replies arrive in any order, so only the reply to a later call than
    /// those that named the limit ends it.
    pub fn record_limit(&self, sent_at: Time, stated: StatedLimit) -> LimitChange {
        match stated {
            StatedLimit::Invalid => LimitChange::None,
            StatedLimit::PerSec(per_sec) => {
                self.limit_sent.fetch_max(sent_at.0, Ordering::Relaxed);
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "not negative; a larger rate than u64 is no limit"
                )]
                let limit = (per_sec * LIMIT_UNITS_PER_CALL) as u64;
                if self.limit.swap(limit, Ordering::Relaxed) == limit {
                    return LimitChange::None;
                }
                LimitChange::Named
            }
            StatedLimit::None => {
                let is_newer = sent_at.0 > self.limit_sent.load(Ordering::Relaxed);
                if !is_newer || self.limit.swap(NO_LIMIT, Ordering::Relaxed) == NO_LIMIT {
                    return LimitChange::None;
                }
                LimitChange::Ended
            }
        }
    }

    /// Calls per second that the target takes from all nodes together, at least
    /// [`MIN_LIMIT_PER_SEC`]; `None` if it names no limit.
    #[must_use]
    pub fn limit_per_sec(&self) -> Option<f64> {
        #[expect(clippy::cast_precision_loss, reason = "a rate, not a count")]
        let per_sec = |limit: u64| (limit as f64 / LIMIT_UNITS_PER_CALL).max(MIN_LIMIT_PER_SEC);
        self.named_limit().map(per_sec)
    }

    pub(super) fn named_limit(&self) -> Option<u64> {
        let limit = self.limit.load(Ordering::Relaxed);
        (limit != NO_LIMIT).then_some(limit)
    }
}
