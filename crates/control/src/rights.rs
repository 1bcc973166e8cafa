//! The node's side of ownership: what it may use at a point in time.

use std::collections::HashMap;
use std::time::Duration;

use heatherrun_kernel::control::{Grant, SHARE_DOUBT, SHARE_FULL};
use heatherrun_kernel::{Epoch, TargetId, Time};

use crate::grants;

/// A proof that nothing newer can be known lasts this long.
pub const PROOF: Duration = Duration::from_secs(5);

/// One unit held by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Generation.
    pub epoch: Epoch,
    /// Share granted.
    pub share: u8,
    /// Since when it was held without a gap, in Unix milliseconds.
    pub since: u64,
    /// True when it is not held in doubt; see [`grants::Unit`].
    pub exclusive: bool,
}

/// What this node holds. It is replaced whole and read on each send.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rights {
    /// Units.
    pub units: HashMap<TargetId, Held>,
    /// Units that were taken back while calls under them still run. They are
    /// told to the leader, but not used.
    pub ending: HashMap<TargetId, Held>,
    /// End of the grants.
    pub until: Time,
    /// True when the leader could not reach the store.
    pub hold: bool,
    /// End of the proof that the store is down for this node too.
    pub proof: Time,
}

impl Rights {
    /// Share and generation with which `unit` may be used at `now`.
    #[must_use]
    pub fn at(&self, unit: TargetId, now: Time) -> Option<Held> {
        let mut held = *self.units.get(&unit)?;
        if now < self.until {
            return Some(held);
        }
        if !self.hold || now >= self.proof || held.exclusive {
            return None;
        }
        held.share = match held.share {
            SHARE_FULL | SHARE_DOUBT => SHARE_DOUBT,
            _ => return None,
        };
        Some(held)
    }

    /// True when units are used in doubt at `now`.
    #[must_use]
    pub fn doubted(&self, now: Time) -> bool {
        now >= self.until && self.hold && now < self.proof
    }

    /// Takes all grants of an answer that end at `until`. What was held when
    /// the answer came, and still is, keeps its `since`.
    pub fn take(&mut self, now: Time, grants: &[Grant], unix: u64) {
        let lapsed = now >= self.until;
        let mut units = HashMap::with_capacity(grants.len());
        for grant in grants {
            let before = self.units.get(&grant.unit).filter(|_| !lapsed);
            let kept = before.filter(|h| h.epoch == grant.epoch);
            let held = Held {
                epoch: grant.epoch,
                share: grant.share,
                since: kept.map_or(unix, |h| h.since),
                exclusive: grant.exclusive,
            };
            units.insert(grant.unit, held);
        }
        let before = std::mem::replace(&mut self.units, units);
        for (unit, held) in before {
            if !lapsed && !self.units.contains_key(&unit) {
                self.ending.insert(unit, held);
            }
        }
        self.ending.retain(|unit, _| !self.units.contains_key(unit));
    }

    /// Forgets what cannot be used any more at `now`, and units that were
    /// taken back once no call on them runs. What is left can be extended.
    pub fn settle(&mut self, now: Time, runs: impl Fn(TargetId) -> bool) {
        self.ending.retain(|unit, _| runs(*unit));
        let mut kept = HashMap::with_capacity(self.units.len());
        for unit in self.units.keys() {
            kept.extend(self.at(*unit, now).map(|held| (*unit, held)));
        }
        self.units = kept;
    }

    /// Extends what is held, as the leader said that it stands.
    pub fn extend(&mut self, now: Time, until: Time, unix: u64) {
        if now >= self.until {
            for held in self.units.values_mut() {
                held.since = unix;
            }
        }
        self.until = self.until.max(until);
    }

    /// Notes that at `sent` the store was not reached and a peer was.
    pub fn prove(&mut self, sent: Time) {
        self.proof = self.proof.max(sent + PROOF);
    }

    /// What is held at `now`, to be told to a leader, by unit.
    #[must_use]
    pub fn told(&self, now: Time) -> Vec<Grant> {
        let mut all = Vec::with_capacity(self.units.len());
        for unit in self.units.keys() {
            all.extend(self.at(*unit, now).map(|held| grant(*unit, held)));
        }
        all.extend(self.ending.iter().map(|(unit, held)| grant(*unit, *held)));
        all.sort_by_key(|g| g.unit);
        all
    }

    /// Digest of [`Self::told`].
    #[must_use]
    pub fn digest(&self, now: Time) -> u64 {
        grants::digest(&self.told(now))
    }
}

const fn grant(unit: TargetId, held: Held) -> Grant {
    Grant {
        unit,
        epoch: held.epoch,
        share: held.share,
        exclusive: held.exclusive,
    }
}
