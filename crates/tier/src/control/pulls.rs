//! Questions to peers: leaders ask each other all the time, and a node that
//! hears no leader asks several peers for one and for the configuration.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt};
use heatherrun_control::grants::SILENT;
use heatherrun_control::replica::Scope;
use heatherrun_control::rights::Rights;
use heatherrun_kernel::control::{Answer, Ask, Item, MemberNote, News, Pull, PullAnswer};
use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::view::Standing;
use heatherrun_kernel::{DomainId, Epoch, NodeId};

use super::{Control, Remote, State};

/// Time between two questions to another leader.
const PERIOD: Duration = Duration::from_secs(1);

/// Peers that a node asks when it hears no leader.
const PEERS: usize = 4;

impl Control {
    /// Asks the other leaders while this node leads.
    pub(super) async fn run_pulls(self: &Arc<Self>) {
        loop {
            tokio::time::sleep(PERIOD).await;
            if !self.leads() {
                continue;
            }
            let others = self.others();
            join_all(
                others
                    .iter()
                    .map(|(domain, remote)| self.pull_leader(*domain, remote)),
            )
            .await;
            self.mark_silent();
        }
    }

    fn others(&self) -> Vec<(DomainId, Remote)> {
        let state = self.lock();
        let other = |d: &DomainId| *d != self.info.domain;
        let remotes = state.remotes.iter().filter(|(d, _)| other(d));
        remotes.map(|(d, r)| (*d, r.clone())).collect()
    }

    async fn pull_leader(&self, domain: DomainId, remote: &Remote) {
        let pull = Pull {
            from: self.info.id,
            term: remote.term,
            seen: remote.seen,
        };
        let Some(Answer::Pull(answer)) = self.ask(&remote.info, Ask::Pull(pull)).await else {
            return;
        };
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(current) = state.remotes.get_mut(&domain) else {
            return;
        };
        if answer.term == Epoch(0) {
            if let Some(leader) = answer.leader.filter(|l| l.domain == domain) {
                *current = Remote {
                    info: leader,
                    term: Epoch(0),
                    seen: 0,
                    heard: current.heard,
                };
            }
            return;
        }
        *current = Remote {
            info: remote.info.clone(),
            term: answer.term,
            seen: answer.news.seen,
            heard: now,
        };
        if self.take_news(&mut state, answer.news, Scope::Domain(domain))
            && let Some(current) = state.remotes.get_mut(&domain)
        {
            current.term = Epoch(0);
        }
    }

    /// Nodes of a failure domain whose leader is silent count as silent, and
    /// as gone when the platform lists them no more.
    fn mark_silent(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut items = Vec::new();
        let State {
            remotes,
            replica,
            listed,
            ..
        } = &mut *state;
        for member in replica.view.nodes.values() {
            let domain = member.info.domain;
            if domain == self.info.domain {
                continue;
            }
            let remote = remotes.get_mut(&domain);
            if remote.as_ref().is_some_and(|r| now.since(r.heard) < SILENT) {
                continue;
            }
            if let Some(remote) = remote {
                remote.term = Epoch(0);
            }
            if !listed
                .iter()
                .any(|vm| NodeId::of(&vm.name) == member.info.id)
            {
                items.push(Item::Left(member.info.id));
                continue;
            }
            items.push(Item::Member(MemberNote {
                info: member.info.clone(),
                standing: Standing::Silent,
                load: member.load,
            }));
        }
        let news = News {
            items,
            more: true,
            ..News::default()
        };
        self.take_news(&mut state, news, Scope::Nothing);
    }

    /// Asks some peers, those of this failure domain first, for a leader and
    /// for the configuration. Returns true when one hears a leader.
    pub(super) async fn ask_around(&self) -> bool {
        let sent = self.clock.now();
        let (peers, head, failed) = {
            let state = self.lock();
            (self.nearest(&state), state.head(), state.failed.is_some())
        };
        let pull = Pull {
            from: self.info.id,
            term: Epoch(0),
            seen: head.0,
        };
        let asked = peers.iter().map(|p| self.ask(p, Ask::Pull(pull.clone())));
        let mut answers: FuturesUnordered<_> = asked.collect();
        while let Some(answer) = answers.next().await {
            let Some(Answer::Pull(answer)) = answer else {
                continue;
            };
            if failed {
                let mut rights = Rights::clone(&self.rights.load());
                rights.prove(sent);
                self.rights.store(Arc::new(rights));
            }
            if self.on_pulled(answer) {
                return true;
            }
        }
        false
    }

    fn on_pulled(&self, answer: PullAnswer) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let news = News {
            reset: false,
            more: true,
            ..answer.news
        };
        self.take_news(&mut state, news, Scope::Nothing);
        let near = |l: &NodeInfo| l.domain == self.info.domain && l.id != self.info.id;
        let Some(leader) = answer.leader.filter(near) else {
            return false;
        };
        let silent = state.quiet(now) && state.link.as_ref().is_some_and(|l| l.info == leader);
        if silent {
            return false;
        }
        state.follow(leader, now);
        self.beat.notify_one();
        true
    }

    fn nearest(&self, state: &State) -> Vec<NodeInfo> {
        let others = state.replica.view.nodes.values();
        let mut peers: Vec<_> = others.filter(|m| m.info.id != self.info.id).collect();
        let far = |m: &&heatherrun_kernel::view::Member| {
            let silent = m.standing == Standing::Silent;
            (silent, m.info.domain != self.info.domain, m.info.id)
        };
        peers.sort_by_key(far);
        peers
            .into_iter()
            .take(PEERS)
            .map(|m| m.info.clone())
            .collect()
    }
}
