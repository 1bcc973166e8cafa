//! Time limits and attempts of one request, derived from its route and the time
//! that its caller waits.

use std::time::Duration;

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Destination, Repeat, Route};

/// Part of the latency objective reserved for the network path between this
/// node and the caller, some 3 ms each way, and for merging.
const RESPONSE_RESERVE: Duration = Duration::from_millis(13);

/// Part of the caller's waiting time reserved for the network path in both
/// directions, some 3 ms each, and for a new connection.
const ROUND_TRIP_RESERVE: Duration = Duration::from_millis(15);

/// Divisor of the objective that gives the longest wait for spare capacity: a
/// refusal must reach the caller within a quarter of the objective.
const CAPACITY_WAIT_DIVISOR: u32 = 5;

/// Longest wait of one shard of a search for spare capacity, in per cent of the
/// objective. It is longer since the other shards are searched meanwhile.
const SHARD_CAPACITY_WAIT_PERCENT: u32 = 60;

/// Limits of one request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Whether a call that may have run may be repeated.
    pub repeat: Repeat,
    /// Maximum number of targets per shard that may run the request.
    pub attempts: u16,
    /// Time from which an answer with enough shards is given.
    pub answer_by: Time,
    /// Time until which a call may wait for spare capacity at a target.
    pub capacity_by: Time,
    /// Deadline of the request.
    pub end: Time,
    /// Minimum share of the shards that makes an answer.
    pub min_share: f64,
}

impl Plan {
    /// Plan of a request to `route` that arrives at `start`, whose caller waits
    /// for `remaining` more.
    #[must_use]
    pub fn new(route: &Route, start: Time, remaining: Duration) -> Self {
        let end = start
            + remaining
                .saturating_sub(ROUND_TRIP_RESERVE)
                .min(route.timeout);
        let objective = route.objective;
        let (answer_by, capacity_wait, min_share) = match route.to {
            Destination::Shards {
                min_coverage: min_share,
                ..
            } => (
                end.min(start + objective.saturating_sub(RESPONSE_RESERVE)),
                objective * SHARD_CAPACITY_WAIT_PERCENT / 100,
                min_share,
            ),
            Destination::Service(_) | Destination::Split(_) => {
                (end, objective / CAPACITY_WAIT_DIVISOR, 1.0)
            }
        };
        Self {
            repeat: route.repeat,
            attempts: route.attempts,
            answer_by,
            capacity_by: start + capacity_wait,
            end,
            min_share,
        }
    }
}
