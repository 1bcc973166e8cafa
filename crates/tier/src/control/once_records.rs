//! Transfer of once-only records when their partition moves to another node.

use std::sync::Arc;

use heatherrun_control::rights::Rights;
use heatherrun_kernel::control::{ControlRequest, Grant};
use heatherrun_kernel::message::OnceRecords;

use super::{Control, ControlState};

/// Most partitions whose records are kept until their next holder is known;
/// the oldest are dropped first.
const MAX_KEPT_RECORDS: usize = 256;

impl Control {
    /// Closes the partitions that `grants` no longer contains and keeps their
    /// records, while this node still holds the right to them.
    pub(super) fn close_moved_records(
        &self,
        state: &mut ControlState,
        rights: &Rights,
        grants: &[Grant],
    ) {
        for (unit, held) in &rights.units {
            let still_granted = grants.iter().any(|g| g.unit == *unit);
            let is_target = state.replica.view.targets.contains_key(unit);
            if still_granted || is_target || !held.exclusive {
                continue;
            }
            state.once_records.extend((self.export_records)(*unit));
        }
        let excess = state.once_records.len().saturating_sub(MAX_KEPT_RECORDS);
        state.once_records.drain(..excess);
    }

    /// Sends the kept records to the next holder of each partition, as far as
    /// it is known.
    pub(super) fn forward_records(&self, state: &mut ControlState) {
        let view = &state.replica.view;
        let mut kept = Vec::new();
        for records in std::mem::take(&mut state.once_records) {
            let owner = view.owners.get(&records.unit);
            let next_owner = owner.filter(|o| o.epoch > records.epoch);
            let Some(next_owner) = next_owner else {
                kept.push(records);
                continue;
            };
            let Some(member) = view.nodes.get(&next_owner.node) else {
                continue;
            };
            self.send_records(member.info.clone(), records);
        }
        state.once_records = kept;
    }

    /// Sends records in the background; a failure is logged and not retried.
    fn send_records(&self, to: heatherrun_kernel::message::NodeInfo, records: OnceRecords) {
        let control = Arc::clone(&self.peers.control);
        tokio::spawn(async move {
            let unit = records.unit;
            let sent = control((to.peers, ControlRequest::Records(records))).await;
            if sent.is_err() {
                log::warn!(node = to.name.as_str(), unit = unit.to_string().as_str(); "once.records_lost");
            }
        });
    }
}
