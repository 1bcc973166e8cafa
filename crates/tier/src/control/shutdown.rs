//! Drain of a node before a planned stop: callers are no longer sent to it and
//! its units move to other nodes, while requests in flight finish.

use std::sync::Arc;
use std::time::Duration;

use heatherrun_kernel::Time;

use super::Control;

/// Interval between two checks whether all units are handed over.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long to wait for another live node of the failure domain when there is
/// none to take over the units.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(5);

impl Control {
    /// Starts draining; the node goes on serving requests.
    pub fn begin_stop(&self) {
        let mut state = self.lock();
        if state.leaving {
            return;
        }
        state.leaving = true;
        drop(state);
        log::info!(node = self.node_info.name.as_str(); "stop.begun");
        self.heartbeat_wake.notify_one();
    }

    /// Whether the node is draining.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.lock().leaving
    }

    /// Waits until every unit is handed over, then gives up leadership.
    pub(crate) async fn hand_over(self: &Arc<Self>) {
        let start = self.clock.now();
        loop {
            let now = self.clock.now();
            if self.is_handed_over(now, start) {
                break;
            }
            tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
        }
        self.resign_leadership().await;
    }

    /// Whether no units are held any more, or [`SUCCESSOR_TIMEOUT`] has passed
    /// and the failure domain has no other live node to take them.
    fn is_handed_over(&self, now: Time, start: Time) -> bool {
        if self.rights.load().reported_grants(now).is_empty() {
            return true;
        }
        let state = self.lock();
        let local_id = self.node_info.id;
        let nodes = state.replica.view.nodes.values();
        let is_successor = |m: &heatherrun_kernel::view::Member| {
            m.info.domain == self.node_info.domain
                && m.info.id != local_id
                && m.standing == heatherrun_kernel::view::Availability::Live
        };
        let no_successor = !nodes.into_iter().any(is_successor);
        no_successor && now.since(start) >= SUCCESSOR_TIMEOUT
    }
}
