//! Validates the shards and searchers of a service.

use std::collections::{BTreeSet, HashMap, HashSet};

use heatherrun_schema::v1::{self, service::Kind};

use crate::document::Document;
use crate::node::check_address;
use crate::tier::{check_name, check_unique};

/// Connections needed for each slot: one in use and one being established.
const CONNECTIONS_PER_SLOT: u32 = 2;

/// Highest shard index, and largest number of slots or connections of a searcher.
const MAX_INDEX_OR_COUNT: u32 = u16::MAX as u32;

/// Minimum number of failure domains over which the replicas of a shard, or the
/// searchers of a pool, should be spread.
const MIN_GROUP_DOMAINS: usize = 2;

/// Validates searchers, including that addresses are unique across services.
pub(crate) struct SearcherChecks<'a> {
    domains: &'a [v1::FailureDomain],
    addresses: HashMap<String, String>,
}

impl<'a> SearcherChecks<'a> {
    pub(crate) fn new(domains: &'a [v1::FailureDomain]) -> Self {
        Self {
            domains,
            addresses: HashMap::new(),
        }
    }

    /// Checks the shards and searchers of `service`; `path` is its key.
    pub(crate) fn check(&mut self, service: &v1::Service, path: &str, document: &mut Document) {
        let mut names = HashMap::new();
        match &service.kind {
            Some(Kind::Sharded(sharded)) => {
                let shards_path = format!("{path}.sharded.shards");
                check_indices(&sharded.shards, &shards_path, document);
                for (ix, shard) in sharded.shards.iter().enumerate() {
                    let list_path = format!("{shards_path}[{ix}].replicas");
                    self.check_group(&shard.replicas, &list_path, &mut names, document);
                }
            }
            Some(Kind::Pooled(pooled)) => {
                let list_path = format!("{path}.pooled.searchers");
                self.check_group(&pooled.searchers, &list_path, &mut names, document);
            }
            None => {}
        }
    }

    /// Checks the replicas of one shard or the searchers of one pool;
    /// `list_path` is the key of the list.
    fn check_group(
        &mut self,
        group: &[v1::Searcher],
        list_path: &str,
        names: &mut HashMap<String, String>,
        document: &mut Document,
    ) {
        if group.is_empty() && document.contains(list_path) {
            document.add_error(list_path, "no searchers", "declare at least one");
        }
        for (ix, searcher) in group.iter().enumerate() {
            let path = format!("{list_path}[{ix}]");
            let name = format!("{path}.name");
            check_name(&name, &searcher.name, document);
            check_unique(&name, &searcher.name, names, document);
            self.check_placement(searcher, &path, document);
            check_capacity(searcher, &path, document);
        }
        self.check_spread(group, list_path, document);
    }

    fn check_placement(&mut self, searcher: &v1::Searcher, path: &str, document: &mut Document) {
        let address = format!("{path}.address");
        check_address(&address, &searcher.address, document);
        check_unique(&address, &searcher.address, &mut self.addresses, document);
        let domain = format!("{path}.domain");
        let declared = self.domains.iter().any(|d| d.name == searcher.domain);
        if !declared && document.contains(&domain) && document.contains("domains") {
            let detail = format!("no failure domain named {:?}", searcher.domain);
            let known: Vec<_> = self.domains.iter().map(|d| d.name.as_str()).collect();
            let remedy = match known.join(", ") {
                none if none.is_empty() => "declare it under \"domains\"".to_owned(),
                known => format!("use one of {known}, or declare it"),
            };
            document.add_error(&domain, &detail, &remedy);
        }
    }

    /// Warns when the loss of one failure domain would make the whole group
    /// unavailable, or when all of its failure domains are out of service.
    fn check_spread(&self, group: &[v1::Searcher], list_path: &str, document: &mut Document) {
        if group.is_empty() || self.domains.len() < MIN_GROUP_DOMAINS {
            return;
        }
        let used_domains: HashSet<_> = group.iter().map(|s| s.domain.as_str()).collect();
        if used_domains.len() < MIN_GROUP_DOMAINS {
            let detail = format!("all searchers are in {:?}", group[0].domain);
            document.add_warning(
                list_path,
                &detail,
                "spread them over two failure domains or more",
            );
        }
        let is_out_of_service = |name: &str| self.domains.iter().any(|d| d.out && d.name == name);
        if used_domains.iter().all(|name| is_out_of_service(name)) {
            let detail = "every failure domain with a searcher is out of service";
            document.add_warning(list_path, detail, "bring one back before applying");
        }
    }
}

/// Checks that the shard indices are consecutive, unique and start at zero.
fn check_indices(shards: &[v1::Shard], shards_path: &str, document: &mut Document) {
    if shards.is_empty() && document.contains(shards_path) {
        document.add_error(shards_path, "no shards", "declare at least one");
    }
    let mut seen = BTreeSet::new();
    for (ix, shard) in shards.iter().enumerate() {
        let key = format!("{shards_path}[{ix}].index");
        if !document.contains(&key) {
            return;
        }
        if shard.index > MAX_INDEX_OR_COUNT {
            let detail = format!("{} is out of range", shard.index);
            document.add_error(&key, &detail, &format!("write 0 to {MAX_INDEX_OR_COUNT}"));
        } else if !seen.insert(shard.index) {
            let detail = format!("shard {} is declared twice", shard.index);
            document.add_error(&key, &detail, "put all its replicas into one shard");
        }
    }
    let shard_count = u32::try_from(shards.len()).unwrap_or(MAX_INDEX_OR_COUNT);
    if seen.len() < shards.len() {
        return;
    }
    if let Some(gap) = (0..shard_count).find(|index| !seen.contains(index)) {
        let detail = format!("shard {gap} is missing");
        document.add_error(
            shards_path,
            &detail,
            "number the shards from 0 without a gap",
        );
    }
}

fn check_capacity(searcher: &v1::Searcher, path: &str, document: &mut Document) {
    let (slots, connections) = (format!("{path}.slots"), format!("{path}.connections"));
    if !document.contains(&slots) || !document.contains(&connections) {
        return;
    }
    if searcher.slots == 0 || searcher.slots > MAX_INDEX_OR_COUNT {
        let detail = format!("{} slots", searcher.slots);
        document.add_error(&slots, &detail, &format!("write 1 to {MAX_INDEX_OR_COUNT}"));
        return;
    }
    let min_connections = searcher.slots.saturating_mul(CONNECTIONS_PER_SLOT);
    if searcher.connections < min_connections || searcher.connections > MAX_INDEX_OR_COUNT {
        let detail = format!(
            "{} connections for {} slots",
            searcher.connections, searcher.slots
        );
        let remedy = format!(
            "write {min_connections} to {MAX_INDEX_OR_COUNT}: {CONNECTIONS_PER_SLOT} for each slot"
        );
        document.add_error(&connections, &detail, &remedy);
    }
}
