//! Checks of shards and searchers.

use std::collections::{BTreeSet, HashMap, HashSet};

use heatherrun_schema::v1::{self, service::Kind};

use crate::node::check_address;
use crate::shape::Shaped;
use crate::tier::{check_name, check_unique};

/// Connections needed for each slot: one in use and one being made.
const CONNECTIONS_PER_SLOT: u32 = 2;

/// Highest index of a shard, and most slots and connections of a searcher.
const MOST: u32 = u16::MAX as u32;

/// Failure domains that each shard's replicas should stand in.
const LEAST_DOMAINS: usize = 2;

/// What is known of searchers across all services.
pub(crate) struct Searchers<'a> {
    domains: &'a [v1::FailureDomain],
    addresses: HashMap<String, String>,
}

impl<'a> Searchers<'a> {
    pub(crate) fn new(domains: &'a [v1::FailureDomain]) -> Self {
        Self {
            domains,
            addresses: HashMap::new(),
        }
    }

    /// Checks the shards and searchers of `service`, which stands at `path`.
    pub(crate) fn check(&mut self, service: &v1::Service, path: &str, out: &mut Shaped) {
        let mut names = HashMap::new();
        match &service.kind {
            Some(Kind::Sharded(sharded)) => {
                let list = format!("{path}.sharded.shards");
                check_indices(&sharded.shards, &list, out);
                for (ix, shard) in sharded.shards.iter().enumerate() {
                    let at = format!("{list}[{ix}].replicas");
                    self.group(&shard.replicas, &at, &mut names, out);
                }
            }
            Some(Kind::Pooled(pooled)) => {
                let at = format!("{path}.pooled.searchers");
                self.group(&pooled.searchers, &at, &mut names, out);
            }
            None => {}
        }
    }

    /// Checks the replicas of one shard, or the searchers of one pool.
    fn group(
        &mut self,
        group: &[v1::Searcher],
        at: &str,
        names: &mut HashMap<String, String>,
        out: &mut Shaped,
    ) {
        if group.is_empty() && out.has(at) {
            out.fault(at, "no searcher", "declare at least one");
        }
        for (ix, searcher) in group.iter().enumerate() {
            let path = format!("{at}[{ix}]");
            let name = format!("{path}.name");
            check_name(&name, &searcher.name, out);
            check_unique(&name, &searcher.name, names, out);
            self.place(searcher, &path, out);
            check_capacity(searcher, &path, out);
        }
        self.spread(group, at, out);
    }

    fn place(&mut self, searcher: &v1::Searcher, path: &str, out: &mut Shaped) {
        let address = format!("{path}.address");
        check_address(&address, &searcher.address, out);
        check_unique(&address, &searcher.address, &mut self.addresses, out);
        let domain = format!("{path}.domain");
        let declared = self.domains.iter().any(|d| d.name == searcher.domain);
        if !declared && out.has(&domain) && out.has("domains") {
            let detail = format!("no failure domain named {:?}", searcher.domain);
            let known: Vec<_> = self.domains.iter().map(|d| d.name.as_str()).collect();
            let remedy = match known.join(", ") {
                none if none.is_empty() => "declare it under \"domains\"".to_owned(),
                known => format!("use one of {known}, or declare it"),
            };
            out.fault(&domain, &detail, &remedy);
        }
    }

    /// Warns when the loss of one failure domain takes the whole group.
    fn spread(&self, group: &[v1::Searcher], at: &str, out: &mut Shaped) {
        if group.is_empty() || self.domains.len() < LEAST_DOMAINS {
            return;
        }
        let used: HashSet<_> = group.iter().map(|s| s.domain.as_str()).collect();
        if used.len() < LEAST_DOMAINS {
            let detail = format!("all searchers stand in {:?}", group[0].domain);
            out.warn(at, &detail, "spread them over two failure domains or more");
        }
        let is_out = |name: &str| self.domains.iter().any(|d| d.out && d.name == name);
        if used.iter().all(|name| is_out(name)) {
            let detail = "every failure domain with a searcher is taken out";
            out.warn(at, detail, "bring one back before applying");
        }
    }
}

/// Checks that the indices run from zero without a gap, each once.
fn check_indices(shards: &[v1::Shard], list: &str, out: &mut Shaped) {
    if shards.is_empty() && out.has(list) {
        out.fault(list, "no shard", "declare at least one");
    }
    let mut seen = BTreeSet::new();
    for (ix, shard) in shards.iter().enumerate() {
        let key = format!("{list}[{ix}].index");
        if !out.has(&key) {
            return;
        }
        if shard.index > MOST {
            let detail = format!("{} is out of range", shard.index);
            out.fault(&key, &detail, &format!("write 0 to {MOST}"));
        } else if !seen.insert(shard.index) {
            let detail = format!("shard {} is declared twice", shard.index);
            out.fault(&key, &detail, "put all its replicas into one shard");
        }
    }
    let most = u32::try_from(shards.len()).unwrap_or(MOST);
    if seen.len() < shards.len() {
        return;
    }
    if let Some(gap) = (0..most).find(|index| !seen.contains(index)) {
        let detail = format!("shard {gap} is missing");
        out.fault(list, &detail, "number the shards from 0 without a gap");
    }
}

fn check_capacity(searcher: &v1::Searcher, path: &str, out: &mut Shaped) {
    let (slots, connections) = (format!("{path}.slots"), format!("{path}.connections"));
    if !out.has(&slots) || !out.has(&connections) {
        return;
    }
    if searcher.slots == 0 || searcher.slots > MOST {
        let detail = format!("{} slots", searcher.slots);
        out.fault(&slots, &detail, &format!("write 1 to {MOST}"));
        return;
    }
    let least = searcher.slots.saturating_mul(CONNECTIONS_PER_SLOT);
    if searcher.connections < least || searcher.connections > MOST {
        let detail = format!(
            "{} connections for {} slots",
            searcher.connections, searcher.slots
        );
        let remedy = format!("write {least} to {MOST}: {CONNECTIONS_PER_SLOT} for each slot");
        out.fault(&connections, &detail, &remedy);
    }
}
