//! Registry of the targets of all services, as they registered themselves.
//!
//! Entries may lapse while the store is unavailable, although their targets are
//! alive. An entry that is missing right after an outage therefore counts as
//! gone only if it does not come back within [`LAPSE_GRACE`].

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Name, TargetEntry};

use crate::target::{Location, Target, Told};

/// How long after a store outage a lapsed entry may come back: about two
/// seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// Maximum number of ended incarnations that are remembered, so that an older
/// report which arrives later does not bring them back.
const MAX_ENDED_INCARNATIONS: usize = 2_000;

/// Targets by service.
pub type Services = HashMap<Name, Vec<Arc<Target>>>;

/// Effect of a report of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change that matters for decisions.
    None,
    /// The target is new, or is a new incarnation.
    New,
    /// The target started to drain.
    Draining,
    /// The report is older than the known one and was ignored.
    Stale,
}

/// What is remembered of an incarnation that ended.
#[derive(Clone, Copy, Debug)]
struct EndedIncarnation {
    born: u64,
    report_seq: u64,
    told: Told,
}

/// All known targets. A lapsed entry keeps its target until its grace period
/// ends.
#[derive(Debug, Default)]
pub struct Fleet {
    targets: BTreeMap<Name, Arc<Target>>,
    /// Targets whose entries lapsed, with the end of their grace period.
    lapsed: BTreeMap<Name, Time>,
    outage_end: Option<Time>,
    /// Incarnations that ended, by name of the target.
    ended: HashMap<Name, EndedIncarnation>,
    /// The keys of `ended`, oldest first.
    ended_order: VecDeque<Name>,
    /// Incarnations that ended and were not returned by [`Fleet::take_ended`]
    /// yet.
    ended_targets: Vec<Arc<Target>>,
}

impl Fleet {
    /// Applies a report of a target located at `location`. A newer incarnation
    /// replaces the known one.
    pub fn apply_report(&mut self, now: Time, entry: TargetEntry, location: Location) -> Change {
        let ended = self.ended.get(&entry.id).copied();
        if ended.is_some_and(|e| (entry.born, entry.report_seq) <= (e.born, e.report_seq)) {
            return Change::Stale;
        }
        self.lapsed.remove(&entry.id);
        let mut reports_load = ended.is_some_and(|e| e.told.reports_load);
        if let Some(known) = self.targets.get(&entry.id) {
            let old = &known.entry;
            if entry.born < old.born {
                return Change::Stale;
            }
            let same_incarnation = entry.born == old.born
                && entry.address == old.address
                && entry.service == old.service;
            if same_incarnation {
                if entry.report_seq < known.report_count() {
                    return Change::Stale;
                }
                let starts_draining = entry.draining && known.accepts_calls();
                known.report(now, &entry);
                return if starts_draining {
                    Change::Draining
                } else {
                    Change::None
                };
            }
            known.set_gone();
            reports_load |= known.pace.reports_load();
            self.ended_targets.push(Arc::clone(known));
        }
        let id = Arc::clone(&entry.id);
        let target = Target::new(now, entry, location);
        if let Some(ended) = ended.filter(|e| e.born == target.entry.born) {
            target.inherit(&ended.told);
        }
        if reports_load {
            target.pace.expect_load();
        }
        self.targets.insert(id, Arc::new(target));
        Change::New
    }

    /// Records that the entry of `id` is missing; true if its target is
    /// removed. Right after an outage the entry is only marked as lapsed.
    pub fn remove(&mut self, now: Time, id: &str) -> bool {
        let Some((id, _)) = self.targets.get_key_value(id) else {
            return false;
        };
        let id = Arc::clone(id);
        if let Some(end) = self.outage_end
            && now < end + LAPSE_GRACE
        {
            self.lapsed.insert(id, end + LAPSE_GRACE);
            return false;
        }
        self.remove_target(&id);
        true
    }

    /// Records that the store answers again after an outage.
    pub fn outage_ended(&mut self, now: Time) {
        self.outage_end = Some(now);
    }

    /// Removes targets whose lapsed entries did not come back; true if there
    /// were any.
    pub fn remove_lapsed(&mut self, now: Time) -> bool {
        let due: Vec<_> = self.lapsed.iter().filter(|(_, at)| now >= **at).collect();
        let due: Vec<_> = due.into_iter().map(|(id, _)| Arc::clone(id)).collect();
        for id in &due {
            self.remove_target(id);
        }
        !due.is_empty()
    }

    fn remove_target(&mut self, id: &str) {
        self.lapsed.remove(id);
        if let Some(target) = self.targets.remove(id) {
            target.set_gone();
            self.remember_end(&target);
            self.ended_targets.push(target);
        }
    }

    fn remember_end(&mut self, target: &Target) {
        let id = &target.entry.id;
        let end = EndedIncarnation {
            born: target.entry.born,
            report_seq: target.report_count(),
            told: target.told(),
        };
        if self.ended.insert(Arc::clone(id), end).is_none() {
            self.ended_order.push_back(Arc::clone(id));
        }
        if self.ended_order.len() > MAX_ENDED_INCARNATIONS
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
    }

    /// Takes the incarnations that ended since the last call.
    pub fn take_ended(&mut self) -> Vec<Arc<Target>> {
        std::mem::take(&mut self.ended_targets)
    }

    /// Targets by service.
    #[must_use]
    pub fn services(&self) -> Services {
        let mut services = Services::new();
        for target in self.targets.values() {
            let service = Arc::clone(&target.entry.service);
            services
                .entry(service)
                .or_default()
                .push(Arc::clone(target));
        }
        services
    }
}
