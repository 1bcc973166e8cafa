//! Exposure of the version under test at one node: it sends the version at most
//! the share of its own calls, so the sum over all nodes holds whatever the
//! other nodes do.

use std::sync::atomic::{AtomicU64, Ordering};

/// Serving nodes that the slack is divided among at least, as a node may not
/// know all of them yet.
const MIN_SERVING: usize = 25;

/// Fraction of a call that one node may send the version at once, from its
/// hashed position from 0 to 1 among the `serving` nodes. All nodes together
/// take at most half of the slack for it, whatever their number.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "the number of nodes is far below 2^52"
)]
pub fn first_credit(position: f64, slack: u32, serving: usize) -> f64 {
    let part = f64::from(slack) / 2.0 / serving.max(MIN_SERVING) as f64;
    position * part.min(1.0)
}

/// Calls of one node to one service since it learned of the order.
#[derive(Debug, Default)]
pub struct Exposure {
    /// Calls to targets of other versions that reached them.
    old: AtomicU64,
    /// Calls to targets of the ordered version, including those under way.
    new: AtomicU64,
    /// Fraction of a call that the version may receive at once; below 1.
    credit: f64,
}

impl Exposure {
    /// Creates the counter. `credit` rounds the first call of each node: with
    /// evenly distributed fractions all nodes together send the share although
    /// each sends whole calls. It is zero at a node that restarted.
    #[must_use]
    pub fn new(credit: f64) -> Self {
        Self {
            credit: credit.clamp(0.0, 0.999),
            ..Self::default()
        }
    }

    /// Whether one more call to the version stays within the share.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "the number of calls is far below 2^52"
    )]
    pub fn allows(&self, share: f64) -> bool {
        let new = self.new.load(Ordering::Relaxed) + 1;
        let total = self.old.load(Ordering::Relaxed) + new;
        share > 0.0 && new as f64 <= share * total as f64 + self.credit
    }

    /// Counts a call to the version, before it is sent.
    pub fn record_new(&self) {
        self.new.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call to another version, once it has reached its target.
    pub fn record_old(&self) {
        self.old.fetch_add(1, Ordering::Relaxed);
    }
}
