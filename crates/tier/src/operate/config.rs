//! Writes of the configuration: new values first, the manifest last by
//! compare-and-swap, and each lost answer settled by a read.

use std::time::Duration;

use heatherrun_control::manifest::{self, HEAD, Manifest, PREFIX, Part, Pool, VALUE_BYTES, Whole};
use heatherrun_kernel::Revision;
use heatherrun_kernel::port::{KeyValue, StoreCall, StoreError, StoreReply};
use heatherrun_schema::{CallError, v1};

use super::{capacity, refused, status};
use crate::node::Node;

/// Tries of one write or read.
const TRIES: usize = 4;

/// Time between two tries.
const PAUSE: Duration = Duration::from_millis(100);

/// Longest wait until an accepted change is in force everywhere.
const FORCE: Duration = Duration::from_secs(3);

/// Time between two looks at where a change is in force.
const LOOK: Duration = Duration::from_millis(50);

/// Outcome of a write.
enum Outcome {
    Accepted(Revision),
    Conflict(Revision),
}

/// Writes a whole configuration.
pub(super) async fn apply(
    node: &Node,
    request: v1::ApplyRequest,
) -> Result<v1::ApplyAnswer, CallError> {
    let config = request.config.unwrap_or_default();
    let old = read(node).await?;
    if old.revision.0 != request.base {
        return Ok(conflict(old.revision));
    }
    let changes = manifest::diff(&manifest::config(&old.parts), &config);
    let done = v1::ApplyAnswer {
        accepted: !request.dry_run,
        revision: old.revision.0,
        changes: changes.clone(),
        ..v1::ApplyAnswer::default()
    };
    if request.dry_run {
        check_sizes(&config)?;
        return Ok(v1::ApplyAnswer {
            detail: "nothing was written".to_owned(),
            ..done
        });
    }
    match write(node, &old, &config, changes).await? {
        Outcome::Accepted(revision) => Ok(accepted(node, revision, done).await),
        Outcome::Conflict(newer) => Ok(conflict(newer)),
    }
}

/// Takes a failure domain out or brings it back.
pub(super) async fn set_domain(
    node: &Node,
    request: v1::DomainRequest,
) -> Result<v1::ApplyAnswer, CallError> {
    for _ in 0..TRIES {
        let old = read(node).await?;
        let before = manifest::config(&old.parts);
        let mut config = before.clone();
        let Some(domain) = config.domains.iter_mut().find(|d| d.name == request.domain) else {
            return Err(refused(format!(
                "no failure domain named {:?}; `heatherrun status` lists them",
                request.domain
            )));
        };
        domain.out = request.out;
        let changes = manifest::diff(&before, &config);
        let mut done = v1::ApplyAnswer {
            accepted: !request.dry_run,
            revision: old.revision.0,
            changes: changes.clone(),
            ..v1::ApplyAnswer::default()
        };
        if request.out {
            done.warnings = capacity::warnings(&config, &request.domain, &node.view.load());
        }
        if request.dry_run {
            "nothing was written".clone_into(&mut done.detail);
            return Ok(done);
        }
        if changes.is_empty() {
            "the failure domain stands so already".clone_into(&mut done.detail);
            return Ok(done);
        }
        match write(node, &old, &config, changes).await? {
            Outcome::Accepted(revision) => return Ok(accepted(node, revision, done).await),
            Outcome::Conflict(_) => tokio::time::sleep(PAUSE).await,
        }
    }
    Err(refused("other operators write all the time; try again"))
}

/// The accepted changes after `from`.
pub(super) async fn history(node: &Node, from: u64) -> Result<v1::HistoryAnswer, CallError> {
    let whole = read(node).await?;
    let mut answer = v1::HistoryAnswer::default();
    for past in whole.manifest.past {
        let revision = match past.revision {
            Revision(0) => whole.revision.0,
            Revision(set) => set,
        };
        if revision <= from {
            continue;
        }
        if from > 0 {
            answer.diff.extend(past.summary.iter().cloned());
        }
        answer.changes.push(v1::Change {
            revision,
            summary: past.summary.join("; "),
            unix_ms: past.time,
        });
    }
    Ok(answer)
}

fn conflict(newer: Revision) -> v1::ApplyAnswer {
    v1::ApplyAnswer {
        accepted: false,
        revision: newer.0,
        detail: format!(
            "conflict: the configuration stands at revision {newer}; \
             look at `heatherrun diff`, then apply again based on it"
        ),
        ..v1::ApplyAnswer::default()
    }
}

async fn accepted(node: &Node, revision: Revision, done: v1::ApplyAnswer) -> v1::ApplyAnswer {
    log::info!(node = node.info.name.as_str(), revision = revision.0; "config.accepted");
    node.control.hurry(revision).await;
    let end = node.clock.now() + FORCE;
    let mut force = status::force(node, revision).await;
    while force.nodes < force.total && node.clock.now() < end {
        tokio::time::sleep(LOOK).await;
        force = status::force(node, revision).await;
    }
    v1::ApplyAnswer {
        revision: revision.0,
        detail: status::in_force(&force),
        force: Some(force),
        ..done
    }
}

/// Reads the configuration whole; empty when there is none.
async fn read(node: &Node) -> Result<Whole, CallError> {
    let mut last = StoreError::Unavailable;
    for _ in 0..TRIES {
        let call = StoreCall::Watch {
            prefix: PREFIX.to_owned(),
            after: Revision(0),
            wait: Duration::ZERO,
        };
        match node.control.store(call).await {
            Ok(StoreReply::Changes(found, _)) => {
                let is_head = |kv: &KeyValue| kv.key == HEAD && kv.value.is_some();
                let absent = !found.iter().any(is_head);
                let mut pool = Pool::default();
                pool.take(found);
                if let Some(whole) = pool.whole() {
                    return Ok(whole);
                }
                if absent {
                    return Ok(empty());
                }
            }
            Ok(_) => {}
            Err(e) => last = e,
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(refused(format!("nothing was written: {last}")))
}

fn empty() -> Whole {
    Whole {
        revision: Revision(0),
        manifest: Manifest::default(),
        parts: Vec::new(),
    }
}

fn check_sizes(config: &v1::TierConfig) -> Result<(), CallError> {
    for (name, value) in manifest::parts(config)? {
        check_size(&name, value.len())?;
    }
    Ok(())
}

fn check_size(name: &str, bytes: usize) -> Result<(), CallError> {
    if bytes <= VALUE_BYTES {
        return Ok(());
    }
    Err(refused(format!(
        "nothing was written: {name} takes {bytes} bytes and the store at most {VALUE_BYTES}; \
         split it into several services"
    )))
}

async fn write(
    node: &Node,
    old: &Whole,
    config: &v1::TierConfig,
    summary: Vec<String>,
) -> Result<Outcome, CallError> {
    check_sizes(config)?;
    let id = node.control.write_id();
    let mut made = Manifest {
        write: id.clone(),
        parts: Vec::new(),
        past: old.manifest.past.clone(),
    };
    made.note(old.revision, summary, node.control.unix_ms());
    let mut fresh = Vec::new();
    for (name, value) in manifest::parts(config)? {
        let stands = old
            .parts
            .iter()
            .any(|p| p.key == name && p.value.as_ref() == Some(&value));
        if stands && let Some(part) = old.manifest.part(&name) {
            made.parts.push(part.clone());
            continue;
        }
        let key = format!("{PREFIX}{name}/{id}");
        let revision = put(node, &key, value).await?;
        fresh.push((key.clone(), revision));
        made.parts.push(Part {
            name,
            key,
            revision,
        });
    }
    let outcome = swap_head(node, old.revision, &made).await?;
    match outcome {
        Outcome::Accepted(_) => sweep(node, old, &made).await,
        Outcome::Conflict(_) => {
            for (key, revision) in fresh {
                delete(node, key, revision).await;
            }
        }
    }
    Ok(outcome)
}

/// Writes a new key; a lost answer is settled by a read.
async fn put(node: &Node, key: &str, value: Vec<u8>) -> Result<Revision, CallError> {
    let mut last = StoreError::Unavailable;
    for _ in 0..TRIES {
        let call = StoreCall::Swap {
            key: key.to_owned(),
            expect: Revision(0),
            value: Some(value.clone()),
            lease: 0,
        };
        match node.control.store(call).await {
            Ok(StoreReply::Swapped(revision) | StoreReply::Conflict(revision)) => {
                return Ok(revision);
            }
            Ok(_) => {}
            Err(e) => last = e,
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(refused(format!("not accepted: {last}")))
}

/// Swaps the manifest. When no answer comes, the write's own name in what
/// stands there tells whether it took effect.
async fn swap_head(node: &Node, base: Revision, made: &Manifest) -> Result<Outcome, CallError> {
    let value = serde_json::to_vec(made).map_err(refused)?;
    check_size("the list of services", value.len())?;
    let mut sent = false;
    for _ in 0..TRIES {
        let call = StoreCall::Swap {
            key: HEAD.to_owned(),
            expect: base,
            value: Some(value.clone()),
            lease: 0,
        };
        match node.control.store(call).await {
            Ok(StoreReply::Swapped(revision)) => return Ok(Outcome::Accepted(revision)),
            Ok(StoreReply::Conflict(newer)) if !sent => return Ok(Outcome::Conflict(newer)),
            Ok(StoreReply::Conflict(_)) => {
                if let Some(outcome) = settle(node, made).await {
                    return Ok(outcome);
                }
            }
            Ok(_) | Err(StoreError::Unavailable) => {}
            Err(StoreError::NoAnswer) => {
                sent = true;
                if let Some(outcome) = settle(node, made).await {
                    return Ok(outcome);
                }
            }
            Err(e) => return Err(refused(e)),
        }
        tokio::time::sleep(PAUSE).await;
    }
    if !sent {
        return Err(refused(format!(
            "not accepted: {}",
            StoreError::Unavailable
        )));
    }
    Err(refused(format!(
        "unknown whether write {} was accepted, the store gives no answer; \
         look at `heatherrun history` before applying again",
        made.write
    )))
}

/// Outcome of a write whose answer was lost; none when it had no effect yet.
async fn settle(node: &Node, made: &Manifest) -> Option<Outcome> {
    for _ in 0..TRIES {
        let call = StoreCall::Get {
            key: HEAD.to_owned(),
        };
        if let Ok(StoreReply::Value(found)) = node.control.store(call).await {
            let found = found?;
            let stands: Manifest = serde_json::from_slice(found.value.as_deref()?).ok()?;
            if stands.write == made.write {
                return Some(Outcome::Accepted(found.revision));
            }
            let ours = stands.past.iter().find(|p| p.write == made.write);
            if let Some(ours) = ours {
                return Some(Outcome::Accepted(ours.revision));
            }
            let base = made.past.iter().rev().nth(1).map(|p| p.revision);
            let moved = base.unwrap_or_default() != found.revision;
            return moved.then_some(Outcome::Conflict(found.revision));
        }
        tokio::time::sleep(PAUSE).await;
    }
    None
}

/// Deletes values that the new manifest does not name.
async fn sweep(node: &Node, old: &Whole, made: &Manifest) {
    for part in &old.manifest.parts {
        if !made.parts.contains(part) {
            delete(node, part.key.clone(), part.revision).await;
        }
    }
}

async fn delete(node: &Node, key: String, expect: Revision) {
    let call = StoreCall::Swap {
        key,
        expect,
        value: None,
        lease: 0,
    };
    let _ = node.control.store(call).await;
}
