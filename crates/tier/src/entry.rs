//! Driver of the entry's side: handles a caller's request from its admission
//! to its answer.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use heatherrun_kernel::message::{Class, Ran};
use heatherrun_kernel::port::Peers;
use heatherrun_kernel::time::micros;
use heatherrun_kernel::view::Service;
use heatherrun_kernel::{Clock, NodeId, QueryId, ServiceId, ViewCell};
use heatherrun_policy::admission::{Admission, AdmissionPlace};
use heatherrun_policy::budget::Budget;
use heatherrun_policy::fleet::Fleet;
use heatherrun_policy::hedge::Hedges;
use heatherrun_policy::query::{Merged, Missing, Verdict};
use heatherrun_policy::recent_success::RecentSuccesses;
use heatherrun_schema::v1;

use crate::claim::OnceAnswer;
use crate::once::OnceStore;
use crate::outcome::{self, EarlyRefusal, EndedRequest, Outcomes, SHED};
use crate::owner::Owner;
use crate::query_driver::QueryDriver;
use crate::refuse;
use crate::request::{self, Request};
use crate::suspects;
use crate::trace::Traces;

/// Most requests in progress at once on one node, and in one service there.
const MAX_ACTIVE_REQUESTS: u32 = 2_000;

/// Hedges and retries allowed per hundred first attempts when the service sets
/// no limit.
const DEFAULT_EXTRA_PERCENT: u32 = 5;

type BoxedRefusal = Box<v1::Refusal>;

/// State shared by the queries of one service.
pub(crate) struct ServiceState {
    /// Budget of hedges and retries.
    pub budget: Budget,
    /// Hedge delays learned from call latencies.
    pub hedges: Hedges,
    /// Admission control over the requests of the service.
    pub admission: Admission,
    extra_percent: u32,
}

/// An answered request.
pub(crate) struct ServedRequest {
    /// Id that identifies the request in logs and traces.
    pub id: String,
    /// Merged answer.
    pub merged: Merged,
    /// Calls sent.
    pub attempts: u16,
}

/// Handles requests from callers.
pub struct Entry {
    pub(crate) clock: Clock,
    pub(crate) own_id: NodeId,
    pub(crate) view: Arc<ViewCell>,
    pub(crate) peers: Peers,
    pub(crate) owner: Arc<Owner>,
    pub(crate) fleet: Fleet,
    pub(crate) recent_successes: RecentSuccesses,
    pub(crate) admission: Admission,
    service_states: ArcSwap<HashMap<ServiceId, Arc<ServiceState>>>,
    traces: Traces,
    outcomes: Outcomes,
    once: OnceStore,
    incarnation: u64,
    next_seq: AtomicU64,
}

impl Entry {
    /// Entry of node `own_id`. `started_ms` is the Unix time in milliseconds at
    /// which the clock started; it also distinguishes incarnations of the
    /// process.
    #[must_use]
    pub fn new(
        clock: Clock,
        own_id: NodeId,
        view: Arc<ViewCell>,
        peers: Peers,
        owner: Arc<Owner>,
        started_ms: u64,
    ) -> Arc<Self> {
        let right_fn = Arc::clone(owner.right_fn());
        let propagate =
            suspects::gossip_to_peers(own_id, Arc::clone(&view), peers.clone(), started_ms);
        owner.suspects().set_propagate(propagate);
        Arc::new(Self {
            once: OnceStore::new(clock, Arc::clone(&view), started_ms, right_fn),
            clock,
            own_id,
            view,
            peers,
            owner,
            fleet: Fleet::default(),
            recent_successes: RecentSuccesses::default(),
            service_states: ArcSwap::default(),
            admission: Admission::new(MAX_ACTIVE_REQUESTS),
            traces: Traces::default(),
            outcomes: Outcomes::default(),
            incarnation: own_id.0 ^ started_ms,
            next_seq: AtomicU64::new(1),
        })
    }

    /// Records of once-only requests that this node holds.
    #[must_use]
    pub const fn once(&self) -> &OnceStore {
        &self.once
    }

    /// Records how requests ended.
    #[must_use]
    pub const fn outcomes(&self) -> &Outcomes {
        &self.outcomes
    }

    /// Traces of recent queries.
    #[must_use]
    pub const fn traces(&self) -> &Traces {
        &self.traces
    }

    /// Requests in progress, and load in per cent.
    #[must_use]
    pub fn load(&self) -> (u32, u8) {
        (self.admission.occupied(), self.admission.load())
    }

    /// Answers one search.
    ///
    /// # Errors
    /// A refusal that says whether any part of the search ran.
    pub async fn search(
        &self,
        message: v1::SearchRequest,
    ) -> Result<v1::SearchAnswer, BoxedRefusal> {
        let start = self.clock.now();
        let id = message.id.clone();
        let mut request = request::check_search(&self.view.load(), start, message);
        if let Err(refused) = &mut request {
            outcome::record_rejected(refused, id);
        }
        let request = request?;
        let served = self.serve(request).await?;
        let merged = served.merged;
        let missing = |m: &Missing| v1::Missing {
            shard: u32::from(m.shard.0),
            reason: format!("{:?}", m.failure),
        };
        let lot = |lot: heatherrun_kernel::message::Lot| v1::Lot {
            id: lot.id,
            score: lot.score,
            text: lot.text,
        };
        Ok(v1::SearchAnswer {
            id: served.id,
            snapshot: merged.snapshot.0,
            coverage: Some(v1::Coverage {
                reached: u32::try_from(merged.covered_shards).unwrap_or(u32::MAX),
                total: u32::try_from(merged.total).unwrap_or(u32::MAX),
                missing: merged.missing.iter().map(missing).collect(),
            }),
            lots: merged.lots.into_iter().map(lot).collect(),
            attempts: u32::from(served.attempts),
            took_us: micros(self.clock.now().since(start)),
        })
    }

    /// Answers one request to a pooled service. A once-only request runs to its
    /// end even if its caller disconnects.
    ///
    /// # Errors
    /// A refusal that says whether the request may have run.
    pub async fn request(
        self: &Arc<Self>,
        message: v1::PoolRequest,
    ) -> Result<v1::PoolAnswer, BoxedRefusal> {
        let start = self.clock.now();
        let once = message.once;
        let id = message.id.clone();
        let mut request = request::check_pooled(&self.view.load(), start, message);
        if let Err(refused) = &mut request {
            outcome::record_rejected(refused, id);
        }
        let mut answer = if once {
            let request = request.map_err(refuse::mark_maybe_ran)?;
            self.request_once(request).await?
        } else {
            pool_answer(self.serve(request?).await?)
        };
        answer.took_us = micros(self.clock.now().since(start));
        Ok(answer)
    }

    async fn request_once(
        self: &Arc<Self>,
        request: Request,
    ) -> Result<v1::PoolAnswer, BoxedRefusal> {
        let id = request.trace_id.clone();
        let entry = Arc::clone(self);
        let once_task = tokio::spawn(async move { entry.serve_once(request).await });
        let served = once_task.await.unwrap_or_else(|_| {
            let remedy = "repeat with the same id";
            Err(refuse::refusal(
                Ran::Unknown,
                "stopped",
                "the node is stopping",
                remedy,
            ))
        });
        match served {
            Ok(OnceAnswer::Ran(served)) => Ok(pool_answer(served)),
            Ok(OnceAnswer::Replayed(body)) => Ok(v1::PoolAnswer {
                id,
                body: String::from_utf8_lossy(&body).into_owned(),
                replayed: true,
                ..v1::PoolAnswer::default()
            }),
            Err(mut refused) => {
                refused.id = id;
                Err(refused)
            }
        }
    }

    /// Admits a request and runs it.
    async fn serve(&self, mut request: Request) -> Result<ServedRequest, BoxedRefusal> {
        let service_state = self.service_state(&request.service);
        let Some(_places) = self.admit(&service_state, request.class) else {
            self.outcomes.record_early_refusal(&EarlyRefusal {
                now: self.clock.now(),
                service: &request.service,
                id: &request.trace_id,
                kind: SHED,
                ran: Ran::NotRun,
            });
            let detail = "this node is at its limit for the class";
            let mut refused = refuse::not_run("overloaded", detail, "retry after retry_ms");
            refused.retry_ms = refuse::RETRY_MS;
            refused.id = request.trace_id;
            return Err(refused);
        };
        let id = self.next_id();
        if request.trace_id.is_empty() {
            request.trace_id = id.to_string();
        }
        self.run(id, &request).await
    }

    /// Admits a request at the node and in its service; none when one of them
    /// is at its limit.
    pub(crate) fn admit<'a>(
        &'a self,
        service_state: &'a ServiceState,
        class: Class,
    ) -> Option<(AdmissionPlace<'a>, AdmissionPlace<'a>)> {
        let node = self.admission.try_enter(class)?;
        let service = service_state.admission.try_enter(class)?;
        Some((node, service))
    }

    /// Id for the next query.
    pub(crate) fn next_id(&self) -> QueryId {
        QueryId {
            entry: self.incarnation,
            seq: self.next_seq.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Runs an admitted request to its end and records the outcome.
    pub(crate) async fn run(
        &self,
        id: QueryId,
        request: &Request,
    ) -> Result<ServedRequest, BoxedRefusal> {
        log::debug!(
            id = request.trace_id.as_str(), service = request.service.name.as_str();
            "request.admitted"
        );
        let mut driver = QueryDriver::new(self, id, self.incarnation ^ id.seq, request);
        let verdict = driver.run().await;
        let attempts = driver.attempts();
        let trace = driver.explain();
        drop(driver);
        let now = self.clock.now();
        self.outcomes.record_end(&EndedRequest {
            now,
            took: now.since(request.start),
            service: &request.service,
            view: &self.view.load(),
            verdict: &verdict,
            trace: &trace,
        });
        self.traces.push(trace);
        let trace_id = request.trace_id.clone();
        let service_state = self.service_state(&request.service);
        service_state
            .admission
            .record_impact(self.clock.now(), verdict.load_impact());
        match verdict {
            Verdict::Answer(merged) => Ok(ServedRequest {
                id: trace_id,
                merged,
                attempts,
            }),
            Verdict::Refused {
                ran,
                failure,
                coverage,
            } => {
                let mut refused = refuse::failed(ran, failure, coverage);
                refused.id = trace_id;
                Err(refused)
            }
        }
    }

    /// Shared state of a service; replaced when its limit on extra calls or its
    /// number of shards changes.
    pub(crate) fn service_state(&self, service: &Service) -> Arc<ServiceState> {
        let extra_percent = match service.limits.extra_percent {
            0 => DEFAULT_EXTRA_PERCENT,
            set => set,
        };
        let shards = service.shards.len();
        let is_current =
            |s: &ServiceState| s.extra_percent == extra_percent && s.hedges.shards() == shards;
        if let Some(existing) = self.service_states.load().get(&service.id)
            && is_current(existing)
        {
            return Arc::clone(existing);
        }
        let created = Arc::new(ServiceState {
            budget: Budget::new(extra_percent),
            hedges: Hedges::new(shards),
            admission: Admission::new(MAX_ACTIVE_REQUESTS),
            extra_percent,
        });
        self.service_states.rcu(|old| {
            let mut next = HashMap::clone(old);
            let current = next
                .entry(service.id)
                .or_insert_with(|| Arc::clone(&created));
            if !is_current(current) {
                *current = Arc::clone(&created);
            }
            next
        });
        created
    }
}

fn pool_answer(served: ServedRequest) -> v1::PoolAnswer {
    v1::PoolAnswer {
        id: served.id,
        body: String::from_utf8_lossy(&served.merged.body).into_owned(),
        attempts: u32::from(served.attempts),
        ..v1::PoolAnswer::default()
    }
}
