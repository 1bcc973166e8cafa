//! Driver of one query: feeds replies and timeouts to the query's policy, and
//! sends or cancels calls as the policy says, until there is a verdict.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures::stream::StreamExt;
use heatherrun_kernel::message::{
    Batch, BatchCall, BatchReply, CallError, CallKind, CallOutcome, Cancel, Failure, OwnerReport,
};
use heatherrun_kernel::port::PeerError;
use heatherrun_kernel::time::micros;
use heatherrun_kernel::view::Availability;
use heatherrun_kernel::{NodeId, QueryId, Snapshot, TargetId, Time, View};
use heatherrun_policy::query::{Action, Context, Query, QuerySpec, SentCall, Verdict};
use heatherrun_schema::v1;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::batches::{self, Batches, CallsByNode, OwnerLinks, SentBatch};
use crate::entry::{Entry, ServiceState};
use crate::request::Request;

/// Hedge delay used until one is learned from call latencies.
const DEFAULT_HEDGE_DELAY: Duration = Duration::from_millis(30);

/// The flush time, after which an owner returns the outcomes it has, is the
/// hedge delay divided by this.
const FLUSH_DIVISOR: u32 = 2;

/// Time reserved for the way to the owner and back: the deadline sent to the
/// owner is this much earlier.
const ROUND_TRIP_RESERVE: Duration = Duration::from_millis(1);

/// One query in progress.
pub(crate) struct QueryDriver<'a> {
    entry: &'a Entry,
    id: QueryId,
    rng: SmallRng,
    service_state: Arc<ServiceState>,
    query: Query,
    request: &'a Request,
    batches: Batches,
    sent_calls: Vec<(SentCall, NodeId)>,
    outcomes: HashMap<u16, (Time, String)>,
}

impl<'a> QueryDriver<'a> {
    /// Driver of query `id` for a validated `request`.
    pub fn new(entry: &'a Entry, id: QueryId, seed: u64, request: &'a Request) -> Self {
        let is_search = request.kind == CallKind::Search;
        let mut snapshot = Snapshot(0);
        if is_search {
            snapshot = entry.fleet.common_snapshot(&request.service.shards);
        }
        let spec = QuerySpec {
            service: Arc::clone(&request.service),
            kind: request.kind,
            deadline: request.deadline,
            limit: request.limit,
            min_coverage: request.min_coverage,
            hedge_delay: DEFAULT_HEDGE_DELAY,
            confirmed: entry
                .recent_successes
                .contains(request.start, request.fingerprint),
            fingerprint: request.fingerprint,
        };
        Self {
            entry,
            id,
            rng: SmallRng::seed_from_u64(seed),
            service_state: entry.service_state(&request.service),
            query: Query::new(spec, snapshot),
            request,
            batches: Batches::default(),
            sent_calls: Vec::new(),
            outcomes: HashMap::new(),
        }
    }

    /// Runs the query to its verdict.
    pub async fn run(&mut self) -> Verdict {
        let mut actions = self.step_query(Query::start);
        loop {
            self.perform(&actions);
            let now = self.entry.clock.now();
            if let Some(verdict) = self.query.verdict(now) {
                if self.query.is_confirmed() {
                    self.entry
                        .recent_successes
                        .record(now, self.request.fingerprint);
                }
                return verdict;
            }
            let wake_time = self.query.wake_at(now);
            tokio::select! {
                biased;
                Some((sent_batch, reply)) = self.batches.pending_replies.next() => {
                    actions = self.on_reply(sent_batch, reply);
                }
                () = self.entry.clock.sleep_until(wake_time) => {
                    actions = self.step_query(Query::on_tick);
                }
            }
        }
    }

    /// Number of calls sent.
    pub fn attempts(&self) -> u16 {
        self.query.attempts()
    }

    fn links(&self) -> OwnerLinks<'a> {
        OwnerLinks {
            own_id: self.entry.own_id,
            owner: &self.entry.owner,
            peers: &self.entry.peers,
        }
    }

    /// Runs one step of the policy on the current view and time.
    fn step_query<T>(
        &mut self,
        step: impl FnOnce(&mut Query, Time, &mut Context<'_, SmallRng>) -> T,
    ) -> T {
        let view = self.entry.view.load();
        let usable_target = |id: TargetId| is_usable(&view, id);
        let mut cx = Context {
            fleet: &self.entry.fleet,
            budget: &self.service_state.budget,
            hedges: &self.service_state.hedges,
            current: view.services.get(&self.request.service.id),
            is_usable: &usable_target,
            level: self.entry.owner.suspects().level(self.request.fingerprint),
            rng: &mut self.rng,
        };
        step(&mut self.query, self.entry.clock.now(), &mut cx)
    }

    /// Performs `actions`: sends cancellations, then calls, grouped in one batch
    /// for each owner.
    fn perform(&mut self, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        let view = self.entry.view.load_full();
        let mut calls: CallsByNode = Vec::new();
        let mut cancels: Vec<(NodeId, Vec<u16>)> = Vec::new();
        for action in actions {
            match action {
                Action::Send(sent) => self.add_call(&view, *sent, &mut calls),
                Action::Cancel { attempt, .. } => {
                    let (_, node) = self.sent_calls[usize::from(*attempt)];
                    batches::add_to_group(&mut cancels, node, *attempt);
                }
            }
        }
        for (node, attempts) in cancels {
            self.cancel_calls(&view, node, attempts);
        }
        for (node, calls) in calls {
            let batch = self.make_batch(&view, calls);
            self.batches.send(&self.links(), &view, node, batch);
        }
    }

    fn add_call(&mut self, view: &View, sent: SentCall, calls: &mut CallsByNode) {
        let owner = view.owners.get(&sent.target).copied();
        let node = owner.map_or(self.entry.own_id, |o| o.node);
        let call = BatchCall {
            attempt: sent.attempt,
            reason: sent.reason,
            target: sent.target,
            shard: sent.shard,
            epoch: owner.map(|o| o.epoch).unwrap_or_default(),
        };
        batches::add_to_group(calls, node, call);
        self.sent_calls.push((sent, node));
    }

    fn make_batch(&self, view: &View, calls: Vec<BatchCall>) -> Batch {
        let time_left = self.request.deadline.time_left(self.entry.clock.now());
        Batch {
            query: self.id,
            trace: self.request.trace_id.clone(),
            service: self.request.service.id,
            kind: self.request.kind,
            class: self.request.class,
            snapshot: self.query.snapshot(),
            map: self.query.map(),
            time_left: time_left.saturating_sub(ROUND_TRIP_RESERVE),
            flush: self.flush_delay(&calls),
            revision: view.revision,
            fingerprint: self.request.fingerprint,
            confirmed: self.query.is_confirmed(),
            body: Arc::clone(&self.request.body),
            calls,
        }
    }

    /// Time after which the owner returns the outcomes it has: early enough for
    /// them to arrive before a slow call among `calls` is hedged.
    fn flush_delay(&self, calls: &[BatchCall]) -> Duration {
        let delay = |c: &BatchCall| {
            self.service_state
                .hedges
                .delay(c.shard, DEFAULT_HEDGE_DELAY)
        };
        calls.iter().map(delay).min().unwrap_or(DEFAULT_HEDGE_DELAY) / FLUSH_DIVISOR
    }

    fn cancel_calls(&self, view: &View, node: NodeId, attempts: Vec<u16>) {
        let cancel = Cancel {
            query: self.id,
            attempts,
        };
        batches::cancel_calls(&self.links(), view, node, cancel);
    }

    fn on_reply(
        &mut self,
        mut sent_batch: SentBatch,
        reply: Result<BatchReply, PeerError>,
    ) -> Vec<Action> {
        let reply = match reply {
            Ok(reply) => reply,
            Err(PeerError::NotSent) => {
                let error = CallError::not_run(Failure::NoConnection);
                return self.fail_batch(&sent_batch, error);
            }
            Err(PeerError::NoAnswer) => {
                let error = CallError::unknown(Failure::PeerLost);
                return self.fail_batch(&sent_batch, error);
            }
        };
        self.entry.owner.suspects().note(&reply.marks);
        let mut actions = Vec::new();
        for done in reply.done {
            sent_batch.attempts.retain(|a| *a != done.attempt);
            actions.extend(self.on_done(done));
        }
        if sent_batch.attempts.is_empty() {
            return actions;
        }
        if reply.pending == 0 {
            let error = CallError::unknown(Failure::PeerLost);
            actions.extend(self.fail_batch(&sent_batch, error));
            return actions;
        }
        let view = self.entry.view.load_full();
        let flush = Duration::ZERO;
        self.batches
            .collect(&self.links(), &view, self.id, sent_batch, flush);
        actions
    }

    fn fail_batch(&mut self, sent_batch: &SentBatch, error: CallError) -> Vec<Action> {
        let mut actions = Vec::new();
        for attempt in &sent_batch.attempts {
            actions.extend(self.on_done(CallOutcome {
                attempt: *attempt,
                result: Err(error),
                took: Duration::ZERO,
                report: OwnerReport::default(),
            }));
        }
        actions
    }

    fn on_done(&mut self, done: CallOutcome) -> Vec<Action> {
        let outcome = match &done.result {
            Ok(_) => "ok".to_owned(),
            Err(e) => format!("{:?} {:?}", e.failure, e.ran),
        };
        let now = self.entry.clock.now();
        self.outcomes.insert(done.attempt, (now, outcome));
        self.step_query(|query, now, cx| query.on_done(now, done, cx))
    }

    /// Cancels all calls without an outcome, on each owner they were sent to.
    fn cancel_unfinished(&mut self) {
        let view = self.entry.view.load_full();
        let mut unfinished: Vec<(NodeId, Vec<u16>)> = Vec::new();
        for (sent, node) in &self.sent_calls {
            if !self.outcomes.contains_key(&sent.attempt) {
                batches::add_to_group(&mut unfinished, *node, sent.attempt);
            }
        }
        for (node, attempts) in unfinished {
            self.cancel_calls(&view, node, attempts);
        }
    }

    /// Trace of the attempts made so far, for operators.
    pub fn explain(&self) -> v1::ExplainAnswer {
        let view = self.entry.view.load();
        let now = self.entry.clock.now();
        let start = self.request.start;
        let mut attempts = Vec::with_capacity(self.sent_calls.len());
        for (sent, node) in &self.sent_calls {
            let (end, outcome) = match self.outcomes.get(&sent.attempt) {
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
                sent_us: micros(sent.sent_at.since(start)),
                took_us: micros(end.since(sent.sent_at)),
                outcome,
            });
        }
        v1::ExplainAnswer {
            id: self.request.trace_id.clone(),
            found: true,
            snapshot: self.query.snapshot().0,
            took_us: micros(now.since(start)),
            attempts,
        }
    }
}

impl Drop for QueryDriver<'_> {
    /// Cancels calls that are no longer needed: the caller has its answer or has
    /// disconnected.
    fn drop(&mut self) {
        self.cancel_unfinished();
    }
}

/// Whether a target may get new calls: its failure domain is in service and
/// its owner is responsive.
fn is_usable(view: &View, id: TargetId) -> bool {
    let Some(target) = view.targets.get(&id) else {
        return false;
    };
    let Some(owner) = view.owners.get(&id) else {
        return false;
    };
    let owner_node = view.nodes.get(&owner.node);
    view.is_in_service(target) && owner_node.is_some_and(|m| m.standing != Availability::Silent)
}
