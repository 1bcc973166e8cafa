//! One node: its view, its entry, its owner, and the loop that keeps the
//! view in step with the platform.

use std::{sync::Arc, time::Duration};

use heatherrun_control::rendezvous;
use heatherrun_kernel::control::{Answer, Ask};
use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::port::{KeyValue, Peers, Platform, StoreCall, StoreReply, Targets};
use heatherrun_kernel::port::{Vm, VmState};
use heatherrun_kernel::view::{Member, Owner as OwnerOf, Standing};
use heatherrun_kernel::{Clock, DomainId, Epoch, NodeId, Revision, TargetId, View, ViewCell};
use heatherrun_schema::v1;

use crate::entry::Entry;
use crate::owner::{Owner, Right};

/// Prefix of all keys of the configuration.
pub const CONFIG: &str = "config/";

/// Key of the failure domains.
pub const DOMAINS: &str = "config/domains";

/// Prefix of the keys of services.
pub const SERVICES: &str = "config/service/";

/// Time between two looks at the platform.
const PERIOD: Duration = Duration::from_millis(500);

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
        let rights = Arc::clone(&view);
        let me = info.id;
        let right = move |target: TargetId, _now| {
            let view = rights.load();
            let owner = view.owners.get(&target)?;
            let right = Right {
                epoch: owner.epoch,
                share: 100,
                since: 0,
            };
            (owner.node == me).then_some(right)
        };
        let owner = Owner::new(clock, Arc::clone(&view), targets, Arc::new(right));
        let entry = Entry::new(
            clock,
            me,
            Arc::clone(&view),
            peers,
            Arc::clone(&owner),
            info.started,
        );
        Arc::new(Self {
            info,
            clock,
            view,
            entry,
            owner,
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
            Ask::Beat(_) => {
                log::debug!(node = self.info.name.as_str(), message:?; "control.refused");
                Answer::Refused(None)
            }
        }
    }

    /// Keeps the view in step with the platform, for ever.
    pub async fn follow(&self) {
        let mut seen = Revision(0);
        loop {
            seen = self.refresh(seen).await;
            tokio::time::sleep(PERIOD).await;
        }
    }

    /// Takes what changed after `seen`; returns the newest revision taken.
    pub async fn refresh(&self, seen: Revision) -> Revision {
        let watch = StoreCall::Watch {
            prefix: CONFIG.to_owned(),
            after: seen,
            wait: Duration::ZERO,
        };
        let mut newest = seen;
        let mut changes = Vec::new();
        if let Ok(StoreReply::Changes(found, revision)) = (self.platform.call)(watch).await {
            newest = revision;
            changes = found;
        }
        let vms = match (self.platform.call)(StoreCall::Vms).await {
            Ok(StoreReply::Vms(vms)) => Some(vms),
            _ => None,
        };
        let now = self.clock.now();
        self.view.update(|view| {
            for change in &changes {
                take(view, change);
            }
            if let Some(vms) = &vms {
                set_members(view, vms);
                view.fresh = now;
            }
            set_owners(view);
        });
        newest
    }
}

fn take(view: &mut View, change: &KeyValue) {
    let value = change.value.as_deref().unwrap_or_default();
    if change.key == DOMAINS {
        if let Ok(config) = serde_json::from_slice::<v1::TierConfig>(value) {
            view.set_domains(&config.domains, change.revision);
        }
    } else if change.key.starts_with(SERVICES)
        && let Ok(service) = serde_json::from_slice::<v1::Service>(value)
    {
        view.add_service(&service, change.revision);
    }
}

fn set_members(view: &mut View, vms: &[Vm]) {
    view.nodes.clear();
    for vm in vms {
        let info = NodeInfo {
            id: NodeId::of(&vm.name),
            name: vm.name.clone(),
            domain: DomainId::of(&vm.domain),
            peers: vm.peers,
            callers: vm.callers,
            started: 0,
        };
        let standing = match vm.state {
            VmState::Live => Standing::Live,
            VmState::Leaving => Standing::Leaving,
        };
        let member = Member {
            info,
            standing,
            load: 0,
        };
        view.nodes.insert(member.info.id, member);
    }
}

/// Gives each target to a node of its own failure domain, or to any node
/// when the domain has none.
fn set_owners(view: &mut View) {
    view.owners.clear();
    for target in view.targets.values() {
        let live = |m: &&Member| m.standing == Standing::Live;
        let near = |m: &&Member| m.info.domain == target.domain;
        let nodes = || view.nodes.values().filter(live);
        let chosen = rendezvous::choose(target.id, nodes().filter(near).map(|m| m.info.id))
            .or_else(|| rendezvous::choose(target.id, nodes().map(|m| m.info.id)));
        if let Some(node) = chosen {
            let owner = OwnerOf {
                node,
                epoch: Epoch(1),
            };
            view.owners.insert(target.id, owner);
        }
    }
}
