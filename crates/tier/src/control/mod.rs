//! Drivers of the control decisions: heartbeats, leadership, the leader's
//! watch of the store, and the exchange between leaders.
//!
//! Every node beats to the leader of its failure domain ([`beats`]). A node
//! that hears none takes part in an election ([`election`]). The leader alone
//! reads the store ([`watch`]), asks the other leaders ([`pulls`]) and leads
//! failure domains without nodes ([`guests`]).
//! [`stop`] is the planned stop.

pub mod beats;
pub mod election;
pub mod guests;
pub mod pulls;
pub mod records;
pub mod stop;
pub mod watch;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use heatherrun_control::desk::{self, Desk, Scene};
use heatherrun_control::grants;
use heatherrun_control::lead::Lead;
use heatherrun_control::manifest::Pool;
use heatherrun_control::replica::{self, Change, Replica, Scope};
use heatherrun_control::rights::Rights;
use heatherrun_kernel::control::{
    Answer, Ask, Beat, ForceNote, Item, MemberNote, News, Pull, PullAnswer,
};
use heatherrun_kernel::message::{NodeInfo, OnceRecords};
use heatherrun_kernel::port::{Peers, Platform, StoreCall, StoreError, StoreReply, Vm, VmState};
use heatherrun_kernel::view::Standing;
use heatherrun_kernel::{Clock, DomainId, Epoch, NodeId, Revision, TargetId, Time, ViewCell};
use tokio::sync::Notify;

use crate::owner::Owner;

/// A leader that was not heard for two periods and this time is silent.
const SILENCE: Duration = Duration::from_millis(500);

/// A view that was not proved fresh for this long is doubted.
const FRESH: Duration = Duration::from_secs(15);

/// Reads the load of this node in per cent.
pub type LoadFn = Arc<dyn Fn() -> u8 + Send + Sync>;

/// Closes the records of a partition and returns them.
pub type ExportFn = Arc<dyn Fn(TargetId) -> Option<OnceRecords> + Send + Sync>;

/// The leader as this node knows it.
#[derive(Clone, Debug)]
struct Link {
    info: NodeInfo,
    term: Epoch,
    seen: u64,
}

/// Another failure domain's leader as this leader knows it.
#[derive(Clone, Debug)]
struct Remote {
    info: NodeInfo,
    term: Epoch,
    seen: u64,
    heard: Time,
}

struct State {
    lead: Lead,
    link: Option<Link>,
    heard: Time,
    ack: Time,
    period: Duration,
    tell: bool,
    leaving: bool,
    replica: Replica,
    desk: Option<Desk>,
    pool: Pool,
    remotes: BTreeMap<DomainId, Remote>,
    listed: Vec<Vm>,
    /// Records of partitions that moved away, for their next holders.
    records: Vec<OnceRecords>,
    /// When the store last answered this node.
    stored: Time,
    /// When the store last failed this node.
    failed: Option<Time>,
}

/// The control side of one node.
pub struct Control {
    info: NodeInfo,
    clock: Clock,
    view: Arc<ViewCell>,
    rights: Arc<ArcSwap<Rights>>,
    owner: Arc<Owner>,
    load: LoadFn,
    export: ExportFn,
    peers: Peers,
    platform: Platform,
    state: Mutex<State>,
    fresh: AtomicU64,
    writes: AtomicU64,
    /// Wakes the beats.
    beat: Notify,
    /// Wakes the election.
    elect: Notify,
    /// Wakes the leader's work.
    work: Notify,
    /// Wakes the leader's reading of the store.
    read: Notify,
}

/// What the control side needs of a node.
pub struct Parts {
    /// Names and addresses of this node.
    pub info: NodeInfo,
    /// Clock.
    pub clock: Clock,
    /// View that the node acts on.
    pub view: Arc<ViewCell>,
    /// What the node holds.
    pub rights: Arc<ArcSwap<Rights>>,
    /// Owner.
    pub owner: Arc<Owner>,
    /// Load of the node.
    pub load: LoadFn,
    /// Takes the records of a partition that moves away.
    pub export: ExportFn,
    /// Peers.
    pub peers: Peers,
    /// Platform.
    pub platform: Platform,
}

impl Control {
    /// Control side that knows nothing yet.
    #[must_use]
    pub fn new(parts: Parts) -> Arc<Self> {
        let state = State {
            lead: Lead::new(parts.info.id),
            link: None,
            heard: Time(0),
            ack: Time(0),
            period: desk::period(1),
            tell: true,
            leaving: false,
            replica: Replica::default(),
            desk: None,
            pool: Pool::default(),
            remotes: BTreeMap::new(),
            listed: Vec::new(),
            records: Vec::new(),
            stored: Time(0),
            failed: None,
        };
        Arc::new(Self {
            info: parts.info,
            clock: parts.clock,
            view: parts.view,
            rights: parts.rights,
            owner: parts.owner,
            load: parts.load,
            export: parts.export,
            peers: parts.peers,
            platform: parts.platform,
            state: Mutex::new(state),
            fresh: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            beat: Notify::new(),
            elect: Notify::new(),
            work: Notify::new(),
            read: Notify::new(),
        })
    }

    /// Runs the node's control side for ever.
    pub async fn run(self: &Arc<Self>) {
        self.list_vms().await;
        tokio::join!(
            self.run_election(),
            self.run_beats(),
            self.run_work(),
            self.run_watch(),
            self.run_list(),
            self.run_pulls(),
            self.run_guests(),
        );
    }

    /// Answers a control message of a peer, as far as this side serves it.
    #[must_use]
    pub fn answer(&self, message: &Ask) -> Answer {
        match message {
            Ask::Beat(beat) => self.answer_beat(beat),
            Ask::Pull(pull) => Answer::Pull(self.answer_pull(pull)),
            Ask::Nudge(_) => {
                self.beat.notify_one();
                self.read.notify_one();
                Answer::Taken
            }
            Ask::Drain => {
                self.begin_stop();
                Answer::Taken
            }
            Ask::Force => Answer::Force(self.lock().notes()),
            _ => Answer::Refused(None),
        }
    }

    fn answer_beat(&self, beat: &Beat) -> Answer {
        let mut state = self.lock();
        let now = self.clock.now();
        state.lead.check(now);
        let tenure = state.lead.tenure();
        let age = now.since(state.stored);
        let head = state.replica.head();
        let touch = state.touches(&self.info, now);
        let State { desk, link, .. } = &mut *state;
        let (Some(tenure), Some(desk)) = (tenure, desk) else {
            let hint = link.as_ref().map(|l| l.info.id);
            return Answer::Refused(hint.filter(|id| *id != self.info.id));
        };
        let scene = Scene {
            now,
            me: self.info.id,
            tenure: &tenure,
            age,
            touch,
        };
        let answer = desk.on_beat(&scene, beat);
        if beat.revision > head {
            log::info!(node = beat.from.to_string().as_str(), revision = beat.revision.0; "config.peer_newer");
            self.read.notify_one();
        }
        self.tick_desk(&mut state, now);
        Answer::Beat(answer)
    }

    fn answer_pull(&self, pull: &Pull) -> PullAnswer {
        let state = self.lock();
        let now = self.clock.now();
        let leads = state.lead.tenure().is_some();
        let level = pull.term == Epoch(0) && pull.seen == state.replica.head().0;
        if leads && let Some(desk) = &state.desk {
            let sender = state.replica.view.nodes.get(&pull.from);
            let domain = sender.map_or(self.info.domain, |m| m.info.domain);
            let news = if level {
                News::default()
            } else {
                desk.on_pull(domain, pull.term, pull.seen)
            };
            return PullAnswer {
                leader: Some(self.info.clone()),
                term: desk.term(),
                news,
            };
        }
        let heard = now.since(state.heard) < state.silence();
        let link = state.link.as_ref().filter(|_| heard);
        let items = if level {
            Vec::new()
        } else {
            replica::items(&state.replica)
        };
        PullAnswer {
            leader: link.map(|l| l.info.clone()),
            term: Epoch(0),
            news: News {
                items,
                more: true,
                ..News::default()
            },
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this node leads its failure domain.
    #[must_use]
    pub fn leads(&self) -> bool {
        let state = self.lock();
        state.desk.is_some() && state.lead.tenure().is_some()
    }

    /// True while this node cannot prove its view fresh.
    #[must_use]
    pub fn doubted(&self) -> bool {
        self.age() >= FRESH
    }

    /// Time since the view was last proved fresh.
    #[must_use]
    pub fn age(&self) -> Duration {
        let fresh = Time(self.fresh.load(Ordering::Relaxed));
        self.clock.now().since(fresh)
    }

    fn prove_fresh(&self, at: Time) {
        self.fresh.fetch_max(at.0, Ordering::Relaxed);
    }

    /// How far the configuration is in force, for each failure domain. In a
    /// large tier only leaders are told, so a member asks its own.
    pub async fn force(&self) -> Vec<ForceNote> {
        let (own, leader) = {
            let state = self.lock();
            let leader = state.link.as_ref().map(|link| link.info.clone());
            (state.notes(), leader)
        };
        let Some(leader) = leader.filter(|l| l.id != self.info.id) else {
            return own;
        };
        match self.ask(&leader, Ask::Force).await {
            Some(Answer::Force(notes)) => notes,
            _ => own,
        }
    }

    /// Services in force, as declared.
    #[must_use]
    pub fn services(&self) -> Vec<heatherrun_schema::v1::Service> {
        let state = self.lock();
        heatherrun_control::manifest::config(state.replica.config.values()).services
    }

    /// Unix time in milliseconds, counted on the runtime's clock.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.info.started + self.clock.now().0 / 1_000
    }

    /// Name of a write of the configuration that no other one has.
    #[must_use]
    pub fn write_id(&self) -> String {
        let count = self.writes.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{count:x}", self.info.id, self.info.started)
    }

    /// Tells the leader that the configuration changed, so that it reads the
    /// store at once.
    pub async fn hurry(&self, revision: Revision) {
        self.read.notify_one();
        let link = self.lock().link.as_ref().map(|l| l.info.clone());
        if let Some(leader) = link.filter(|l| l.id != self.info.id) {
            self.ask(&leader, Ask::Nudge(revision)).await;
        }
    }

    /// Starts the planned stop of another node.
    pub async fn drain(&self, node: &NodeInfo) -> bool {
        matches!(self.ask(node, Ask::Drain).await, Some(Answer::Taken))
    }

    /// Makes one call to the platform and notes whether it answers.
    pub(crate) async fn store(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        let counts = !matches!(call, StoreCall::Vms);
        let reply = (self.platform.call)(call).await;
        if counts {
            let now = self.clock.now();
            let mut state = self.lock();
            match &reply {
                Ok(_) => {
                    state.stored = now;
                    state.failed = None;
                }
                Err(_) => state.failed = Some(now),
            }
        }
        reply
    }

    /// Takes news, tells them on when leading, and makes the view of them.
    /// Returns true when some were lost and must be sent again.
    fn take_news(&self, state: &mut State, news: News, scope: Scope) -> bool {
        let change = state.replica.take(news, scope);
        let lost = change.lost;
        self.spread(state, change);
        lost
    }

    fn spread(&self, state: &mut State, change: Change) {
        if change.is_empty() {
            return;
        }
        if let Some(head) = change.head {
            log::info!(node = self.info.name.as_str(), revision = head.0; "config.in_force");
        }
        let adopted = change.head.is_some();
        let replans = change.head.is_some() || changes_nodes(&change.items);
        self.publish(state);
        let now = self.clock.now();
        let State { desk, replica, .. } = state;
        if let Some(desk) = desk {
            desk.publish(change.into_items());
            if replans {
                desk.plan(now, replica);
            }
            self.work.notify_one();
        }
        if adopted {
            self.beat.notify_one();
        }
        self.hand_on(state);
    }

    fn publish(&self, state: &State) {
        let fresh = Time(self.fresh.load(Ordering::Relaxed));
        let made = &state.replica.view;
        self.view.update(|view| {
            view.clone_from(made);
            view.fresh = fresh;
        });
    }

    /// Spreads what changed in the leader's own failure domain.
    fn tick_desk(&self, state: &mut State, now: Time) {
        let head = state.replica.head();
        let Some(desk) = &mut state.desk else {
            return;
        };
        let news = News {
            items: desk.news(now, head),
            more: true,
            ..News::default()
        };
        self.take_news(state, news, Scope::Nothing);
    }

    /// Reads the platform's list of VMs.
    async fn list_vms(&self) {
        let Ok(StoreReply::Vms(vms)) = self.store(StoreCall::Vms).await else {
            return;
        };
        let now = self.clock.now();
        let mut state = self.lock();
        let mut items = Vec::new();
        for vm in &vms {
            let info = desk::info(vm);
            if state.replica.view.nodes.contains_key(&info.id) {
                continue;
            }
            items.push(Item::Member(MemberNote {
                info,
                standing: match vm.state {
                    VmState::Live => Standing::Live,
                    VmState::Leaving => Standing::Leaving,
                },
                load: 0,
            }));
        }
        if let Some(desk) = &mut state.desk {
            desk.set_listed(now, &vms);
        }
        state.listed = vms;
        let news = News {
            items,
            more: true,
            ..News::default()
        };
        self.take_news(&mut state, news, Scope::Nothing);
    }

    /// Sends a control message and tells what came back.
    async fn ask(&self, to: &NodeInfo, message: Ask) -> Option<Answer> {
        (self.peers.control)((to.peers, message)).await.ok()
    }
}

impl State {
    fn notes(&self) -> Vec<ForceNote> {
        self.replica.force.values().cloned().collect()
    }

    /// A leader that was not heard for this long is silent.
    fn silence(&self) -> Duration {
        self.period * 2 + SILENCE
    }

    /// Whether no leader is heard.
    fn quiet(&self, now: Time) -> bool {
        self.link.is_none() || now.since(self.heard) >= self.silence()
    }

    /// Whether another leader is heard, or no other node is known.
    fn touches(&self, me: &NodeInfo, now: Time) -> bool {
        let others = self.remotes.iter().filter(|(d, _)| **d != me.domain);
        let mut heard = others.map(|(_, r)| now.since(r.heard) < grants::SILENT);
        let alone = self.replica.view.nodes.keys().all(|n| *n == me.id);
        alone || heard.any(|h| h)
    }

    fn follow(&mut self, info: NodeInfo, now: Time) {
        if self.link.as_ref().is_some_and(|l| l.info == info) {
            return;
        }
        self.link = Some(Link {
            info,
            term: Epoch(0),
            seen: 0,
        });
        self.heard = now;
        self.tell = true;
    }

    fn head(&self) -> Revision {
        self.replica.head()
    }
}

fn changes_nodes(items: &[Item]) -> bool {
    items
        .iter()
        .any(|i| matches!(i, Item::Member(_) | Item::Left(_)))
}

/// Key that names the leader of `domain`.
fn lead_key(domain: DomainId) -> String {
    format!("{}{domain}", watch::LEAD)
}

/// Key that tells how the last term of `domain` ended.
fn term_key(domain: DomainId) -> String {
    format!("term/{domain}")
}

/// Nodes of `domain` in the order in which they stand for election.
fn candidates(state: &State, domain: DomainId) -> Vec<NodeId> {
    let nodes = state.replica.view.nodes.values();
    let live = nodes.filter(|m| m.info.domain == domain && m.standing == Standing::Live);
    let mut ids: Vec<_> = live.map(|m| m.info.id).collect();
    let seed = heatherrun_kernel::TargetId(domain.0);
    ids.sort_by_key(|n| std::cmp::Reverse(heatherrun_control::rendezvous::weight(seed, *n)));
    ids
}

/// Longest time for which a unit that nobody holds may stay so.
pub const TAKEOVER: Duration = grants::LAPSE;
