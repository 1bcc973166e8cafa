//! What a configuration consists of. Each service and the failure domains
//! stand under keys of their own, which are written once and never changed;
//! the manifest under [`HEAD`] names them. A change writes new keys first and
//! swaps the manifest last, so it is accepted whole or not at all.

use std::collections::BTreeMap;

use heatherrun_kernel::Revision;
use heatherrun_kernel::port::KeyValue;
use heatherrun_schema::v1;
use serde::{Deserialize, Serialize};

/// Prefix of all keys of the configuration.
pub const PREFIX: &str = "config/";

/// Key of the manifest.
pub const HEAD: &str = "config/head";

/// Name of the part that holds the failure domains.
pub const DOMAINS: &str = "domains";

/// Prefix of the names of parts that hold a service.
pub const SERVICE: &str = "service/";

/// Largest value that the platform's store takes, in bytes.
pub const VALUE_BYTES: usize = 1 << 20;

/// Earlier changes that a manifest tells of.
pub const PAST: usize = 100;

/// One part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Name: [`DOMAINS`], or [`SERVICE`] and the name of the service.
    pub name: String,
    /// Key in the store.
    pub key: String,
    /// Revision of the key.
    pub revision: Revision,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// Revision; zero for the change of the manifest itself, whose revision
    /// is that of its key.
    pub revision: Revision,
    /// Unique name of the write.
    pub write: String,
    /// What changed.
    pub summary: Vec<String>,
    /// When, in Unix milliseconds.
    pub time: u64,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Unique name of the write, by which a lost answer is settled.
    pub write: String,
    /// Parts by name.
    pub parts: Vec<Part>,
    /// Changes, oldest first; the last one made this manifest.
    pub past: Vec<Past>,
}

impl Manifest {
    /// The key of a part called `name`.
    #[must_use]
    pub fn part(&self, name: &str) -> Option<&Part> {
        self.parts.iter().find(|p| p.name == name)
    }

    /// Adds the change that makes this manifest out of the one at `base`.
    pub fn note(&mut self, base: Revision, summary: Vec<String>, time: u64) {
        if let Some(last) = self.past.last_mut() {
            last.revision = base;
        }
        self.past.push(Past {
            revision: Revision(0),
            write: self.write.clone(),
            summary,
            time,
        });
        let extra = self.past.len().saturating_sub(PAST);
        self.past.drain(..extra);
    }
}

/// Keys read from the store, until they make up a manifest.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    keys: BTreeMap<String, KeyValue>,
}

/// A configuration read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whole {
    /// Revision of the manifest.
    pub revision: Revision,
    /// Manifest.
    pub manifest: Manifest,
    /// Parts: each with its name as the key and its revision.
    pub parts: Vec<KeyValue>,
}

impl Pool {
    /// Takes keys as the store lists them.
    pub fn take(&mut self, changes: impl IntoIterator<Item = KeyValue>) {
        for change in changes {
            if change.value.is_none() {
                self.keys.remove(&change.key);
                continue;
            }
            let newer = |old: &KeyValue| old.revision < change.revision;
            if self.keys.get(&change.key).is_none_or(newer) {
                self.keys.insert(change.key.clone(), change);
            }
        }
    }

    /// The configuration, when all its parts are there.
    #[must_use]
    pub fn whole(&self) -> Option<Whole> {
        let head = self.keys.get(HEAD)?;
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
        Some(Whole {
            revision: head.revision,
            manifest,
            parts,
        })
    }
}

/// The configuration that parts make up.
#[must_use]
pub fn config<'a>(parts: impl IntoIterator<Item = &'a KeyValue>) -> v1::TierConfig {
    let mut config = v1::TierConfig::default();
    for part in parts {
        let value = part.value.as_deref().unwrap_or_default();
        if part.key == DOMAINS {
            let read = serde_json::from_slice::<v1::TierConfig>(value);
            config.domains = read.unwrap_or_default().domains;
        } else if let Ok(service) = serde_json::from_slice(value) {
            config.services.push(service);
        }
    }
    config
}

/// The values of the parts of `config`, by name.
///
/// # Errors
/// When the configuration has no JSON form.
pub fn parts(
    config: &v1::TierConfig,
) -> Result<BTreeMap<String, Vec<u8>>, heatherrun_schema::CallError> {
    let domains = v1::TierConfig {
        domains: config.domains.clone(),
        services: Vec::new(),
    };
    let mut parts = BTreeMap::new();
    parts.insert(DOMAINS.to_owned(), heatherrun_schema::encode(&domains)?);
    for service in &config.services {
        let name = format!("{SERVICE}{}", service.name);
        parts.insert(name, heatherrun_schema::encode(service)?);
    }
    Ok(parts)
}

/// What changes from one configuration to the next, one line for each.
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
            Some(b) if b.out != domain.out && domain.out => {
                lines.push(format!("domain {name}: taken out"));
            }
            Some(b) if b.out != domain.out => lines.push(format!("domain {name}: brought back")),
            Some(b) if b != domain => {
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
    let (before, after) = (searchers(old), searchers(new));
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

fn searchers(service: &v1::Service) -> BTreeMap<&str, (u32, &v1::Searcher)> {
    let mut all = BTreeMap::new();
    match &service.kind {
        Some(v1::service::Kind::Sharded(sharded)) => {
            for shard in &sharded.shards {
                let entries = shard
                    .replicas
                    .iter()
                    .map(|s| (s.name.as_str(), (shard.index, s)));
                all.extend(entries);
            }
        }
        Some(v1::service::Kind::Pooled(pooled)) => {
            all.extend(pooled.searchers.iter().map(|s| (s.name.as_str(), (0, s))));
        }
        None => {}
    }
    all
}
