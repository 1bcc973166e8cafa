//! Answers callers' address lookups with a weighted list of the nodes that
//! serve a service.
//!
//! Nodes that are leaving, are unresponsive or are in a failure domain that
//! is out of service are left out. If no other node remains, the best of
//! these are returned, since one of them may still serve the caller.

use std::collections::{BTreeMap, BTreeSet};

use heatherrun_control::cell::{self, Nodes};
use heatherrun_kernel::view::{Availability, Member, Service};
use heatherrun_kernel::{DomainId, NodeId, View};
use heatherrun_schema::v1;

/// Longest time, in seconds, for which callers may cache a fallback answer.
const MAX_FALLBACK_KEEP_SECS: u32 = 2;

/// Lowest weight of an address.
const MIN_WEIGHT: u32 = 5;

/// Upper bound on the addresses in one answer.
const MAX_ADDRESSES: usize = 24;

/// Addresses of the nodes of the whole tier, for callers of any service.
#[must_use]
pub fn addresses(view: &View, keep_secs: u32) -> v1::AddressesAnswer {
    build_answer(view, None, keep_secs, None)
}

/// Addresses of the nodes that serve `service`. `unconfirmed` is a node that
/// cannot confirm that its view is current, and is left out if possible.
#[must_use]
pub fn service_addresses(
    view: &View,
    service: &Service,
    keep_secs: u32,
    unconfirmed: Option<NodeId>,
) -> v1::AddressesAnswer {
    build_answer(view, Some(service), keep_secs, unconfirmed)
}

fn build_answer(
    view: &View,
    service: Option<&Service>,
    keep_secs: u32,
    unconfirmed: Option<NodeId>,
) -> v1::AddressesAnswer {
    let cell = service.map(|s| cell_members(view, s));
    let in_cell = |m: &&Member| cell.as_ref().is_none_or(|c| c.contains(&m.info.id));
    let is_healthy = |m: &&Member| {
        let in_service = !view.out_domains.contains(&m.info.domain);
        m.standing == Availability::Live && in_service && unconfirmed != Some(m.info.id)
    };
    let mut chosen: Vec<_> = view
        .nodes
        .values()
        .filter(in_cell)
        .filter(is_healthy)
        .collect();
    let mut answer_keep_secs = keep_secs;
    if chosen.is_empty() {
        chosen = fallback_nodes(view);
        answer_keep_secs = answer_keep_secs.min(MAX_FALLBACK_KEEP_SECS);
    }
    v1::AddressesAnswer {
        addresses: interleave_domains(view, chosen),
        keep_secs: answer_keep_secs,
    }
}

/// Nodes that serve a service; a small tier serves every service on all nodes.
fn cell_members(view: &View, service: &Service) -> BTreeSet<NodeId> {
    let mut nodes = Nodes::new();
    for (id, member) in &view.nodes {
        if member.standing != Availability::Silent {
            nodes.entry(member.info.domain).or_default().push(*id);
        }
    }
    let targets = service.shards.iter().map(Vec::len).sum();
    cell::members(service.id, targets, &nodes)
}

/// The best nodes when no healthy node serves the service: live ones, else
/// leaving ones, else unresponsive ones.
fn fallback_nodes(view: &View) -> Vec<&Member> {
    for standing in [
        Availability::Live,
        Availability::Leaving,
        Availability::Silent,
    ] {
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

/// Takes one node of each failure domain in turn, up to [`MAX_ADDRESSES`],
/// so that the answer is spread evenly over the domains.
fn interleave_domains(view: &View, chosen: Vec<&Member>) -> Vec<v1::WeightedAddress> {
    let mut by_domain: BTreeMap<DomainId, Vec<&Member>> = BTreeMap::new();
    for member in chosen {
        by_domain
            .entry(member.info.domain)
            .or_default()
            .push(member);
    }
    for members in by_domain.values_mut() {
        members.sort_by_key(|m| (std::cmp::Reverse(m.load), m.info.id));
    }
    let mut addresses = Vec::new();
    while addresses.len() < MAX_ADDRESSES && by_domain.values().any(|members| !members.is_empty()) {
        for members in by_domain.values_mut() {
            addresses.extend(members.pop().map(|m| weighted_address(view, m)));
        }
    }
    addresses.truncate(MAX_ADDRESSES);
    addresses
}

fn weighted_address(view: &View, member: &Member) -> v1::WeightedAddress {
    let id = member.info.domain;
    let domain = view
        .domains
        .iter()
        .find(|d| DomainId::from_name(&d.name) == id);
    v1::WeightedAddress {
        address: member.info.callers.to_string(),
        domain: domain.map(|d| d.name.clone()).unwrap_or_default(),
        weight: (100 - u32::from(member.load.min(100))).max(MIN_WEIGHT),
    }
}
