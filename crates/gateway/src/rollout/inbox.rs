//! What the decider received from the nodes: evidence, and how far they follow.

use std::{collections::HashMap, time::Duration};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_routing::rollout::evidence::{BUCKETS, Counts, Evidence};
use heatherrun_routing::rollout::step::OldCalls;
use heatherrun_schema::v1::{RolloutReport, VersionSample};

/// Age of a report up to which the calls in flight that it names count.
const MAX_USE_AGE: Duration = Duration::from_millis(1_500);

/// Maximum number of nodes remembered.
const MAX_NODES: usize = 1_024;

/// How far one node follows the state of one service.
#[derive(Clone, Copy, Debug)]
struct Use {
    seq: u64,
    old_calls: u64,
    at: Time,
}

/// Reports about one service.
#[derive(Debug, Default)]
pub struct ServiceReports {
    /// Number of the first state of the order that the evidence is about.
    began: u64,
    /// Evidence about the order.
    pub evidence: Evidence,
    uses: HashMap<Name, Use>,
}

impl ServiceReports {
    /// Highest number of a state that a node follows.
    #[must_use]
    pub fn max_seq(&self) -> u64 {
        self.uses.values().map(|u| u.seq).max().unwrap_or_default()
    }

    /// Calls in flight to old targets. These nodes must follow the state `seq`
    /// and have reported since `since`.
    #[must_use]
    pub fn old_calls<'a>(
        &self,
        now: Time,
        mut nodes: impl Iterator<Item = &'a Name>,
        seq: u64,
        since: Time,
    ) -> OldCalls {
        let mut recent = self.uses.values().filter(|u| now.since(u.at) < MAX_USE_AGE);
        if recent.any(|u| u.old_calls > 0) {
            return OldCalls::Some;
        }
        let has_moved = |node| {
            let last: Option<&Use> = self.uses.get(node);
            last.is_some_and(|u| u.seq >= seq && u.at >= since)
        };
        if nodes.all(has_moved) {
            OldCalls::None
        } else {
            OldCalls::Unknown
        }
    }
}

/// Reports of all nodes by service.
#[derive(Debug, Default)]
pub struct Inbox {
    services: HashMap<Name, ServiceReports>,
}

impl Inbox {
    /// Reports about the order of a service that began with the state `began`.
    pub fn service(&mut self, service: &Name, began: u64) -> &mut ServiceReports {
        let reports = self.services.entry(Name::clone(service)).or_default();
        if reports.began != began {
            reports.began = began;
            reports.evidence = Evidence::default();
        }
        reports
    }

    /// Adds a report. `began` gives the first state of a service's order;
    /// evidence of nodes that do not follow it yet is left out.
    pub fn receive(
        &mut self,
        now: Time,
        node: &Name,
        report: RolloutReport,
        began: impl Fn(&str) -> Option<u64>,
    ) {
        let mut following = HashMap::new();
        for version_use in report.uses {
            let Some(began) = began(&version_use.service) else {
                continue;
            };
            let service = Name::from(version_use.service);
            let reports = self.service(&service, began);
            if reports.uses.len() < MAX_NODES || reports.uses.contains_key(node) {
                let last = Use {
                    seq: version_use.revision,
                    old_calls: version_use.old_calls,
                    at: now,
                };
                reports.uses.insert(Name::clone(node), last);
            }
            if version_use.revision >= began {
                following.insert(service, began);
            }
        }
        for sample in report.samples {
            let service = following.get_key_value(&*sample.service);
            if let Some((service, began)) = service {
                let route = Name::from(sample.route.as_str());
                let counts = counts(&sample);
                let evidence = &mut self.service(service, *began).evidence;
                evidence.report(node, &route, sample.is_new, counts);
            }
        }
    }

    /// Forgets everything: this node decides no more.
    pub fn clear(&mut self) {
        self.services.clear();
    }

    /// Ends a tick of the evidence of all services.
    pub fn end_tick(&mut self) {
        for reports in self.services.values_mut() {
            reports.evidence.end_tick();
        }
    }
}

fn counts(sample: &VersionSample) -> Counts {
    let mut counts = Counts {
        calls: sample.calls,
        failures: sample.failures,
        latencies: [0; BUCKETS],
    };
    for (count, n) in counts.latencies.iter_mut().zip(&sample.latencies) {
        *count = *n;
    }
    counts
}
