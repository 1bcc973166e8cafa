//! What is left of each service when a failure domain is out.

use std::collections::BTreeSet;

use heatherrun_kernel::view::Standing;
use heatherrun_kernel::{DomainId, View};
use heatherrun_schema::v1;

/// What taking `domain` out costs; `config` is the configuration after it.
pub(super) fn warnings(config: &v1::TierConfig, domain: &str, view: &View) -> Vec<String> {
    let is_in = |name: &str| {
        let declared = config.domains.iter().find(|d| d.name == name);
        declared.is_none_or(|d| !d.out)
    };
    let mut lines = Vec::new();
    for service in &config.services {
        let shards = shards(service);
        let slots = |keep: &dyn Fn(&str) -> bool| -> u32 {
            let all = shards.iter().flat_map(|(_, searchers)| *searchers);
            all.filter(|s| keep(&s.domain)).map(|s| s.slots).sum()
        };
        let left = slots(&is_in);
        let before = slots(&|name: &str| name == domain || is_in(name));
        if left == before {
            continue;
        }
        let name = &service.name;
        let percent = left * 100 / before.max(1);
        lines.push(format!(
            "service {name}: {left} of {before} slots left ({percent}%)"
        ));
        let bare: Vec<_> = shards
            .iter()
            .filter(|(_, searchers)| !searchers.iter().any(|s| is_in(&s.domain)))
            .map(|(index, _)| index.to_string())
            .collect();
        if !bare.is_empty() {
            let list = bare.join(", ");
            lines.push(format!(
                "service {name}: no searcher left for shards {list}"
            ));
        }
    }
    lines.extend(nodes(config, domain, view));
    lines
}

fn nodes(config: &v1::TierConfig, domain: &str, view: &View) -> Option<String> {
    let mut out = BTreeSet::new();
    for domain in config.domains.iter().filter(|d| d.out) {
        out.insert(DomainId::of(&domain.name));
    }
    let live = view.nodes.values().filter(|m| m.standing == Standing::Live);
    let (mut left, mut before) = (0, 0);
    for member in live {
        let inside = !out.contains(&member.info.domain);
        left += u32::from(inside);
        before += u32::from(inside || member.info.domain == DomainId::of(domain));
    }
    (left < before).then(|| format!("{left} of {before} nodes left that are offered to callers"))
}

fn shards(service: &v1::Service) -> Vec<(u32, &Vec<v1::Searcher>)> {
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
