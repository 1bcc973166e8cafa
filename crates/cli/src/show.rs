//! Formats the tier's state as text tables.

use std::fmt::Write as _;

use anyhow::Result;
use heatherrun_report::{Table, units};
use heatherrun_schema::CallError;
use heatherrun_schema::v1::{self, service::Kind};

pub(crate) fn status(status: &v1::StatusAnswer) -> String {
    let mut text = format!(
        "node {} at revision {}, view proved fresh {}ms ago\n",
        status.node, status.revision, status.view_age_ms
    );
    if let Some(force) = &status.force {
        text += &in_force_line(force);
    }
    let count = |state: &str| status.nodes.iter().filter(|n| n.state == state).count();
    let _ = writeln!(
        text,
        "{} services, {} targets, {} nodes, {} of them live",
        status.services.len(),
        status.targets.len(),
        status.nodes.len(),
        count("live")
    );
    let mut table = Table::new(&["failure domain", "region", "state"]);
    for domain in &status.domains {
        let state = if domain.out { "out" } else { "in" };
        table.row([&domain.name, &domain.region, state]);
    }
    text + &table.to_string()
}

/// One line that says on how many nodes a revision is in force, and which
/// nodes are behind.
pub(crate) fn in_force_line(force: &v1::Force) -> String {
    let mut text = format!(
        "revision {} in force on {} of {} nodes",
        force.revision, force.nodes, force.total
    );
    if !force.behind.is_empty() {
        text.push_str(", behind: ");
        text.push_str(&force.behind.join(", "));
    }
    text + "\n"
}

/// The service called `name`, or all services without a name.
pub(crate) fn select_services(
    services: Vec<v1::Service>,
    name: Option<&str>,
) -> Result<Vec<v1::Service>> {
    let Some(name) = name else {
        return Ok(services);
    };
    let found: Vec<_> = services.into_iter().filter(|s| s.name == name).collect();
    if found.is_empty() {
        let reason = format!("no service named {name:?}; see `heatherrun services`");
        return Err(CallError::Refused(reason).into());
    }
    Ok(found)
}

/// Targets of the service called `name`, or all targets without a name.
pub(crate) fn select_targets(
    status: v1::StatusAnswer,
    name: Option<&str>,
) -> Result<Vec<v1::TargetStatus>> {
    let Some(name) = name else {
        return Ok(status.targets);
    };
    select_services(status.services, Some(name))?;
    let of_service = |t: &v1::TargetStatus| t.service == name;
    Ok(status.targets.into_iter().filter(of_service).collect())
}

pub(crate) fn services(services: &[v1::Service]) -> String {
    let mut table = Table::new(&[
        "service",
        "kind",
        "shards",
        "searchers",
        "slots",
        "connections",
    ]);
    for service in services {
        let (kind, shards) = match &service.kind {
            Some(Kind::Sharded(sharded)) => ("sharded", sharded.shards.len().to_string()),
            Some(Kind::Pooled(_)) => ("pooled", String::new()),
            None => ("none", String::new()),
        };
        let searchers = all_searchers(service);
        let sum = |field: fn(&v1::Searcher) -> u32| {
            let total: u64 = searchers.iter().map(|s| u64::from(field(s))).sum();
            total.to_string()
        };
        table.row([
            service.name.clone(),
            kind.to_owned(),
            shards,
            searchers.len().to_string(),
            sum(|s| s.slots),
            sum(|s| s.connections),
        ]);
    }
    table.to_string()
}

/// Searchers of a service; those of a sharded service are its replicas.
fn all_searchers(service: &v1::Service) -> Vec<&v1::Searcher> {
    match &service.kind {
        Some(Kind::Sharded(sharded)) => sharded.shards.iter().flat_map(|s| &s.replicas).collect(),
        Some(Kind::Pooled(pooled)) => pooled.searchers.iter().collect(),
        None => Vec::new(),
    }
}

pub(crate) fn shards(services: &[v1::Service]) -> String {
    let mut table = Table::new(&[
        "service",
        "shard",
        "replica",
        "failure domain",
        "address",
        "slots",
        "connections",
    ]);
    for service in services {
        let Some(Kind::Sharded(sharded)) = &service.kind else {
            continue;
        };
        for shard in &sharded.shards {
            for replica in &shard.replicas {
                table.row([
                    service.name.clone(),
                    shard.index.to_string(),
                    replica.name.clone(),
                    replica.domain.clone(),
                    replica.address.clone(),
                    replica.slots.to_string(),
                    replica.connections.to_string(),
                ]);
            }
        }
    }
    if table.is_empty() {
        return "no shard: pooled services have none\n".to_owned();
    }
    table.to_string()
}

/// A limit with its unit; zero stands for the default.
fn limit_or_default(value: u32, unit: &str) -> String {
    if value == 0 {
        "default".to_owned()
    } else {
        format!("{value}{unit}")
    }
}

/// A latency bound; empty where none is declared.
fn latency_bound(ms: u32) -> String {
    if ms == 0 {
        String::new()
    } else {
        format!("{ms}ms")
    }
}

pub(crate) fn limits(services: &[v1::Service]) -> String {
    let mut table = Table::new(&[
        "service", "deadline", "longest", "extra", "body", "once", "latency", "within", "coverage",
        "served",
    ]);
    for service in services {
        let limits = service.limits.unwrap_or_default();
        let objectives = service.objectives.unwrap_or_default();
        let share = |ppm: u32| match ppm {
            0 => String::new(),
            ppm => units::ppm(ppm),
        };
        table.row([
            service.name.clone(),
            limit_or_default(limits.deadline_ms, "ms"),
            limit_or_default(limits.deadline_max, "ms"),
            limit_or_default(limits.extra_percent, "%"),
            limit_or_default(limits.body_bytes, "B"),
            limit_or_default(limits.once_secs, "s"),
            share(objectives.latency_ppm),
            latency_bound(objectives.latency_ms),
            share(objectives.coverage_ppm),
            share(objectives.served_ppm),
        ]);
    }
    table.to_string()
}

pub(crate) fn nodes(nodes: &[v1::NodeStatus]) -> String {
    let mut table = Table::new(&[
        "node",
        "failure domain",
        "callers",
        "state",
        "revision",
        "load",
    ]);
    let mut sorted: Vec<_> = nodes.iter().collect();
    sorted.sort_by(|a, b| a.name.cmp(&b.name));
    for node in sorted {
        table.row([
            node.name.clone(),
            node.domain.clone(),
            node.callers.clone(),
            node.state.clone(),
            node.revision.to_string(),
            format!("{}%", node.load),
        ]);
    }
    table.to_string()
}

pub(crate) fn targets(targets: &[v1::TargetStatus]) -> String {
    if targets.is_empty() {
        return "no target\n".to_owned();
    }
    let mut table = Table::new(&[
        "service",
        "target",
        "failure domain",
        "shard",
        "state",
        "owner",
        "epoch",
        "in flight",
        "limit",
        "slots",
        "queued",
    ]);
    for target in targets {
        table.row([
            target.service.clone(),
            target.name.clone(),
            target.domain.clone(),
            target.shard.to_string(),
            target.state.clone(),
            target.owner.clone(),
            target.epoch.to_string(),
            target.in_flight.to_string(),
            target.limit.to_string(),
            target.slots.to_string(),
            target.queued.to_string(),
        ]);
    }
    table.to_string()
}
