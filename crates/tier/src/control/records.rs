//! Hand-over of once-only records with their partition.

use std::sync::Arc;

use heatherrun_control::rights::Rights;
use heatherrun_kernel::control::{Ask, Grant};
use heatherrun_kernel::message::OnceRecords;

use super::{Control, State};

/// Records kept for next holders that are not known yet, at the most.
const KEPT: usize = 256;

impl Control {
    /// Closes the records of partitions that `grants` takes away, while the
    /// right to them still stands.
    pub(super) fn close_records(&self, state: &mut State, rights: &Rights, grants: &[Grant]) {
        for (unit, held) in &rights.units {
            let stays = grants.iter().any(|g| g.unit == *unit);
            let is_target = state.replica.view.targets.contains_key(unit);
            if stays || is_target || !held.exclusive {
                continue;
            }
            state.records.extend((self.export)(*unit));
        }
        let extra = state.records.len().saturating_sub(KEPT);
        state.records.drain(..extra);
    }

    /// Sends records to the holders that came after this node.
    pub(super) fn hand_on(&self, state: &mut State) {
        let view = &state.replica.view;
        let mut kept = Vec::new();
        for records in std::mem::take(&mut state.records) {
            let owner = view.owners.get(&records.unit);
            let next = owner.filter(|o| o.epoch > records.epoch);
            let Some(next) = next else {
                kept.push(records);
                continue;
            };
            let Some(member) = view.nodes.get(&next.node) else {
                continue;
            };
            self.send_records(member.info.clone(), records);
        }
        state.records = kept;
    }

    fn send_records(&self, to: heatherrun_kernel::message::NodeInfo, records: OnceRecords) {
        let control = Arc::clone(&self.peers.control);
        tokio::spawn(async move {
            let unit = records.unit;
            let sent = control((to.peers, Ask::Records(records))).await;
            if sent.is_err() {
                log::warn!(node = to.name.as_str(), unit = unit.to_string().as_str(); "once.records_lost");
            }
        });
    }
}
