//! How one request may be served: the points in time at which it is answered
//! with what is there, and ends, and the bounds of its route.

use std::time::Duration;

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Destination, Repeat, Route};

/// Part of a latency objective kept for the way to the caller and back, which
/// takes some 3 ms each way, and for merging.
const WAY_BACK: Duration = Duration::from_millis(13);

/// Part of the time that a caller waits kept for the way there and back, some
/// 3 ms each, and for a new connection.
const LAST_WAY: Duration = Duration::from_millis(15);

/// Part of the objective for which a call may wait for room, as a divisor: a
/// refusal must come within a quarter of it.
const ROOM_DIVISOR: u32 = 5;

/// The same for one shard of a search, in per cent of the objective: the other
/// shards are at work meanwhile.
const SHARD_ROOM_PERCENT: u32 = 60;

/// How a request may be served.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What may be repeated.
    pub repeat: Repeat,
    /// Targets of one shard that may run it.
    pub attempts: u16,
    /// Point from which an answer with enough shards is given.
    pub answer_by: Time,
    /// Point up to which a call may wait for room at a target.
    pub room_by: Time,
    /// Point at which it ends in any case.
    pub end: Time,
    /// Least share of the shards that makes an answer.
    pub least: f64,
}

impl Plan {
    /// Plan of a request to `route` that arrives at `start`, from a caller
    /// that waits for `left` more.
    #[must_use]
    pub fn of(route: &Route, start: Time, left: Duration) -> Self {
        let end = start + left.saturating_sub(LAST_WAY).min(route.timeout);
        let objective = route.objective;
        let (answer_by, room_time, least) = match route.to {
            Destination::Shards { least, .. } => (
                end.min(start + objective.saturating_sub(WAY_BACK)),
                objective * SHARD_ROOM_PERCENT / 100,
                least,
            ),
            Destination::Service(_) | Destination::Split(_) => (end, objective / ROOM_DIVISOR, 1.0),
        };
        Self {
            repeat: route.repeat,
            attempts: route.attempts,
            answer_by,
            room_by: start + room_time,
            end,
            least,
        }
    }
}
