//! Time limits and attempts of one request, derived from its route and the time
//! that its caller waits.

use std::time::Duration;

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Destination, Repeat, Route};

/// Lowest round trip to a caller that is assumed.
const MIN_ROUND_TRIP: Duration = Duration::from_millis(7);

/// Bounds of the part of the latency objective that is reserved for this node's
/// own delay, the upper one as a divisor of the objective.
const MIN_OWN_RESERVE: Duration = Duration::from_millis(2);
const MAX_OWN_RESERVE_DIVISOR: u32 = 3;

/// Factor of the delay after the point of answer that is reserved: a busy
/// processor delays a request about as much before its clock starts.
const OWN_DELAY_FACTOR: u32 = 2;

/// Part of the caller's waiting time reserved for the network path in both
/// directions, some 3 ms each, and for a new connection.
const ROUND_TRIP_RESERVE: Duration = Duration::from_millis(15);

/// Divisor of the objective that gives the longest wait for spare capacity: a
/// refusal must reach the caller within a quarter of the objective.
const CAPACITY_WAIT_DIVISOR: u32 = 5;

/// Longest wait of one shard of a search for spare capacity, in per cent of the
/// objective. It is longer since the other shards are searched meanwhile.
const SHARD_CAPACITY_WAIT_PERCENT: u32 = 60;

/// What the time that a caller still waits tells of its way to this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerPath {
    /// Time that passed at the caller before it sent the request, such as that
    /// of opening a connection.
    pub spent: Duration,
    /// Round trip to the caller; zero when unknown.
    pub round_trip: Duration,
}

impl CallerPath {
    /// Path of a caller that waits for `remaining`, of at most `longest` that
    /// callers of the route were seen to wait. `known` is the round trip seen on
    /// the same connection, zero on a new one: there the caller has spent one
    /// round trip on opening it.
    ///
    /// A caller that spent more than half of the objective has tried before, or
    /// waits less long than others; that tells nothing of the path.
    #[must_use]
    pub fn new(
        remaining: Duration,
        longest: Duration,
        objective: Duration,
        known: Duration,
    ) -> Self {
        let spent = longest.saturating_sub(remaining);
        if spent > objective / 2 {
            return Self {
                spent: Duration::ZERO,
                round_trip: known,
            };
        }
        Self {
            spent,
            round_trip: if known.is_zero() { spent } else { known },
        }
    }
}

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
    /// Whether the request has reached targets before, so that all of its calls
    /// are extra ones.
    pub is_repeat: bool,
}

impl Plan {
    /// Plan of a request to `route` that arrives at `start`, whose caller waits
    /// for `remaining` more. `answer_delay` is how long this node takes from the
    /// point of answer until the answer is ready.
    #[must_use]
    pub fn new(
        route: &Route,
        start: Time,
        remaining: Duration,
        path: CallerPath,
        answer_delay: Duration,
    ) -> Self {
        let end = start
            + remaining
                .saturating_sub(ROUND_TRIP_RESERVE)
                .min(route.timeout);
        let objective = route.objective;
        let own_reserve = answer_delay
            .saturating_mul(OWN_DELAY_FACTOR)
            .min(objective / MAX_OWN_RESERVE_DIVISOR)
            .max(MIN_OWN_RESERVE);
        let reserve = path.spent + path.round_trip.max(MIN_ROUND_TRIP) + own_reserve;
        let (answer_by, capacity_wait, min_share) = match route.to {
            Destination::Shards {
                min_coverage: min_share,
                ..
            } => (
                end.min(start + objective.saturating_sub(reserve)),
                objective.saturating_mul(SHARD_CAPACITY_WAIT_PERCENT) / 100,
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
            is_repeat: false,
        }
    }
}
