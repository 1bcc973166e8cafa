//! The planned stop: not offered any more, ownership handed over, work in
//! flight finished.

use std::sync::Arc;
use std::time::Duration;

use heatherrun_kernel::Time;

use super::Control;

/// Time between two looks at what is left to do.
const LOOK: Duration = Duration::from_millis(50);

/// Longest wait for a successor to be heard.
const HANDOVER: Duration = Duration::from_secs(5);

impl Control {
    /// Starts the planned stop. The node goes on serving.
    pub fn begin_stop(&self) {
        let mut state = self.lock();
        if state.leaving {
            return;
        }
        state.leaving = true;
        drop(state);
        log::info!(node = self.info.name.as_str(); "stop.begun");
        self.beat.notify_one();
    }

    /// Whether the planned stop has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.lock().leaving
    }

    /// Waits until every unit is handed over, then gives leadership back.
    pub(crate) async fn hand_over(self: &Arc<Self>) {
        let start = self.clock.now();
        loop {
            let now = self.clock.now();
            if self.handed_over(now, start) {
                break;
            }
            tokio::time::sleep(LOOK).await;
        }
        self.resign().await;
    }

    fn handed_over(&self, now: Time, start: Time) -> bool {
        if self.rights.load().told(now).is_empty() {
            return true;
        }
        let state = self.lock();
        let me = self.info.id;
        let nodes = state.replica.view.nodes.values();
        let live = |m: &heatherrun_kernel::view::Member| {
            m.info.domain == self.info.domain
                && m.info.id != me
                && m.standing == heatherrun_kernel::view::Standing::Live
        };
        let alone = !nodes.into_iter().any(live);
        alone && now.since(start) >= HANDOVER
    }
}
