//! Suspicions against crash-causing requests that this node passes on.

use std::{collections::HashSet, net::SocketAddr, sync::PoisonError};

use heatherrun_kernel::control::Suspicion;
use heatherrun_routing::members::first_of_domains;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::State;

/// Maximum number of suspicions that are kept for the nodes below this one.
const MAX_SUSPICIONS: usize = 256;

impl State {
    /// Nodes that are told of a suspicion directly: those that serve, and the
    /// first one of each failure domain, from which the others receive it.
    #[must_use]
    pub fn suspicion_receivers(&self) -> Vec<SocketAddr> {
        let nodes = self.nodes.load();
        let serving = self.serving.load();
        let receivers = serving.iter().chain(first_of_domains(&nodes));
        let receivers = receivers.filter(|n| n.name != self.own_entry.name);
        let receivers: HashSet<_> = receivers.map(|n| n.peers).collect();
        receivers.into_iter().collect()
    }

    /// Keeps a suspicion for the nodes below this one; false if it is known.
    pub fn keep_suspicion(&self, suspicion: Suspicion) -> bool {
        let mut log = self
            .suspicions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (before, suspicions) = &mut *log;
        if suspicions.contains(&suspicion) {
            return false;
        }
        suspicions.push_back(suspicion);
        if suspicions.len() > MAX_SUSPICIONS {
            suspicions.pop_front();
            *before += 1;
        }
        true
    }

    /// Suspicions after the first `known` ones, and the number of all; all that
    /// are kept if `known` is the number of another process.
    #[must_use]
    pub fn suspicions_after(&self, known: u64) -> (Vec<Suspicion>, u64) {
        let log = self
            .suspicions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (before, suspicions) = &*log;
        let total = before + suspicions.len() as u64;
        let known = if known > total { 0 } else { known };
        let skip = usize::try_from(known.saturating_sub(*before)).unwrap_or(usize::MAX);
        (suspicions.iter().skip(skip).copied().collect(), total)
    }

    /// Whether this node is the one that runs the trials of a banned request,
    /// chosen among the serving nodes by rendezvous hashing of the
    /// fingerprint.
    pub fn is_trial_node(&self, fingerprint: u64) -> bool {
        let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), fingerprint);
        let own_rank = rank(&self.own_entry.name);
        let serving = self.serving.load();
        let mut names = serving.iter().map(|node| &node.name);
        names.clone().any(|name| *name == self.own_entry.name)
            && names.all(|name| rank(name) >= own_rank)
    }
}
