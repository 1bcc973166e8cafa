//! Ownership as seen by a node: the units that its leader granted to it, and
//! which of them it may use at a point in time.
//!
//! A grant that has expired may still be used *unconfirmed*, at a reduced share,
//! while the leader could not reach the store and this node has confirmed that
//! it cannot either: nobody can then have written a newer state.

use std::collections::HashMap;
use std::time::Duration;

use heatherrun_kernel::control::{Grant, SHARE_FULL, SHARE_UNCERTAIN};
use heatherrun_kernel::{Epoch, TargetId, Time};

use crate::grants;

/// How long one confirmation that the store is unavailable to this node counts.
pub const OUTAGE_CONFIRMATION_TTL: Duration = Duration::from_secs(5);

/// One unit held by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldUnit {
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// Granted part of the unit's limit, in per cent.
    pub share: u8,
    /// Start of the uninterrupted ownership, in Unix milliseconds.
    pub since: u64,
    /// True when it must not be used unconfirmed; see [`grants::Unit`].
    pub exclusive: bool,
}

/// The units that this node holds. The value is replaced as a whole and read on
/// each send.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rights {
    /// Granted units.
    pub units: HashMap<TargetId, HeldUnit>,
    /// Units that the leader moved away while calls on them are still running.
    /// They are reported to the leader, but not used for new calls.
    pub draining: HashMap<TargetId, HeldUnit>,
    /// End of validity of all grants.
    pub valid_until: Time,
    /// True when the leader reported that it could not reach the store.
    pub store_unavailable: bool,
    /// Until when the store counts as unavailable to this node too.
    pub outage_until: Time,
}

impl Rights {
    /// Returns the share and epoch with which `unit` may be used at `now`.
    #[must_use]
    pub fn held_at(&self, unit: TargetId, now: Time) -> Option<HeldUnit> {
        let mut held = *self.units.get(&unit)?;
        if now < self.valid_until {
            return Some(held);
        }
        if !self.store_unavailable || now >= self.outage_until || held.exclusive {
            return None;
        }
        held.share = match held.share {
            SHARE_FULL | SHARE_UNCERTAIN => SHARE_UNCERTAIN,
            _ => return None,
        };
        Some(held)
    }

    /// True when units are used unconfirmed at `now`.
    #[must_use]
    pub fn is_unconfirmed(&self, now: Time) -> bool {
        now >= self.valid_until && self.store_unavailable && now < self.outage_until
    }

    /// Replaces all grants by those of an answer; the caller then sets
    /// `valid_until`. A unit that is held without interruption keeps its `since`.
    pub fn replace_grants(&mut self, now: Time, grants: &[Grant], unix_ms: u64) {
        let expired = now >= self.valid_until;
        let mut units = HashMap::with_capacity(grants.len());
        for grant in grants {
            let current = self.units.get(&grant.unit).filter(|_| !expired);
            let unchanged = current.filter(|h| h.epoch == grant.epoch);
            let held = HeldUnit {
                epoch: grant.epoch,
                share: grant.share,
                since: unchanged.map_or(unix_ms, |h| h.since),
                exclusive: grant.exclusive,
            };
            units.insert(grant.unit, held);
        }
        let previous = std::mem::replace(&mut self.units, units);
        for (unit, held) in previous {
            if !expired && !self.units.contains_key(&unit) {
                self.draining.insert(unit, held);
            }
        }
        self.draining
            .retain(|unit, _| !self.units.contains_key(unit));
    }

    /// Drops units that are no longer usable at `now`, and units that were moved
    /// away once no call on them is running. The remaining ones can be extended.
    pub fn drop_unusable(&mut self, now: Time, has_calls: impl Fn(TargetId) -> bool) {
        self.draining.retain(|unit, _| has_calls(*unit));
        let mut usable = HashMap::with_capacity(self.units.len());
        for unit in self.units.keys() {
            usable.extend(self.held_at(*unit, now).map(|held| (*unit, held)));
        }
        self.units = usable;
    }

    /// Extends the current grants after the leader confirmed them unchanged.
    pub fn extend(&mut self, now: Time, until: Time, unix_ms: u64) {
        if now >= self.valid_until {
            for held in self.units.values_mut() {
                held.since = unix_ms;
            }
        }
        self.valid_until = self.valid_until.max(until);
    }

    /// Records that the store was unreachable while a peer answered a request
    /// sent at `sent`.
    pub fn confirm_outage(&mut self, sent: Time) {
        self.outage_until = self.outage_until.max(sent + OUTAGE_CONFIRMATION_TTL);
    }

    /// Returns the units held at `now`, to be reported to a leader, ordered by
    /// unit.
    #[must_use]
    pub fn reported_grants(&self, now: Time) -> Vec<Grant> {
        let mut reported = Vec::with_capacity(self.units.len());
        for unit in self.units.keys() {
            reported.extend(self.held_at(*unit, now).map(|held| grant(*unit, held)));
        }
        reported.extend(self.draining.iter().map(|(unit, held)| grant(*unit, *held)));
        reported.sort_by_key(|g| g.unit);
        reported
    }

    /// Digest of the grants returned by [`Self::reported_grants`].
    #[must_use]
    pub fn digest(&self, now: Time) -> u64 {
        grants::digest(&self.reported_grants(now))
    }
}

const fn grant(unit: TargetId, held: HeldUnit) -> Grant {
    Grant {
        unit,
        epoch: held.epoch,
        share: held.share,
        exclusive: held.exclusive,
    }
}
