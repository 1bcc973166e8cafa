//! The targets of all services as they registered themselves.
//!
//! While the store is away its entries may lapse though their targets live:
//! an entry that is missing right after an outage counts as gone only when it
//! has not come back within [`LAPSE_GRACE`].

use std::{collections::BTreeMap, collections::HashMap, sync::Arc, time::Duration};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Name, TargetEntry};

use crate::target::{Place, Target};

/// Time after an outage of the store in which lapsed entries come back. The
/// users' pages name about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// Targets of each service.
pub type Services = HashMap<Name, Vec<Arc<Target>>>;

/// What a report of a target changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that decisions use.
    None,
    /// A target is new, or in a new incarnation.
    New,
    /// A target began to leave.
    Draining,
    /// The report is older than what is known.
    Stale,
}

/// All targets.
#[derive(Debug, Default)]
pub struct Fleet {
    targets: BTreeMap<Name, Arc<Target>>,
    lapsed: BTreeMap<Name, Time>,
    outage_end: Option<Time>,
    /// Incarnations that ended and were not told yet.
    ended: Vec<Arc<Target>>,
}

impl Fleet {
    /// Takes a report; `place` of its failure domain.
    pub fn put(&mut self, now: Time, entry: TargetEntry, place: Place) -> Change {
        self.lapsed.remove(&entry.id);
        if let Some(known) = self.targets.get(&entry.id) {
            let old = &known.entry;
            if entry.born < old.born {
                return Change::Stale;
            }
            let same = entry.born == old.born
                && entry.address == old.address
                && entry.service == old.service;
            if same {
                if entry.report < known.reports() {
                    return Change::Stale;
                }
                let drains = entry.draining && known.is_open();
                known.report(now, &entry);
                return if drains {
                    Change::Draining
                } else {
                    Change::None
                };
            }
            known.set_gone();
            self.ended.push(Arc::clone(known));
        }
        let id = Arc::clone(&entry.id);
        self.targets
            .insert(id, Arc::new(Target::new(now, entry, place)));
        Change::New
    }

    /// Notes that the entry of `id` is gone; true when its target is, too.
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
        self.drop_target(&id);
        true
    }

    /// Notes that the store answers again after an outage.
    pub fn outage_ended(&mut self, now: Time) {
        self.outage_end = Some(now);
    }

    /// Drops targets whose entries did not come back; true when there were
    /// some.
    pub fn expire(&mut self, now: Time) -> bool {
        let due: Vec<_> = self.lapsed.iter().filter(|(_, at)| now >= **at).collect();
        let due: Vec<_> = due.into_iter().map(|(id, _)| Arc::clone(id)).collect();
        for id in &due {
            self.drop_target(id);
        }
        !due.is_empty()
    }

    fn drop_target(&mut self, id: &str) {
        self.lapsed.remove(id);
        if let Some(target) = self.targets.remove(id) {
            target.set_gone();
            self.ended.push(target);
        }
    }

    /// Incarnations that ended since this was last asked.
    pub fn take_ended(&mut self) -> Vec<Arc<Target>> {
        std::mem::take(&mut self.ended)
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
