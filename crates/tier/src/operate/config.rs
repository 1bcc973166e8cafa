//! Writes of the configuration. New values are written under new keys first,
//! then the manifest that references them is replaced by compare-and-swap. When
//! the answer to a write is lost, a read determines whether it took effect.

use std::time::Duration;

use heatherrun_control::manifest::{
    self, CONFIG_KEY_PREFIX, ConfigKeys, MANIFEST_KEY, MAX_VALUE_BYTES, Manifest, Part,
    StoredConfig,
};
use heatherrun_kernel::Revision;
use heatherrun_kernel::port::{KeyValue, StoreCall, StoreError, StoreReply};
use heatherrun_schema::{CallError, v1};

use super::{capacity, refused, status};
use crate::node::Node;

/// Most attempts of one write or read.
const MAX_STORE_ATTEMPTS: usize = 4;

/// Delay between two attempts.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest wait until an accepted change is in force on all nodes; the answer
/// then states the rollout reached so far.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between two checks on which nodes a change is in force.
const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Outcome of a compare-and-swap of the manifest, with the revision that the
/// manifest then has.
enum WriteOutcome {
    Accepted(Revision),
    Conflict(Revision),
}

/// Replaces the whole configuration, if it still has the revision that the
/// request is based on.
pub(super) async fn apply(
    node: &Node,
    request: v1::ApplyRequest,
) -> Result<v1::ApplyAnswer, CallError> {
    let config = request.config.unwrap_or_default();
    let current = read_config(node).await?;
    if current.revision.0 != request.base {
        return Ok(conflict_answer(current.revision));
    }
    let changes = manifest::diff(&manifest::config(&current.parts), &config);
    let answer = v1::ApplyAnswer {
        accepted: !request.dry_run,
        revision: current.revision.0,
        changes: changes.clone(),
        ..v1::ApplyAnswer::default()
    };
    if request.dry_run {
        check_sizes(&config)?;
        return Ok(v1::ApplyAnswer {
            detail: "nothing was written".to_owned(),
            ..answer
        });
    }
    match write_config(node, &current, &config, changes).await? {
        WriteOutcome::Accepted(revision) => Ok(accepted_answer(node, revision, answer).await),
        WriteOutcome::Conflict(current_revision) => Ok(conflict_answer(current_revision)),
    }
}

/// Takes a failure domain out of service or brings it back. Conflicts with
/// other writes are retried.
pub(super) async fn set_domain(
    node: &Node,
    request: v1::DomainRequest,
) -> Result<v1::ApplyAnswer, CallError> {
    for _ in 0..MAX_STORE_ATTEMPTS {
        let current = read_config(node).await?;
        let previous = manifest::config(&current.parts);
        let mut config = previous.clone();
        let Some(domain) = config.domains.iter_mut().find(|d| d.name == request.domain) else {
            return Err(refused(format!(
                "no failure domain named {:?}; `heatherrun status` lists them",
                request.domain
            )));
        };
        domain.out = request.out;
        let changes = manifest::diff(&previous, &config);
        let mut answer = v1::ApplyAnswer {
            accepted: !request.dry_run,
            revision: current.revision.0,
            changes: changes.clone(),
            ..v1::ApplyAnswer::default()
        };
        if request.out {
            answer.warnings =
                capacity::domain_out_warnings(&config, &request.domain, &node.view.load());
        }
        if request.dry_run {
            "nothing was written".clone_into(&mut answer.detail);
            return Ok(answer);
        }
        if changes.is_empty() {
            "the failure domain is already in that state".clone_into(&mut answer.detail);
            return Ok(answer);
        }
        match write_config(node, &current, &config, changes).await? {
            WriteOutcome::Accepted(revision) => {
                return Ok(accepted_answer(node, revision, answer).await);
            }
            WriteOutcome::Conflict(_) => tokio::time::sleep(STORE_RETRY_DELAY).await,
        }
    }
    Err(refused(
        "other configuration writes kept conflicting with this one; try again",
    ))
}

/// Returns the accepted changes after revision `from`.
pub(super) async fn history(node: &Node, from: u64) -> Result<v1::HistoryAnswer, CallError> {
    let config = read_config(node).await?;
    let mut answer = v1::HistoryAnswer::default();
    for past in config.manifest.past {
        let revision = match past.revision {
            // The newest change has the revision of the manifest itself, which is
            // not known when it is written.
            Revision(0) => config.revision.0,
            Revision(recorded) => recorded,
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

fn conflict_answer(current_revision: Revision) -> v1::ApplyAnswer {
    v1::ApplyAnswer {
        accepted: false,
        revision: current_revision.0,
        detail: format!(
            "conflict: the configuration is at revision {current_revision}; \
             check `heatherrun diff`, then apply again based on that revision"
        ),
        ..v1::ApplyAnswer::default()
    }
}

/// Announces an accepted write and waits until it is in force on all nodes, at
/// most [`ROLLOUT_TIMEOUT`].
async fn accepted_answer(
    node: &Node,
    revision: Revision,
    answer: v1::ApplyAnswer,
) -> v1::ApplyAnswer {
    log::info!(node = node.info.name.as_str(), revision = revision.0; "config.accepted");
    node.control.announce_revision(revision).await;
    let deadline = node.clock.now() + ROLLOUT_TIMEOUT;
    let mut rollout = status::rollout_status(node, revision).await;
    while rollout.nodes < rollout.total && node.clock.now() < deadline {
        tokio::time::sleep(ROLLOUT_POLL_INTERVAL).await;
        rollout = status::rollout_status(node, revision).await;
    }
    v1::ApplyAnswer {
        revision: revision.0,
        detail: status::describe_rollout(&rollout),
        force: Some(rollout),
        ..answer
    }
}

/// Reads the whole configuration; empty when none was written yet.
async fn read_config(node: &Node) -> Result<StoredConfig, CallError> {
    let mut last_error = StoreError::Unavailable;
    for _ in 0..MAX_STORE_ATTEMPTS {
        let call = StoreCall::Watch {
            prefix: CONFIG_KEY_PREFIX.to_owned(),
            after: Revision(0),
            wait: Duration::ZERO,
        };
        match node.control.call_store(call).await {
            Ok(StoreReply::Changes(found, _)) => {
                let is_manifest = |kv: &KeyValue| kv.key == MANIFEST_KEY && kv.value.is_some();
                let no_config = !found.iter().any(is_manifest);
                let mut keys = ConfigKeys::default();
                keys.add(found);
                if let Some(config) = keys.complete() {
                    return Ok(config);
                }
                if no_config {
                    return Ok(empty_config());
                }
            }
            Ok(_) => {}
            Err(e) => last_error = e,
        }
        tokio::time::sleep(STORE_RETRY_DELAY).await;
    }
    Err(refused(format!("nothing was written: {last_error}")))
}

fn empty_config() -> StoredConfig {
    StoredConfig {
        revision: Revision(0),
        manifest: Manifest::default(),
        parts: Vec::new(),
    }
}

/// Checks that each part fits into one value of the store.
fn check_sizes(config: &v1::TierConfig) -> Result<(), CallError> {
    for (name, value) in manifest::parts(config)? {
        check_size(&name, value.len())?;
    }
    Ok(())
}

fn check_size(name: &str, bytes: usize) -> Result<(), CallError> {
    if bytes <= MAX_VALUE_BYTES {
        return Ok(());
    }
    Err(refused(format!(
        "nothing was written: {name} takes {bytes} bytes, more than the store's limit of {MAX_VALUE_BYTES}; \
         split it into several services"
    )))
}

/// Writes the parts that changed and then the manifest. Afterwards deletes the
/// values that no manifest references.
async fn write_config(
    node: &Node,
    current: &StoredConfig,
    config: &v1::TierConfig,
    summary: Vec<String>,
) -> Result<WriteOutcome, CallError> {
    check_sizes(config)?;
    let id = node.control.write_id();
    let mut new_manifest = Manifest {
        write: id.clone(),
        parts: Vec::new(),
        past: current.manifest.past.clone(),
    };
    new_manifest.record_change(current.revision, summary, node.control.unix_ms());
    let mut new_keys = Vec::new();
    for (name, value) in manifest::parts(config)? {
        let unchanged = current
            .parts
            .iter()
            .any(|p| p.key == name && p.value.as_ref() == Some(&value));
        if unchanged && let Some(part) = current.manifest.part(&name) {
            new_manifest.parts.push(part.clone());
            continue;
        }
        let key = format!("{CONFIG_KEY_PREFIX}{name}/{id}");
        let revision = create_key(node, &key, value).await?;
        new_keys.push((key.clone(), revision));
        new_manifest.parts.push(Part {
            name,
            key,
            revision,
        });
    }
    let outcome = swap_manifest(node, current.revision, &new_manifest).await?;
    match outcome {
        WriteOutcome::Accepted(_) => delete_replaced(node, current, &new_manifest).await,
        WriteOutcome::Conflict(_) => {
            for (key, revision) in new_keys {
                delete_key(node, key, revision).await;
            }
        }
    }
    Ok(outcome)
}

/// Writes a new key. It contains the unique id of the write, so a conflict
/// means that an earlier attempt took effect although its answer was lost.
async fn create_key(node: &Node, key: &str, value: Vec<u8>) -> Result<Revision, CallError> {
    let mut last_error = StoreError::Unavailable;
    for _ in 0..MAX_STORE_ATTEMPTS {
        let call = StoreCall::Swap {
            key: key.to_owned(),
            expect: Revision(0),
            value: Some(value.clone()),
            lease: 0,
        };
        match node.control.call_store(call).await {
            Ok(StoreReply::Swapped(revision) | StoreReply::Conflict(revision)) => {
                return Ok(revision);
            }
            Ok(_) => {}
            Err(e) => last_error = e,
        }
        tokio::time::sleep(STORE_RETRY_DELAY).await;
    }
    Err(refused(format!("not accepted: {last_error}")))
}

/// Replaces the manifest by compare-and-swap. When an answer is lost, the id of
/// the write in the stored manifest shows whether it took effect.
async fn swap_manifest(
    node: &Node,
    base: Revision,
    new_manifest: &Manifest,
) -> Result<WriteOutcome, CallError> {
    let value = serde_json::to_vec(new_manifest).map_err(refused)?;
    check_size("the list of services", value.len())?;
    // Whether an attempt may have taken effect without an answer.
    let mut maybe_written = false;
    for _ in 0..MAX_STORE_ATTEMPTS {
        let call = StoreCall::Swap {
            key: MANIFEST_KEY.to_owned(),
            expect: base,
            value: Some(value.clone()),
            lease: 0,
        };
        match node.control.call_store(call).await {
            Ok(StoreReply::Swapped(revision)) => return Ok(WriteOutcome::Accepted(revision)),
            Ok(StoreReply::Conflict(current_revision)) if !maybe_written => {
                return Ok(WriteOutcome::Conflict(current_revision));
            }
            Ok(StoreReply::Conflict(_)) => {
                if let Some(outcome) = resolve_outcome(node, new_manifest).await {
                    return Ok(outcome);
                }
            }
            Ok(_) | Err(StoreError::Unavailable) => {}
            Err(StoreError::NoAnswer) => {
                maybe_written = true;
                if let Some(outcome) = resolve_outcome(node, new_manifest).await {
                    return Ok(outcome);
                }
            }
            Err(e) => return Err(refused(e)),
        }
        tokio::time::sleep(STORE_RETRY_DELAY).await;
    }
    if !maybe_written {
        return Err(refused(format!(
            "not accepted: {}",
            StoreError::Unavailable
        )));
    }
    Err(refused(format!(
        "unknown whether write {} was accepted because the store did not answer; \
         check `heatherrun history` before applying again",
        new_manifest.write
    )))
}

/// Reads the outcome of a write whose answer was lost; none when it has not
/// taken effect yet or the store does not answer.
async fn resolve_outcome(node: &Node, new_manifest: &Manifest) -> Option<WriteOutcome> {
    for _ in 0..MAX_STORE_ATTEMPTS {
        let call = StoreCall::Get {
            key: MANIFEST_KEY.to_owned(),
        };
        if let Ok(StoreReply::Value(found)) = node.control.call_store(call).await {
            let found = found?;
            let stored: Manifest = serde_json::from_slice(found.value.as_deref()?).ok()?;
            if stored.write == new_manifest.write {
                return Some(WriteOutcome::Accepted(found.revision));
            }
            let own_write = stored.past.iter().find(|p| p.write == new_manifest.write);
            if let Some(own_write) = own_write {
                return Some(WriteOutcome::Accepted(own_write.revision));
            }
            let base = new_manifest.past.iter().rev().nth(1).map(|p| p.revision);
            let replaced = base.unwrap_or_default() != found.revision;
            return replaced.then_some(WriteOutcome::Conflict(found.revision));
        }
        tokio::time::sleep(STORE_RETRY_DELAY).await;
    }
    None
}

/// Deletes values that the new manifest no longer references.
async fn delete_replaced(node: &Node, current: &StoredConfig, new_manifest: &Manifest) {
    for part in &current.manifest.parts {
        if !new_manifest.parts.contains(part) {
            delete_key(node, part.key.clone(), part.revision).await;
        }
    }
}

/// Deletes a key if it still has the revision `expect`. A failure is ignored:
/// the value is unused then.
async fn delete_key(node: &Node, key: String, expect: Revision) {
    let call = StoreCall::Swap {
        key,
        expect,
        value: None,
        lease: 0,
    };
    let _ = node.control.call_store(call).await;
}
