//! The member's side: a heartbeat to the leader, and what its answer brings.

use std::sync::Arc;
use std::time::Duration;

use heatherrun_control::desk;
use heatherrun_control::replica::Scope;
use heatherrun_control::rights::Rights;
use heatherrun_kernel::control::{Answer, Ask, Beat, BeatAnswer};
use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::{Epoch, NodeId, Time};

use super::{Control, Link, State};

/// Time until the next beat when there is more news.
const SOON: Duration = Duration::from_millis(20);

/// Time until the next beat when the leader was not reached.
const AGAIN: Duration = Duration::from_millis(200);

impl Control {
    pub(super) async fn run_beats(self: &Arc<Self>) {
        let mut doubted = false;
        loop {
            let wait = self.beat_once().await;
            if self.doubted() != doubted {
                doubted = !doubted;
                self.log_doubt(doubted);
            }
            tokio::select! {
                biased;
                () = self.beat.notified() => {}
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    fn log_doubt(&self, doubted: bool) {
        let node = self.info.name.as_str();
        if doubted {
            log::warn!(node; "view.doubted");
        } else {
            log::info!(node; "view.proved");
        }
    }

    /// Beats once; returns the time until the next beat.
    async fn beat_once(self: &Arc<Self>) -> Duration {
        let Some((leader, beat)) = self.make_beat() else {
            return AGAIN;
        };
        let sent = beat.sent;
        let answer = if leader.id == self.info.id {
            Some(self.answer_beat(&beat))
        } else {
            self.ask(&leader, Ask::Beat(beat)).await
        };
        match answer {
            Some(Answer::Beat(answer)) if answer.echo == sent => self.on_answer(&leader, answer),
            Some(Answer::Refused(hint)) => {
                self.on_refused(&leader, hint);
                AGAIN
            }
            _ => AGAIN,
        }
    }

    fn make_beat(&self) -> Option<(NodeInfo, Beat)> {
        let mut state = self.lock();
        let now = self.clock.now();
        if state.lead.tenure().is_some() {
            // An elected node is no one's follower, also before it can grant.
            state.desk.as_ref()?;
            state.follow(self.info.clone(), now);
        }
        let link = state.link.clone()?;
        let rights = self.settle_rights(now);
        let held = rights.told(now);
        let beat = Beat {
            from: self.info.id,
            info: state.tell.then(|| self.info.clone()),
            sent: now,
            ack: state.ack,
            revision: state.head(),
            load: (self.load)(),
            leaving: state.leaving,
            digest: heatherrun_control::grants::digest(&held),
            held: state.tell.then_some(held),
            term: link.term,
            seen: link.seen,
        };
        Some((link.info, beat))
    }

    /// Forgets what cannot be used any more, before it is told.
    fn settle_rights(&self, now: Time) -> Arc<Rights> {
        let rights = self.rights.load_full();
        let mut next = Rights::clone(&rights);
        if rights.ending.is_empty() {
            next.settle(now, |_| false);
        } else {
            let reports = self.owner.reports();
            next.settle(now, |unit| {
                reports.iter().any(|(id, r)| *id == unit && r.in_flight > 0)
            });
        }
        if next == *rights {
            return rights;
        }
        let next = Arc::new(next);
        self.rights.store(Arc::clone(&next));
        next
    }

    fn on_refused(&self, from: &NodeInfo, hint: Option<NodeId>) {
        let mut state = self.lock();
        let now = self.clock.now();
        let named = hint.and_then(|id| state.replica.view.nodes.get(&id));
        let info = named.map(|m| m.info.clone());
        if state.link.as_ref().is_none_or(|l| l.info != *from) {
            return;
        }
        state.link = None;
        if let Some(info) = info
            && info.id != self.info.id
        {
            state.follow(info, now);
        }
        self.elect.notify_one();
    }

    fn on_answer(&self, from: &NodeInfo, answer: BeatAnswer) -> Duration {
        let mut state = self.lock();
        let now = self.clock.now();
        if state.link.as_ref().is_none_or(|l| l.info != *from) {
            return SOON;
        }
        state.heard = now;
        state.ack = answer.echo;
        state.period = answer.period;
        state.tell = answer.tell;
        self.prove_fresh(Time(
            now.0
                .saturating_sub(heatherrun_kernel::time::micros(answer.age)),
        ));
        self.take_grants(&mut state, now, &answer);
        let (term, seen, more) = (answer.term, answer.news.seen, answer.news.more);
        let leads = from.id == self.info.id;
        if !leads {
            // Another one leads now: what was kept for a new term is void.
            state.desk = None;
        }
        let lost = !leads && self.take_news(&mut state, answer.news, Scope::All);
        state.link = Some(Link {
            info: from.clone(),
            term: if lost { Epoch(0) } else { term },
            seen,
        });
        // The leader frees a unit once a beat no longer tells of it.
        let moved = answer.grants.is_some() || !self.rights.load().ending.is_empty();
        if answer.tell || moved || (more && !leads) {
            return SOON;
        }
        if leads {
            desk::period(1)
        } else {
            answer.period
        }
    }

    fn take_grants(&self, state: &mut State, now: Time, answer: &BeatAnswer) {
        let until = answer.echo + answer.valid;
        let unix = self.unix_ms();
        let mut rights = Rights::clone(&self.rights.load());
        rights.hold = answer.hold;
        if let Some(grants) = &answer.grants {
            self.close_records(state, &rights, grants);
            rights.take(now, grants, unix);
            rights.until = until;
        } else if !answer.tell {
            rights.extend(now, until, unix);
        }
        self.rights.store(Arc::new(rights));
    }
}
