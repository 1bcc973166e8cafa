//! How a configuration is stored. Each service, and the list of failure
//! domains, has a key of its own, which is written once and never changed; the
//! manifest under [`MANIFEST_KEY`] refers to these keys. A change writes its
//! new keys first and swaps the manifest last, so that it takes effect as a whole
//! or not at all.

use std::collections::BTreeMap;

use heatherrun_kernel::Revision;
use heatherrun_kernel::port::KeyValue;
use heatherrun_schema::v1;
use serde::{Deserialize, Serialize};

/// Prefix of all configuration keys in the store.
pub const CONFIG_KEY_PREFIX: &str = "config/";

/// Key of the manifest in the store.
pub const MANIFEST_KEY: &str = "config/head";

/// Name of the part that holds the failure domains.
pub const DOMAINS_PART: &str = "domains";

/// Prefix of the names of parts that hold a service.
pub const SERVICE_PART_PREFIX: &str = "service/";

/// Largest value that the platform's store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum number of changes kept in a manifest's history.
pub const MAX_PAST_CHANGES: usize = 100;

/// One part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Name: [`DOMAINS_PART`], or [`SERVICE_PART_PREFIX`] followed by the name of
    /// the service.
    pub name: String,
    /// Key in the store.
    pub key: String,
    /// Revision of the key.
    pub revision: Revision,
}

/// One accepted change, in a manifest's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastChange {
    /// Revision; zero for the change that wrote this manifest, whose revision
    /// is that of its key.
    pub revision: Revision,
    /// Unique id of the write.
    pub write: String,
    /// Descriptions of what changed, one line each.
    pub summary: Vec<String>,
    /// Time of the change, in Unix milliseconds.
    pub time: u64,
}

/// Index of a complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Unique id of the write. A writer whose answer was lost reads it back to
    /// learn whether its write succeeded.
    pub write: String,
    /// Names and keys of all parts.
    pub parts: Vec<Part>,
    /// History of changes, oldest first; the last one wrote this manifest.
    pub past: Vec<PastChange>,
}

impl Manifest {
    /// Returns the part called `name`.
    #[must_use]
    pub fn part(&self, name: &str) -> Option<&Part> {
        self.parts.iter().find(|p| p.name == name)
    }

    /// Appends to the history the change that produced this manifest from the
    /// one at revision `base`.
    pub fn record_change(&mut self, base: Revision, summary: Vec<String>, time: u64) {
        if let Some(last) = self.past.last_mut() {
            last.revision = base;
        }
        self.past.push(PastChange {
            revision: Revision(0),
            write: self.write.clone(),
            summary,
            time,
        });
        let excess = self.past.len().saturating_sub(MAX_PAST_CHANGES);
        self.past.drain(..excess);
    }
}

/// Keys read from the store, collected until a configuration is complete.
#[derive(Clone, Debug, Default)]
pub struct ConfigKeys {
    keys: BTreeMap<String, KeyValue>,
}

/// A complete configuration as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredConfig {
    /// Revision of the manifest.
    pub revision: Revision,
    /// The manifest.
    pub manifest: Manifest,
    /// Parts; the key of each is its name, the revision that of its store key.
    pub parts: Vec<KeyValue>,
}

impl ConfigKeys {
    /// Adds keys and removals as the store lists them; older versions are
    /// ignored.
    pub fn add(&mut self, changes: impl IntoIterator<Item = KeyValue>) {
        for change in changes {
            if change.value.is_none() {
                self.keys.remove(&change.key);
                continue;
            }
            let is_older = |old: &KeyValue| old.revision < change.revision;
            if self.keys.get(&change.key).is_none_or(is_older) {
                self.keys.insert(change.key.clone(), change);
            }
        }
    }

    /// Returns the configuration if all parts of its manifest are present.
    #[must_use]
    pub fn complete(&self) -> Option<StoredConfig> {
        let head = self.keys.get(MANIFEST_KEY)?;
        let manifest: Manifest = serde_json::from_slice(head.value.as_deref()?).ok()?;
        let mut parts = Vec::with_capacity(manifest.parts.len());
        for part in &manifest.parts {
            let found = self.keys.get(&part.key)?;
            if found.revision != part.revision {
                return None;
            }
            parts.push(KeyValue {
                key: part.name.clone(),
                revision: part.revision,
                value: found.value.clone(),
            });
        }
        Some(StoredConfig {
            revision: head.revision,
            manifest,
            parts,
        })
    }
}

/// Assembles a configuration from its parts.
#[must_use]
pub fn config<'a>(parts: impl IntoIterator<Item = &'a KeyValue>) -> v1::TierConfig {
    let mut config = v1::TierConfig::default();
    for part in parts {
        let value = part.value.as_deref().unwrap_or_default();
        if part.key == DOMAINS_PART {
            let decoded = serde_json::from_slice::<v1::TierConfig>(value);
            config.domains = decoded.unwrap_or_default().domains;
        } else if let Ok(service) = serde_json::from_slice(value) {
            config.services.push(service);
        }
    }
    config
}

/// Splits `config` into its parts: the encoded value of each, by name.
///
/// # Errors
/// If the configuration cannot be encoded as JSON.
pub fn parts(
    config: &v1::TierConfig,
) -> Result<BTreeMap<String, Vec<u8>>, heatherrun_schema::CallError> {
    let domains = v1::TierConfig {
        domains: config.domains.clone(),
        services: Vec::new(),
    };
    let mut parts = BTreeMap::new();
    parts.insert(
        DOMAINS_PART.to_owned(),
        heatherrun_schema::encode(&domains)?,
    );
    for service in &config.services {
        let name = format!("{SERVICE_PART_PREFIX}{}", service.name);
        parts.insert(name, heatherrun_schema::encode(service)?);
    }
    Ok(parts)
}

/// Describes the differences between two configurations, one line for each.
#[must_use]
pub fn diff(old: &v1::TierConfig, new: &v1::TierConfig) -> Vec<String> {
    let mut lines = Vec::new();
    diff_domains(&old.domains, &new.domains, &mut lines);
    for service in &new.services {
        match old.services.iter().find(|s| s.name == service.name) {
            None => lines.push(format!("+ service {}", service.name)),
            Some(before) => diff_service(before, service, &mut lines),
        }
    }
    for service in &old.services {
        if !new.services.iter().any(|s| s.name == service.name) {
            lines.push(format!("- service {}", service.name));
        }
    }
    lines
}

fn diff_domains(old: &[v1::FailureDomain], new: &[v1::FailureDomain], lines: &mut Vec<String>) {
    for domain in new {
        let before = old.iter().find(|d| d.name == domain.name);
        let name = &domain.name;
        match before {
            None => lines.push(format!("+ domain {name}")),
            Some(previous) if previous.out != domain.out && domain.out => {
                lines.push(format!("domain {name}: taken out"));
            }
            Some(previous) if previous.out != domain.out => {
                lines.push(format!("domain {name}: brought back"));
            }
            Some(previous) if previous != domain => {
                lines.push(format!("domain {name}: region {}", domain.region));
            }
            Some(_) => {}
        }
    }
    for domain in old {
        if !new.iter().any(|d| d.name == domain.name) {
            lines.push(format!("- domain {}", domain.name));
        }
    }
}

fn diff_service(old: &v1::Service, new: &v1::Service, lines: &mut Vec<String>) {
    let name = &new.name;
    if old.limits != new.limits {
        lines.push(format!(
            "service {name}: limits {:?}",
            new.limits.unwrap_or_default()
        ));
    }
    if old.objectives != new.objectives {
        let objectives = new.objectives.unwrap_or_default();
        lines.push(format!("service {name}: objectives {objectives:?}"));
    }
    let (before, after) = (searchers_by_name(old), searchers_by_name(new));
    for (label, searcher) in &after {
        match before.get(label) {
            None => lines.push(format!("+ searcher {name}/{label}")),
            Some(old) if old != searcher => lines.push(format!("searcher {name}/{label}: changed")),
            Some(_) => {}
        }
    }
    for label in before.keys().filter(|l| !after.contains_key(*l)) {
        lines.push(format!("- searcher {name}/{label}"));
    }
}

fn searchers_by_name(service: &v1::Service) -> BTreeMap<&str, (u32, &v1::Searcher)> {
    let mut searchers = BTreeMap::new();
    match &service.kind {
        Some(v1::service::Kind::Sharded(sharded)) => {
            for shard in &sharded.shards {
                let entries = shard
                    .replicas
                    .iter()
                    .map(|s| (s.name.as_str(), (shard.index, s)));
                searchers.extend(entries);
            }
        }
        Some(v1::service::Kind::Pooled(pooled)) => {
            searchers.extend(pooled.searchers.iter().map(|s| (s.name.as_str(), (0, s))));
        }
        None => {}
    }
    searchers
}
