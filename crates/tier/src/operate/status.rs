//! The state of the tier as one node sees it.

use std::collections::BTreeSet;

use heatherrun_kernel::message::OwnerReport;
use heatherrun_kernel::view::{Member, Target};
use heatherrun_kernel::{DomainId, Revision, View};
use heatherrun_schema::v1;

use crate::node::Node;

/// The state of the tier as `node` sees it.
pub(super) async fn tier_status(node: &Node) -> v1::StatusAnswer {
    let view = node.view.load_full();
    let rollout = rollout_status(node, view.revision).await;
    let behind: BTreeSet<String> = rollout.behind.iter().cloned().collect();
    let mut nodes = Vec::with_capacity(view.nodes.len());
    for member in view.nodes.values() {
        let mut status = node_status(&view, member);
        if !behind.contains(&status.name) {
            status.revision = view.revision.0;
        }
        if member.info.id == node.info.id && node.control.doubted() {
            "doubted".clone_into(&mut status.state);
        }
        nodes.push(status);
    }
    let reports = node.owner.reports();
    let mut targets = Vec::with_capacity(view.targets.len());
    for target in view.targets.values() {
        let report = reports.iter().find(|(id, _)| *id == target.id);
        targets.push(target_status(&view, target, report.map(|(_, r)| *r)));
    }
    targets.sort_by(|a, b| (&a.service, &a.name).cmp(&(&b.service, &b.name)));
    v1::StatusAnswer {
        node: node.info.name.clone(),
        revision: view.revision.0,
        domains: view.domains.clone(),
        services: node.control.services(),
        nodes,
        targets,
        view_age_ms: u64::try_from(node.control.view_age().as_millis()).unwrap_or(u64::MAX),
        force: Some(rollout),
    }
}

fn domain_name(view: &View, id: DomainId) -> String {
    let found = view
        .domains
        .iter()
        .find(|d| DomainId::from_name(&d.name) == id);
    found.map(|d| d.name.clone()).unwrap_or_default()
}

fn node_status(view: &View, member: &Member) -> v1::NodeStatus {
    v1::NodeStatus {
        name: member.info.name.clone(),
        domain: domain_name(view, member.info.domain),
        callers: member.info.callers.to_string(),
        state: format!("{:?}", member.standing).to_ascii_lowercase(),
        revision: 0,
        load: u32::from(member.load),
    }
}

fn target_status(view: &View, target: &Target, report: Option<OwnerReport>) -> v1::TargetStatus {
    let owner = view.owners.get(&target.id);
    let node = owner.and_then(|o| view.nodes.get(&o.node));
    let service = view.services.get(&target.service);
    let report = report.unwrap_or_default();
    let mut state = format!("{:?}", report.target.warmth).to_ascii_lowercase();
    if !view.is_in_service(target) {
        "out".clone_into(&mut state);
    }
    v1::TargetStatus {
        service: service.map(|s| s.name.clone()).unwrap_or_default(),
        name: target.name.clone(),
        domain: domain_name(view, target.domain),
        owner: node.map(|m| m.info.name.clone()).unwrap_or_default(),
        epoch: owner.map(|o| o.epoch.0).unwrap_or_default(),
        state,
        in_flight: u32::from(report.in_flight),
        limit: u32::from(report.limit),
        slots: u32::from(target.slots),
        shard: u32::from(target.shard.0),
        queued: u32::from(report.queued),
    }
}

/// On how many nodes `revision` is in force, as far as this node knows. Nodes of
/// a failure domain that reports nothing count as behind.
pub(super) async fn rollout_status(node: &Node, revision: Revision) -> v1::Force {
    let reports = node.control.rollout_status().await;
    let mut rollout = v1::Force {
        revision: revision.0,
        ..v1::Force::default()
    };
    for report in &reports {
        rollout.total += report.total;
        if report.revision >= revision {
            rollout.nodes += report.nodes;
            rollout.behind.extend(report.behind.iter().cloned());
        }
    }
    let view = node.view.load();
    for member in view.nodes.values() {
        let report = reports.iter().find(|r| r.domain == member.info.domain);
        if report.is_none() {
            rollout.total += 1;
        }
        if report.is_none_or(|r| r.revision < revision) {
            rollout.behind.push(member.info.name.clone());
        }
    }
    rollout
}

/// Describes on which nodes a change is in force, for operators.
pub(super) fn describe_rollout(rollout: &v1::Force) -> String {
    let summary = format!("in force on {} of {} nodes", rollout.nodes, rollout.total);
    if rollout.behind.is_empty() {
        return summary;
    }
    format!("{summary}, behind: {}", rollout.behind.join(", "))
}
