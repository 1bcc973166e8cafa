//! The answer to "which address": nodes that serve a service, weighted.
//!
//! Nodes that leave, are silent or stand in a failure domain that is out are
//! not offered. When that leaves none, a node that may still serve is better
//! than no answer, so the best of the others are offered.

use std::collections::{BTreeMap, BTreeSet};

use heatherrun_control::cell::{self, Nodes};
use heatherrun_kernel::view::{Member, Service, Standing};
use heatherrun_kernel::{DomainId, NodeId, View};
use heatherrun_schema::v1;

/// Seconds that an answer of the last resort may be kept at the most.
const LAST_SECS: u32 = 2;

/// Lowest weight that is offered.
const LEAST_WEIGHT: u32 = 5;

/// Addresses at the most, the nearest to a fair spread over domains first.
const MOST: usize = 24;

/// Addresses for callers of any service.
#[must_use]
pub fn addresses(view: &View, keep_secs: u32) -> v1::AddressesAnswer {
    answer(view, None, keep_secs, None)
}

/// Addresses for callers of `service`; `doubted` is a node that cannot prove
/// its view fresh.
#[must_use]
pub fn addresses_of(
    view: &View,
    service: &Service,
    keep_secs: u32,
    doubted: Option<NodeId>,
) -> v1::AddressesAnswer {
    answer(view, Some(service), keep_secs, doubted)
}

fn answer(
    view: &View,
    service: Option<&Service>,
    keep_secs: u32,
    doubted: Option<NodeId>,
) -> v1::AddressesAnswer {
    let cell = service.map(|s| cell_of(view, s));
    let serves = |m: &&Member| cell.as_ref().is_none_or(|c| c.contains(&m.info.id));
    let sound = |m: &&Member| {
        let is_in = !view.out.contains(&m.info.domain);
        m.standing == Standing::Live && is_in && doubted != Some(m.info.id)
    };
    let mut chosen: Vec<_> = view.nodes.values().filter(serves).filter(sound).collect();
    let mut keep = keep_secs;
    if chosen.is_empty() {
        chosen = last_resort(view);
        keep = keep.min(LAST_SECS);
    }
    v1::AddressesAnswer {
        addresses: spread(view, chosen),
        keep_secs: keep,
    }
}

/// Nodes that serve a service; the whole tier while it is small.
fn cell_of(view: &View, service: &Service) -> BTreeSet<NodeId> {
    let mut nodes = Nodes::new();
    for (id, member) in &view.nodes {
        if member.standing != Standing::Silent {
            nodes.entry(member.info.domain).or_default().push(*id);
        }
    }
    let targets = service.shards.iter().map(Vec::len).sum();
    cell::members(service.id, targets, &nodes)
}

/// The best of the nodes that should not be offered.
fn last_resort(view: &View) -> Vec<&Member> {
    for standing in [Standing::Live, Standing::Leaving, Standing::Silent] {
        let found: Vec<_> = view
            .nodes
            .values()
            .filter(|m| m.standing == standing)
            .collect();
        if !found.is_empty() {
            return found;
        }
    }
    Vec::new()
}

/// Takes nodes of each failure domain in turn, up to the bound.
fn spread(view: &View, chosen: Vec<&Member>) -> Vec<v1::WeightedAddress> {
    let mut lanes: BTreeMap<DomainId, Vec<&Member>> = BTreeMap::new();
    for member in chosen {
        lanes.entry(member.info.domain).or_default().push(member);
    }
    for lane in lanes.values_mut() {
        lane.sort_by_key(|m| (std::cmp::Reverse(m.load), m.info.id));
    }
    let mut addresses = Vec::new();
    while addresses.len() < MOST && lanes.values().any(|lane| !lane.is_empty()) {
        for lane in lanes.values_mut() {
            addresses.extend(lane.pop().map(|m| weighted(view, m)));
        }
    }
    addresses.truncate(MOST);
    addresses
}

fn weighted(view: &View, member: &Member) -> v1::WeightedAddress {
    let id = member.info.domain;
    let domain = view.domains.iter().find(|d| DomainId::of(&d.name) == id);
    v1::WeightedAddress {
        address: member.info.callers.to_string(),
        domain: domain.map(|d| d.name.clone()).unwrap_or_default(),
        weight: (100 - u32::from(member.load.min(100))).max(LEAST_WEIGHT),
    }
}
