//! Driver of the entry's side: one caller's request from its admission to
//! its answer.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use heatherrun_kernel::message::{
    Batch, BatchCall, BatchReply, CallError, CallKind, Cancel, Class, Collect, Done, Failure,
    OwnerReport,
};
use heatherrun_kernel::port::{PeerError, Peers};
use heatherrun_kernel::view::{Service, Standing};
use heatherrun_kernel::{Clock, NodeId, QueryId, ServiceId, Snapshot, TargetId, View, ViewCell};
use heatherrun_policy::admission::Admission;
use heatherrun_policy::budget::Budget;
use heatherrun_policy::fleet::Fleet;
use heatherrun_policy::query::{Action, Context, Query, Sent, Spec, Verdict};
use heatherrun_schema::v1;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64;

use crate::once::Once;
use crate::outcome::{Ended, Outcomes};
use crate::owner::Owner;
use crate::refuse;
use crate::suspects;
use crate::trace::Traces;

/// Requests that one node works on at once.
const PLACES: u32 = 2_000;

/// Deadline used when neither the caller nor the service names one.
const DEADLINE: Duration = Duration::from_secs(1);

/// Delay after which a call is hedged.
const HEDGE: Duration = Duration::from_millis(30);

/// Extra calls allowed when the service names no limit, in per cent.
const EXTRA_PERCENT: u32 = 5;

/// Lots returned when the caller names no limit.
const LOTS: usize = 10;

type BatchFuture = BoxFuture<'static, (Target, Result<BatchReply, PeerError>)>;

/// Where a batch went and which of its calls are not back.
#[derive(Clone)]
struct Target {
    node: NodeId,
    first: u16,
    attempts: Vec<u16>,
}

/// A request after its checks.
struct Request {
    trace: String,
    service: Arc<Service>,
    kind: CallKind,
    class: Class,
    deadline: Duration,
    limit: usize,
    least: u8,
    body: Arc<[u8]>,
}

/// Takes requests from callers.
pub struct Entry {
    clock: Clock,
    me: NodeId,
    view: Arc<ViewCell>,
    peers: Peers,
    owner: Arc<Owner>,
    fleet: Fleet,
    budgets: Mutex<HashMap<ServiceId, Arc<Budget>>>,
    admission: Admission,
    traces: Traces,
    outcomes: Outcomes,
    once: Once,
    run: u64,
    seq: AtomicU64,
}

impl Entry {
    /// Entry of node `me`; `run` is the start of the clock in Unix
    /// milliseconds, which also tells starts of the process apart.
    #[must_use]
    pub fn new(
        clock: Clock,
        me: NodeId,
        view: Arc<ViewCell>,
        peers: Peers,
        owner: Arc<Owner>,
        run: u64,
    ) -> Arc<Self> {
        let right = Arc::clone(owner.right());
        let tell = suspects::tell_peers(me, Arc::clone(&view), peers.clone(), run);
        owner.suspects().set_tell(tell);
        Arc::new(Self {
            once: Once::new(clock, Arc::clone(&view), run, right),
            clock,
            me,
            view,
            peers,
            owner,
            fleet: Fleet::default(),
            budgets: Mutex::default(),
            admission: Admission::new(PLACES),
            traces: Traces::default(),
            outcomes: Outcomes::default(),
            run: me.0 ^ run,
            seq: AtomicU64::new(1),
        })
    }

    /// Records of once-only requests that this node holds.
    #[must_use]
    pub const fn once(&self) -> &Once {
        &self.once
    }

    /// Traces of recent queries.
    #[must_use]
    pub fn traces(&self) -> &Traces {
        &self.traces
    }

    /// What requests came to.
    #[must_use]
    pub const fn outcomes(&self) -> &Outcomes {
        &self.outcomes
    }

    /// Requests in work and load in per cent.
    #[must_use]
    pub fn load(&self) -> (u32, u8) {
        (self.admission.taken(), self.admission.load())
    }

    /// Answers one search.
    ///
    /// # Errors
    /// A refusal that says whether any part of the search ran.
    pub async fn search(
        &self,
        ask: v1::SearchRequest,
    ) -> Result<v1::SearchAnswer, Box<v1::Refusal>> {
        let start = self.clock.now();
        let service = self.find(&ask.service, true)?;
        let request = Request {
            trace: ask.id.clone(),
            kind: CallKind::Search,
            class: class(ask.class()),
            deadline: deadline(&service, ask.deadline_ms)?,
            limit: if ask.limit == 0 {
                LOTS
            } else {
                ask.limit as usize
            },
            least: u8::try_from(ask.min_coverage.min(100)).unwrap_or(100),
            body: ask.query.into_bytes().into(),
            service,
        };
        let (query, merged, attempts) = self.serve(request).await?;
        let missing = |m: &heatherrun_policy::query::Missing| v1::Missing {
            shard: u32::from(m.shard.0),
            reason: format!("{:?}", m.failure),
        };
        Ok(v1::SearchAnswer {
            id: query,
            snapshot: merged.snapshot.0,
            coverage: Some(v1::Coverage {
                reached: u32::try_from(merged.reached).unwrap_or(u32::MAX),
                total: u32::try_from(merged.total).unwrap_or(u32::MAX),
                missing: merged.missing.iter().map(missing).collect(),
            }),
            lots: merged
                .lots
                .into_iter()
                .map(|lot| v1::Lot {
                    id: lot.id,
                    score: lot.score,
                    text: lot.text,
                })
                .collect(),
            attempts: u32::from(attempts),
            took_us: heatherrun_kernel::time::micros(self.clock.now().since(start)),
        })
    }

    /// Answers one request to a pooled service.
    ///
    /// # Errors
    /// A refusal that says whether the request may have run.
    pub async fn request(&self, ask: v1::PoolRequest) -> Result<v1::PoolAnswer, Box<v1::Refusal>> {
        let start = self.clock.now();
        let service = self.find(&ask.service, false)?;
        let kind = if ask.once {
            CallKind::Once
        } else {
            CallKind::Repeatable
        };
        let request = Request {
            trace: ask.id.clone(),
            kind,
            class: class(ask.class()),
            deadline: deadline(&service, ask.deadline_ms)?,
            limit: 0,
            least: 100,
            body: ask.body.into_bytes().into(),
            service,
        };
        let (query, merged, attempts) = self.serve(request).await?;
        Ok(v1::PoolAnswer {
            id: query,
            body: String::from_utf8_lossy(&merged.body).into_owned(),
            attempts: u32::from(attempts),
            took_us: heatherrun_kernel::time::micros(self.clock.now().since(start)),
            replayed: false,
        })
    }

    fn find(&self, name: &str, sharded: bool) -> Result<Arc<Service>, Box<v1::Refusal>> {
        let view = self.view.load();
        let Some(service) = view.service(name) else {
            let detail = format!("no service named {name:?}");
            return Err(refuse::not_run("unknown-service", detail, "check the name"));
        };
        if service.sharded != sharded {
            let detail = format!("{name:?} is of the other kind");
            let remedy = "use search for sharded services and request for pooled ones";
            return Err(refuse::not_run("wrong-kind", detail, remedy));
        }
        Ok(Arc::clone(service))
    }

    async fn serve(
        &self,
        mut request: Request,
    ) -> Result<(String, heatherrun_policy::query::Merged, u16), Box<v1::Refusal>> {
        if !self.admission.enter(request.class) {
            let now = self.clock.now();
            self.outcomes.shed(now, &request.service, &request.trace);
            let detail = "this node is at its limit for the class";
            let mut refused = refuse::not_run("overloaded", detail, "come again after retry_ms");
            refused.retry_ms = 100;
            return Err(refused);
        }
        let id = QueryId {
            entry: self.run,
            seq: self.seq.fetch_add(1, Ordering::Relaxed),
        };
        if request.trace.is_empty() {
            request.trace = id.to_string();
        }
        let trace = request.trace.clone();
        let (verdict, attempts) = self.drive(id, request).await;
        self.admission.leave();
        match verdict {
            Verdict::Answer(merged) => Ok((trace, merged, attempts)),
            Verdict::Refused {
                ran,
                failure,
                reached,
            } => {
                let mut refused = refuse::failed(ran, failure, reached);
                refused.id = trace;
                Err(refused)
            }
        }
    }

    async fn drive(&self, id: QueryId, request: Request) -> (Verdict, u16) {
        let spec = Spec {
            service: Arc::clone(&request.service),
            kind: request.kind,
            deadline: self.clock.now() + request.deadline,
            limit: request.limit,
            least: request.least,
            hedge: HEDGE,
        };
        let start = self.clock.now();
        let snapshot = match request.kind {
            CallKind::Search => self.fleet.common_snapshot(&request.service.shards),
            _ => Snapshot(0),
        };
        let deadline = spec.deadline;
        let mut drive = Drive {
            entry: self,
            id,
            rng: SmallRng::seed_from_u64(self.run ^ id.seq),
            budget: self.budget(&request.service),
            query: Query::new(spec, snapshot),
            request,
            deadline,
            batches: FuturesUnordered::new(),
            sent: Vec::new(),
            ended: HashMap::new(),
        };
        let verdict = drive.run().await;
        let attempts = drive.query.attempts();
        let trace = drive.explain(start);
        let now = self.clock.now();
        self.outcomes.ended(&Ended {
            now,
            took: now.since(start),
            service: &drive.request.service,
            view: &self.view.load(),
            verdict: &verdict,
            trace: &trace,
        });
        self.traces.keep(trace);
        (verdict, attempts)
    }

    fn budget(&self, service: &Service) -> Arc<Budget> {
        let mut all = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let percent = match service.limits.extra_percent {
            0 => EXTRA_PERCENT,
            set => set,
        };
        let made = || Arc::new(Budget::new(percent));
        Arc::clone(all.entry(service.id).or_insert_with(made))
    }
}

/// One query on its way.
struct Drive<'a> {
    entry: &'a Entry,
    id: QueryId,
    rng: SmallRng,
    budget: Arc<Budget>,
    query: Query,
    request: Request,
    deadline: heatherrun_kernel::Time,
    batches: FuturesUnordered<BatchFuture>,
    sent: Vec<(Sent, NodeId)>,
    ended: HashMap<u16, (heatherrun_kernel::Time, String)>,
}

impl Drive<'_> {
    async fn run(&mut self) -> Verdict {
        let mut actions = self.decide(Query::start);
        loop {
            self.act(&actions);
            let now = self.entry.clock.now();
            if let Some(verdict) = self.query.verdict(now) {
                self.stop();
                return verdict;
            }
            let wake = self.query.wake_at(now);
            tokio::select! {
                biased;
                Some((target, reply)) = self.batches.next() => {
                    actions = self.on_reply(target, reply);
                }
                () = self.entry.clock.sleep_until(wake) => {
                    actions = self.decide(Query::on_tick);
                }
            }
        }
    }

    fn decide<T>(
        &mut self,
        step: impl FnOnce(&mut Query, heatherrun_kernel::Time, &mut Context<'_, SmallRng>) -> T,
    ) -> T {
        let view = self.entry.view.load_full();
        let usable = |id: TargetId| usable(&view, id);
        let mut cx = Context {
            fleet: &self.entry.fleet,
            budget: &self.budget,
            usable: &usable,
            rng: &mut self.rng,
        };
        step(&mut self.query, self.entry.clock.now(), &mut cx)
    }

    /// Sends the calls of `actions`, one batch for each owner.
    fn act(&mut self, actions: &[Action]) {
        let view = self.entry.view.load_full();
        let mut batches: Vec<(NodeId, Vec<BatchCall>)> = Vec::new();
        let mut cancels: Vec<(NodeId, Vec<u16>)> = Vec::new();
        for action in actions {
            match action {
                Action::Send(sent) => {
                    let owner = view.owners.get(&sent.target).copied();
                    let node = owner.map_or(self.entry.me, |o| o.node);
                    let call = BatchCall {
                        attempt: sent.attempt,
                        reason: sent.reason,
                        target: sent.target,
                        shard: sent.shard,
                        epoch: owner.map(|o| o.epoch).unwrap_or_default(),
                    };
                    push(&mut batches, node, call);
                    self.sent.push((*sent, node));
                }
                Action::Cancel { attempt, .. } => {
                    let to = self.sent.iter().find(|(s, _)| s.attempt == *attempt);
                    if let Some((_, node)) = to {
                        push(&mut cancels, *node, *attempt);
                    }
                }
            }
        }
        for (node, calls) in batches {
            self.send_batch(&view, node, calls);
        }
        for (node, attempts) in cancels {
            self.send_cancel(&view, node, attempts);
        }
    }

    fn send_batch(&mut self, view: &View, node: NodeId, calls: Vec<BatchCall>) {
        let target = Target {
            node,
            first: calls.first().map_or(0, |c| c.attempt),
            attempts: calls.iter().map(|c| c.attempt).collect(),
        };
        let batch = Batch {
            query: self.id,
            trace: self.request.trace.clone(),
            service: self.request.service.id,
            kind: self.request.kind,
            class: self.request.class,
            snapshot: self.query.snapshot(),
            map: self.query.map(),
            left: self.deadline.left(self.entry.clock.now()),
            flush: HEDGE / 2,
            revision: view.revision,
            print: xxh3_64(&self.request.body),
            proven: false,
            body: Arc::clone(&self.request.body),
            calls,
        };
        if node == self.entry.me {
            let owner = Arc::clone(&self.entry.owner);
            let future = async move { (target, Ok(owner.search(batch).await)) };
            self.batches.push(Box::pin(future));
            return;
        }
        let Some(address) = peer_address(view, node) else {
            let future = async move { (target, Err(PeerError::NotSent)) };
            self.batches.push(Box::pin(future));
            return;
        };
        let call = (self.entry.peers.search)((address, batch));
        self.batches
            .push(Box::pin(async move { (target, call.await) }));
    }

    fn send_cancel(&self, view: &View, node: NodeId, attempts: Vec<u16>) {
        let cancel = Cancel {
            query: self.id,
            attempts,
        };
        if node == self.entry.me {
            let owner = Arc::clone(&self.entry.owner);
            tokio::spawn(async move { owner.cancel(cancel).await });
        } else if let Some(address) = peer_address(view, node) {
            tokio::spawn((self.entry.peers.cancel)((address, cancel)));
        }
    }

    fn on_reply(
        &mut self,
        mut target: Target,
        reply: Result<BatchReply, PeerError>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match reply {
            Ok(reply) => {
                for done in reply.done {
                    target.attempts.retain(|a| *a != done.attempt);
                    actions.extend(self.on_done(done));
                }
                if reply.pending > 0 && !target.attempts.is_empty() {
                    self.collect(target);
                } else {
                    let lost = CallError::unknown(Failure::ConnectionLost);
                    actions.extend(self.fail(&target, lost));
                }
            }
            Err(PeerError::NotSent) => {
                let failed = CallError::not_run(Failure::NoConnection);
                actions.extend(self.fail(&target, failed));
            }
            Err(PeerError::NoAnswer) => {
                let lost = CallError::unknown(Failure::ConnectionLost);
                actions.extend(self.fail(&target, lost));
            }
        }
        actions
    }

    fn fail(&mut self, target: &Target, error: CallError) -> Vec<Action> {
        let mut actions = Vec::new();
        for attempt in &target.attempts {
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
        self.ended
            .insert(done.attempt, (self.entry.clock.now(), outcome));
        self.decide(|query, now, cx| query.on_done(now, done, cx))
    }

    fn collect(&mut self, target: Target) {
        let collect = Collect {
            query: self.id,
            first: target.first,
            flush: Duration::ZERO,
        };
        if target.node == self.entry.me {
            let owner = Arc::clone(&self.entry.owner);
            let future = async move { (target, Ok(owner.collect(collect).await)) };
            self.batches.push(Box::pin(future));
        } else if let Some(address) = peer_address(&self.entry.view.load(), target.node) {
            let call = (self.entry.peers.collect)((address, collect));
            self.batches
                .push(Box::pin(async move { (target, call.await) }));
        }
    }

    /// Cancels whatever still runs, on every owner that was sent a call.
    fn stop(&mut self) {
        let view = self.entry.view.load_full();
        let mut open: Vec<(NodeId, Vec<u16>)> = Vec::new();
        for (sent, node) in &self.sent {
            if !self.ended.contains_key(&sent.attempt) {
                push(&mut open, *node, sent.attempt);
            }
        }
        for (node, attempts) in open {
            self.send_cancel(&view, node, attempts);
        }
    }

    fn explain(&self, start: heatherrun_kernel::Time) -> v1::ExplainAnswer {
        let view = self.entry.view.load();
        let now = self.entry.clock.now();
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
                sent_us: heatherrun_kernel::time::micros(sent.at.since(start)),
                took_us: heatherrun_kernel::time::micros(end.since(sent.at)),
                outcome,
            });
        }
        v1::ExplainAnswer {
            id: self.request.trace.clone(),
            found: true,
            snapshot: self.query.snapshot().0,
            took_us: heatherrun_kernel::time::micros(now.since(start)),
            attempts,
        }
    }
}

fn push<T>(groups: &mut Vec<(NodeId, Vec<T>)>, node: NodeId, item: T) {
    match groups.iter_mut().find(|(n, _)| *n == node) {
        Some((_, items)) => items.push(item),
        None => groups.push((node, vec![item])),
    }
}

fn peer_address(view: &View, node: NodeId) -> Option<SocketAddr> {
    view.nodes.get(&node).map(|member| member.info.peers)
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

const fn class(class: v1::Class) -> Class {
    match class {
        v1::Class::Batch => Class::Batch,
        v1::Class::Normal => Class::Normal,
        v1::Class::Urgent => Class::Urgent,
    }
}

fn deadline(service: &Service, asked_ms: u32) -> Result<Duration, Box<v1::Refusal>> {
    let default = match service.limits.deadline_ms {
        0 => DEADLINE,
        ms => Duration::from_millis(u64::from(ms)),
    };
    let most = service.limits.deadline_max;
    if most > 0 && asked_ms > most {
        let detail = format!("deadline_ms {asked_ms} exceeds {most}");
        return Err(refuse::not_run(
            "bad-deadline",
            detail,
            "name a shorter deadline",
        ));
    }
    Ok(match asked_ms {
        0 => default,
        ms => Duration::from_millis(u64::from(ms)),
    })
}
