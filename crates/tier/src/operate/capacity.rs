//! Capacity that remains for each service when a failure domain is taken out
//! of service.

use std::collections::BTreeSet;

use heatherrun_kernel::view::Availability;
use heatherrun_kernel::{DomainId, View};
use heatherrun_schema::v1;

/// Warnings about the capacity lost by taking `domain` out of service; `config`
/// is the configuration after that change.
pub(super) fn domain_out_warnings(
    config: &v1::TierConfig,
    domain: &str,
    view: &View,
) -> Vec<String> {
    let in_service = |name: &str| {
        let domain = config.domains.iter().find(|d| d.name == name);
        domain.is_none_or(|d| !d.out)
    };
    let mut warnings = Vec::new();
    for service in &config.services {
        let shards = searchers_by_shard(service);
        let slots_where = |includes: &dyn Fn(&str) -> bool| -> u32 {
            let all = shards.iter().flat_map(|(_, searchers)| *searchers);
            all.filter(|s| includes(&s.domain)).map(|s| s.slots).sum()
        };
        let remaining = slots_where(&in_service);
        let previous = slots_where(&|name: &str| name == domain || in_service(name));
        if remaining == previous {
            continue;
        }
        let name = &service.name;
        let percent = remaining * 100 / previous.max(1);
        warnings.push(format!(
            "service {name}: {remaining} of {previous} slots left ({percent}%)"
        ));
        let uncovered: Vec<_> = shards
            .iter()
            .filter(|(_, searchers)| !searchers.iter().any(|s| in_service(&s.domain)))
            .map(|(index, _)| index.to_string())
            .collect();
        if !uncovered.is_empty() {
            let list = uncovered.join(", ");
            warnings.push(format!(
                "service {name}: no searcher left for shards {list}"
            ));
        }
    }
    warnings.extend(node_warning(config, domain, view));
    warnings
}

/// Warns about live nodes that callers lose when `domain` is out of service.
fn node_warning(config: &v1::TierConfig, domain: &str, view: &View) -> Option<String> {
    let mut domains_out = BTreeSet::new();
    for domain in config.domains.iter().filter(|d| d.out) {
        domains_out.insert(DomainId::from_name(&domain.name));
    }
    let live = view
        .nodes
        .values()
        .filter(|m| m.standing == Availability::Live);
    let (mut remaining, mut previous) = (0, 0);
    for member in live {
        let in_service = !domains_out.contains(&member.info.domain);
        remaining += u32::from(in_service);
        previous += u32::from(in_service || member.info.domain == DomainId::from_name(domain));
    }
    (remaining < previous)
        .then(|| format!("{remaining} of {previous} nodes left that are offered to callers"))
}

/// Searchers of each shard by its index; those of a pooled service count as
/// shard 0.
fn searchers_by_shard(service: &v1::Service) -> Vec<(u32, &Vec<v1::Searcher>)> {
    match &service.kind {
        Some(v1::service::Kind::Sharded(sharded)) => sharded
            .shards
            .iter()
            .map(|s| (s.index, &s.replicas))
            .collect(),
        Some(v1::service::Kind::Pooled(pooled)) => vec![(0, &pooled.searchers)],
        None => Vec::new(),
    }
}
