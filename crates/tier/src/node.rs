//! One node: its view, its entry, its owner, and its control side.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use heatherrun_control::rights::Rights;
use heatherrun_kernel::control::{Answer, Ask};
use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::port::{Peers, Platform, Targets};
use heatherrun_kernel::{Clock, Revision, TargetId, Time, ViewCell};
use heatherrun_schema::v1;

use crate::addresses::{addresses, addresses_of};
use crate::control::{Control, Parts};
use crate::entry::Entry;
use crate::owner::{Owner, Right, RightFn};

/// Time between two looks at whether a node has settled or stopped.
const LOOK: Duration = Duration::from_millis(20);

/// Longest time to settle.
const SETTLE: Duration = Duration::from_secs(20);

/// Time that a caller may take to come by an address it kept.
const GRACE: Duration = Duration::from_secs(1);

/// One node.
pub struct Node {
    /// Names and addresses of this node.
    pub info: NodeInfo,
    /// Clock.
    pub clock: Clock,
    /// View that the node acts on.
    pub view: Arc<ViewCell>,
    /// Entry.
    pub entry: Arc<Entry>,
    /// Owner.
    pub owner: Arc<Owner>,
    /// Control side.
    pub control: Arc<Control>,
    /// Platform.
    pub platform: Platform,
    /// Seconds that callers may keep an address answer.
    pub keep_secs: u32,
}

impl Node {
    /// Node that reaches everything outside through the given ports.
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
        let right = right_fn(Arc::clone(&rights));
        let owner = Owner::new(clock, Arc::clone(&view), targets, right);
        let entry = Entry::new(
            clock,
            info.id,
            Arc::clone(&view),
            peers.clone(),
            Arc::clone(&owner),
            info.started,
        );
        let (loaded, kept) = (Arc::clone(&entry), Arc::clone(&entry));
        let control = Control::new(Parts {
            info: info.clone(),
            clock,
            view: Arc::clone(&view),
            rights,
            owner: Arc::clone(&owner),
            load: Arc::new(move || loaded.load().1),
            export: Arc::new(move |unit| kept.once().export(unit)),
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

    /// Answers a control message of a peer.
    #[must_use]
    pub fn answer(&self, message: &Ask) -> Answer {
        match message {
            Ask::Claim(claim) => Answer::Claim(self.entry.once().claim(claim)),
            Ask::Settle(settle) => {
                self.entry.once().settle(settle);
                Answer::Taken
            }
            Ask::Suspect(told) => {
                self.owner.suspects().note(told);
                Answer::Taken
            }
            Ask::Records(records) => {
                self.entry.once().import(records.clone());
                Answer::Taken
            }
            _ => self.control.answer(message),
        }
    }

    /// Runs the node's control side, for ever.
    pub async fn follow(&self) {
        self.control.run().await;
    }

    /// Waits until the configuration at `revision` or newer is in force here
    /// and each target has an owner; returns the revision in force.
    pub async fn refresh(&self, revision: Revision) -> Revision {
        let end = self.clock.now() + SETTLE;
        while self.clock.now() < end {
            let view = self.view.load_full();
            let owned = view.targets.keys().all(|t| view.owners.contains_key(t));
            if owned && !view.targets.is_empty() && view.revision >= revision {
                return view.revision;
            }
            tokio::time::sleep(LOOK).await;
        }
        self.view.load().revision
    }

    /// Addresses of the nodes that serve a service, or of any when there is
    /// no such service.
    #[must_use]
    pub fn addresses(&self, service: &str) -> v1::AddressesAnswer {
        let view = self.view.load();
        let Some(service) = view.service(service) else {
            return addresses(&view, self.keep_secs);
        };
        let doubted = self.control.doubted().then_some(self.info.id);
        addresses_of(&view, service, self.keep_secs, doubted)
    }

    /// Starts the planned stop: the node is not offered any more and hands
    /// its units over, but goes on serving. See [`Self::stopped`].
    pub fn begin_stop(&self) {
        self.control.begin_stop();
    }

    /// Whether the planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.control.is_leaving()
    }

    /// Waits until a planned stop that has begun can end without cutting a
    /// request, or until `limit` has passed; returns false in that case. Until
    /// then the node must be served all its messages. Callers may come for as
    /// long as they keep an address.
    pub async fn stopped(&self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.finish()).await.is_ok()
    }

    async fn finish(&self) {
        while !self.is_stopping() {
            tokio::time::sleep(LOOK).await;
        }
        let keep = Duration::from_secs(u64::from(self.keep_secs));
        let until = self.clock.now() + keep + GRACE;
        self.control.hand_over().await;
        self.clock.sleep_until(until).await;
        while self.entry.load().0 > 0 || self.owner.busy() > 0 {
            tokio::time::sleep(LOOK).await;
        }
    }
}

/// Looks rights up without a lock.
fn right_fn(rights: Arc<ArcSwap<Rights>>) -> RightFn {
    Arc::new(move |unit: TargetId, now: Time| {
        let held = rights.load().at(unit, now)?;
        Some(Right {
            epoch: held.epoch,
            share: held.share,
            since: held.since,
        })
    })
}
