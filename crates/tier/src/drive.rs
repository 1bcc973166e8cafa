//! Driver of one query: runs its decisions, sends its batches, and hands the
//! replies back to it until there is a verdict.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures::stream::StreamExt;
use heatherrun_kernel::message::{
    Batch, BatchCall, BatchReply, CallError, CallKind, Cancel, Done, Failure, OwnerReport,
};
use heatherrun_kernel::port::PeerError;
use heatherrun_kernel::time::micros;
use heatherrun_kernel::view::Standing;
use heatherrun_kernel::{NodeId, QueryId, Snapshot, TargetId, Time, View};
use heatherrun_policy::query::{Action, Context, Query, Sent, Spec, Verdict};
use heatherrun_schema::v1;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::batches::{self, Batches, Groups, Links, Sending};
use crate::entry::{Entry, Shared};
use crate::request::Request;

/// Delay after which a call is hedged while none is learned.
const HEDGE: Duration = Duration::from_millis(30);

/// Part of the hedge delay after which an owner returns what is done, as a
/// divisor.
const FLUSH_DIVISOR: u32 = 2;

/// Part of the time left that is kept for the way to the owner and back.
const HOP: Duration = Duration::from_millis(1);

/// One query on its way.
pub(crate) struct Drive<'a> {
    entry: &'a Entry,
    id: QueryId,
    rng: SmallRng,
    shared: Arc<Shared>,
    query: Query,
    request: &'a Request,
    batches: Batches,
    sent: Vec<(Sent, NodeId)>,
    ended: HashMap<u16, (Time, String)>,
}

impl<'a> Drive<'a> {
    /// Query `id` of the checked `request`.
    pub fn new(entry: &'a Entry, id: QueryId, seed: u64, request: &'a Request) -> Self {
        let search = request.kind == CallKind::Search;
        let mut snapshot = Snapshot(0);
        if search {
            snapshot = entry.fleet.common_snapshot(&request.service.shards);
        }
        let spec = Spec {
            service: Arc::clone(&request.service),
            kind: request.kind,
            deadline: request.deadline,
            limit: request.limit,
            least: request.least,
            hedge: HEDGE,
            proven: entry.proofs.holds(request.start, request.print),
            print: request.print,
        };
        Self {
            entry,
            id,
            rng: SmallRng::seed_from_u64(seed),
            shared: entry.shared(&request.service),
            query: Query::new(spec, snapshot),
            request,
            batches: Batches::default(),
            sent: Vec::new(),
            ended: HashMap::new(),
        }
    }

    /// Runs the query to its verdict.
    pub async fn run(&mut self) -> Verdict {
        let mut actions = self.decide(Query::start);
        loop {
            self.act(&actions);
            let now = self.entry.clock.now();
            if let Some(verdict) = self.query.verdict(now) {
                if self.query.proven() {
                    self.entry.proofs.note(now, self.request.print);
                }
                return verdict;
            }
            let wake = self.query.wake_at(now);
            tokio::select! {
                biased;
                Some((sending, reply)) = self.batches.replies.next() => {
                    actions = self.on_reply(sending, reply);
                }
                () = self.entry.clock.sleep_until(wake) => {
                    actions = self.decide(Query::on_tick);
                }
            }
        }
    }

    /// Calls sent.
    pub fn attempts(&self) -> u16 {
        self.query.attempts()
    }

    fn links(&self) -> Links<'a> {
        Links {
            me: self.entry.me,
            owner: &self.entry.owner,
            peers: &self.entry.peers,
        }
    }

    fn decide<T>(
        &mut self,
        step: impl FnOnce(&mut Query, Time, &mut Context<'_, SmallRng>) -> T,
    ) -> T {
        let view = self.entry.view.load();
        let usable = |id: TargetId| usable(&view, id);
        let mut cx = Context {
            fleet: &self.entry.fleet,
            budget: &self.shared.budget,
            hedges: &self.shared.hedges,
            current: view.services.get(&self.request.service.id),
            usable: &usable,
            level: self.entry.owner.suspects().level(self.request.print),
            rng: &mut self.rng,
        };
        step(&mut self.query, self.entry.clock.now(), &mut cx)
    }

    /// Sends the calls of `actions`, one batch for each owner.
    fn act(&mut self, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        let view = self.entry.view.load_full();
        let mut calls: Groups = Vec::new();
        let mut cancels: Vec<(NodeId, Vec<u16>)> = Vec::new();
        for action in actions {
            match action {
                Action::Send(sent) => self.add_call(&view, *sent, &mut calls),
                Action::Cancel { attempt, .. } => {
                    let (_, node) = self.sent[usize::from(*attempt)];
                    batches::group(&mut cancels, node, *attempt);
                }
            }
        }
        for (node, attempts) in cancels {
            self.cancel(&view, node, attempts);
        }
        for (node, calls) in calls {
            let batch = self.batch(&view, calls);
            self.batches.send(&self.links(), &view, node, batch);
        }
    }

    fn add_call(&mut self, view: &View, sent: Sent, calls: &mut Groups) {
        let owner = view.owners.get(&sent.target).copied();
        let node = owner.map_or(self.entry.me, |o| o.node);
        let call = BatchCall {
            attempt: sent.attempt,
            reason: sent.reason,
            target: sent.target,
            shard: sent.shard,
            epoch: owner.map(|o| o.epoch).unwrap_or_default(),
        };
        batches::group(calls, node, call);
        self.sent.push((sent, node));
    }

    fn batch(&self, view: &View, calls: Vec<BatchCall>) -> Batch {
        let left = self.request.deadline.left(self.entry.clock.now());
        Batch {
            query: self.id,
            trace: self.request.trace.clone(),
            service: self.request.service.id,
            kind: self.request.kind,
            class: self.request.class,
            snapshot: self.query.snapshot(),
            map: self.query.map(),
            left: left.saturating_sub(HOP),
            flush: self.flush(&calls),
            revision: view.revision,
            print: self.request.print,
            proven: self.query.proven(),
            body: Arc::clone(&self.request.body),
            calls,
        }
    }

    /// Time after which the owner returns what is done: before a slow call
    /// among `calls` would be hedged.
    fn flush(&self, calls: &[BatchCall]) -> Duration {
        let delay = |c: &BatchCall| self.shared.hedges.delay(c.shard, HEDGE);
        calls.iter().map(delay).min().unwrap_or(HEDGE) / FLUSH_DIVISOR
    }

    fn cancel(&self, view: &View, node: NodeId, attempts: Vec<u16>) {
        let cancel = Cancel {
            query: self.id,
            attempts,
        };
        batches::cancel(&self.links(), view, node, cancel);
    }

    fn on_reply(
        &mut self,
        mut sending: Sending,
        reply: Result<BatchReply, PeerError>,
    ) -> Vec<Action> {
        let reply = match reply {
            Ok(reply) => reply,
            Err(PeerError::NotSent) => {
                let error = CallError::not_run(Failure::NoConnection);
                return self.fail(&sending, error);
            }
            Err(PeerError::NoAnswer) => {
                let error = CallError::unknown(Failure::PeerLost);
                return self.fail(&sending, error);
            }
        };
        self.entry.owner.suspects().note(&reply.marks);
        let mut actions = Vec::new();
        for done in reply.done {
            sending.attempts.retain(|a| *a != done.attempt);
            actions.extend(self.on_done(done));
        }
        if sending.attempts.is_empty() {
            return actions;
        }
        if reply.pending == 0 {
            let error = CallError::unknown(Failure::PeerLost);
            actions.extend(self.fail(&sending, error));
            return actions;
        }
        let view = self.entry.view.load_full();
        let flush = Duration::ZERO;
        self.batches
            .collect(&self.links(), &view, self.id, sending, flush);
        actions
    }

    fn fail(&mut self, sending: &Sending, error: CallError) -> Vec<Action> {
        let mut actions = Vec::new();
        for attempt in &sending.attempts {
            actions.extend(self.on_done(Done {
                attempt: *attempt,
                result: Err(error),
                took: Duration::ZERO,
                report: OwnerReport::default(),
            }));
        }
        actions
    }

    fn on_done(&mut self, done: Done) -> Vec<Action> {
        let outcome = match &done.result {
            Ok(_) => "ok".to_owned(),
            Err(e) => format!("{:?} {:?}", e.failure, e.ran),
        };
        let now = self.entry.clock.now();
        self.ended.insert(done.attempt, (now, outcome));
        self.decide(|query, now, cx| query.on_done(now, done, cx))
    }

    /// Cancels whatever still runs, on every owner that was sent a call.
    fn stop(&mut self) {
        let view = self.entry.view.load_full();
        let mut open: Vec<(NodeId, Vec<u16>)> = Vec::new();
        for (sent, node) in &self.sent {
            if !self.ended.contains_key(&sent.attempt) {
                batches::group(&mut open, *node, sent.attempt);
            }
        }
        for (node, attempts) in open {
            self.cancel(&view, node, attempts);
        }
    }

    /// The attempts made, for operators.
    pub fn explain(&self) -> v1::ExplainAnswer {
        let view = self.entry.view.load();
        let now = self.entry.clock.now();
        let start = self.request.start;
        let mut attempts = Vec::with_capacity(self.sent.len());
        for (sent, node) in &self.sent {
            let (end, outcome) = match self.ended.get(&sent.attempt) {
                Some((end, outcome)) => (*end, outcome.clone()),
                None => (now, "cancelled".to_owned()),
            };
            let target = view.targets.get(&sent.target).map(|t| t.name.clone());
            let owner = view.nodes.get(node).map(|m| m.info.name.clone());
            attempts.push(v1::Attempt {
                shard: u32::from(sent.shard.0),
                target: target.unwrap_or_else(|| sent.target.to_string()),
                owner: owner.unwrap_or_else(|| node.to_string()),
                reason: format!("{:?}", sent.reason).to_ascii_lowercase(),
                sent_us: micros(sent.at.since(start)),
                took_us: micros(end.since(sent.at)),
                outcome,
            });
        }
        v1::ExplainAnswer {
            id: self.request.trace.clone(),
            found: true,
            snapshot: self.query.snapshot().0,
            took_us: micros(now.since(start)),
            attempts,
        }
    }
}

impl Drop for Drive<'_> {
    /// The caller has its verdict or is gone: nothing more is needed.
    fn drop(&mut self) {
        self.stop();
    }
}

/// Whether a target may get new work: its domain is in and its owner heard.
fn usable(view: &View, id: TargetId) -> bool {
    let Some(target) = view.targets.get(&id) else {
        return false;
    };
    let Some(owner) = view.owners.get(&id) else {
        return false;
    };
    let heard = view.nodes.get(&owner.node);
    view.admits(target) && heard.is_some_and(|m| m.standing != Standing::Silent)
}
