//! Shards whose targets are all silent.
//!
//! Load: the machines of all targets of one shard are down or cut off for
//! minutes. A search that can do without the shard must not wait for it until
//! its point of answer. The shard is left out, and one search at a time tries it
//! at a bounded rate, so that it is used again soon after its return.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::Time;

use crate::target::Target;

/// Time in which each target of a silent shard is tried once: a shard must be
/// used again within a second of its return.
const TRIAL_ROUND: Duration = Duration::from_millis(800);

/// Bounds of the time between two trials of a shard by one node.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// Whether a shard is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// A target may reply, or there is none.
    None,
    /// All of its targets are silent.
    Silent,
    /// All of its targets are silent, and it is time to try one.
    Trial,
}

/// Whether the shard with these targets is silent, of which `may_serve` says
/// which may serve the request.
#[must_use]
pub fn silence(now: Time, targets: &[Arc<Target>], may_serve: impl Fn(&Target) -> bool) -> Silence {
    let mut count = 0;
    let mut last_sent = Time::default();
    for target in targets {
        if !may_serve(target) {
            continue;
        }
        if !target.is_silent(now) {
            return Silence::None;
        }
        count += 1;
        last_sent = last_sent.max(target.last_sent());
    }
    if count == 0 {
        return Silence::None;
    }
    let interval = (TRIAL_ROUND / count).clamp(MIN_TRIAL_INTERVAL, MAX_TRIAL_INTERVAL);
    if now.since(last_sent) < interval {
        Silence::Silent
    } else {
        Silence::Trial
    }
}
