//! One node: its view, its entry, its owner, and its control side.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use heatherrun_control::rights::Rights;
use heatherrun_kernel::control::{ControlAnswer, ControlRequest};
use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::port::{Peers, Platform, Targets};
use heatherrun_kernel::{Clock, Revision, TargetId, Time, ViewCell};
use heatherrun_schema::v1;

use crate::addresses::{addresses, service_addresses};
use crate::control::{Control, Parts};
use crate::entry::Entry;
use crate::owner::{Owner, Right, RightFn};

/// Interval at which a node is polled for a revision in force or a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for a revision to be in force with an owner for each target.
const REFRESH_TIMEOUT: Duration = Duration::from_secs(20);

/// Time a caller may take to send a request to an address it cached.
const CALLER_GRACE: Duration = Duration::from_secs(1);

/// One node.
pub struct Node {
    /// Name, failure domain and addresses of this node.
    pub info: NodeInfo,
    /// Clock.
    pub clock: Clock,
    /// Current view of the tier.
    pub view: Arc<ViewCell>,
    /// Handles callers' requests.
    pub entry: Arc<Entry>,
    /// Sends calls to the targets that this node owns.
    pub owner: Arc<Owner>,
    /// Membership, ownership and configuration.
    pub control: Arc<Control>,
    /// Port to the platform: its store and its list of VMs.
    pub platform: Platform,
    /// Seconds for which callers may cache an address answer.
    pub keep_secs: u32,
}

impl Node {
    /// Node that reaches targets, peers and platform through the given ports.
    #[must_use]
    pub fn new(
        info: NodeInfo,
        clock: Clock,
        targets: Targets,
        peers: Peers,
        platform: Platform,
        keep_secs: u32,
    ) -> Arc<Self> {
        let view = Arc::new(ViewCell::default());
        let rights = Arc::new(ArcSwap::from_pointee(Rights::default()));
        let right_fn = make_right_fn(Arc::clone(&rights));
        let owner = Owner::new(clock, Arc::clone(&view), targets, right_fn);
        let entry = Entry::new(
            clock,
            info.id,
            Arc::clone(&view),
            peers.clone(),
            Arc::clone(&owner),
            info.started,
        );
        let (load_entry, export_entry) = (Arc::clone(&entry), Arc::clone(&entry));
        let control = Control::new(Parts {
            info: info.clone(),
            clock,
            view: Arc::clone(&view),
            rights,
            owner: Arc::clone(&owner),
            load: Arc::new(move || load_entry.load().1),
            export: Arc::new(move |unit| export_entry.once().export(unit)),
            peers,
            platform: platform.clone(),
        });
        Arc::new(Self {
            info,
            clock,
            view,
            entry,
            owner,
            control,
            platform,
            keep_secs,
        })
    }

    /// Handles a control message from a peer.
    #[must_use]
    pub fn answer(&self, message: &ControlRequest) -> ControlAnswer {
        match message {
            ControlRequest::Claim(claim) => ControlAnswer::Claim(self.entry.once().claim(claim)),
            ControlRequest::ReportOutcome(report) => {
                self.entry.once().record_outcome(report);
                ControlAnswer::Accepted
            }
            ControlRequest::Suspect(suspicions) => {
                self.owner.suspects().note(suspicions);
                ControlAnswer::Accepted
            }
            ControlRequest::Records(records) => {
                self.entry.once().import(records.clone());
                ControlAnswer::Accepted
            }
            _ => self.control.answer(message),
        }
    }

    /// Runs the node's control side; never returns.
    pub async fn follow(&self) {
        self.control.run().await;
    }

    /// Waits until the configuration at `revision` or newer is in force on this
    /// node and each target has an owner, or until a timeout; returns the
    /// revision in force.
    pub async fn refresh(&self, revision: Revision) -> Revision {
        let deadline = self.clock.now() + REFRESH_TIMEOUT;
        while self.clock.now() < deadline {
            let view = self.view.load_full();
            let all_owned = view.targets.keys().all(|t| view.owners.contains_key(t));
            if all_owned && !view.targets.is_empty() && view.revision >= revision {
                return view.revision;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.view.load().revision
    }

    /// Addresses of the nodes that serve a service, or of all nodes if there is
    /// no such service.
    #[must_use]
    pub fn addresses(&self, service: &str) -> v1::AddressesAnswer {
        let view = self.view.load();
        let Some(service) = view.service(service) else {
            return addresses(&view, self.keep_secs);
        };
        let unconfirmed = self.control.doubted().then_some(self.info.id);
        service_addresses(&view, service, self.keep_secs, unconfirmed)
    }

    /// Begins a planned stop: the node is no longer offered to callers and hands
    /// over its units (targets and once-only partitions), but still serves
    /// requests. See [`Self::stopped`].
    pub fn begin_stop(&self) {
        self.control.begin_stop();
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.control.is_leaving()
    }

    /// Waits for a planned stop until the process can end without breaking off a
    /// request. Returns false if `limit` passes first. Until then the node must
    /// still receive all its messages, since callers use its address for as
    /// long as they cache it.
    pub async fn stopped(&self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.finish_stop())
            .await
            .is_ok()
    }

    async fn finish_stop(&self) {
        while !self.is_stopping() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let cache_time = Duration::from_secs(u64::from(self.keep_secs));
        let serve_until = self.clock.now() + cache_time + CALLER_GRACE;
        self.control.hand_over().await;
        self.clock.sleep_until(serve_until).await;
        while self.entry.load().0 > 0 || self.owner.open_batch_count() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Looks up this node's rights without taking a lock.
fn make_right_fn(rights: Arc<ArcSwap<Rights>>) -> RightFn {
    Arc::new(move |unit: TargetId, now: Time| {
        let held = rights.load().held_at(unit, now)?;
        Some(Right {
            epoch: held.epoch,
            share: held.share,
            since: held.since,
        })
    })
}
