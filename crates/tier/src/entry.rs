//! Driver of the entry's side: one caller's request from its admission to
//! its answer.

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
use heatherrun_policy::admission::{Admission, Place};
use heatherrun_policy::budget::Budget;
use heatherrun_policy::fleet::Fleet;
use heatherrun_policy::hedge::Hedges;
use heatherrun_policy::proof::Proofs;
use heatherrun_policy::query::{Merged, Missing, Verdict};
use heatherrun_schema::v1;

use crate::claim::OnceServed;
use crate::drive::Drive;
use crate::once::Once;
use crate::outcome::{self, Early, Ended, Outcomes, SHED};
use crate::owner::Owner;
use crate::refuse;
use crate::request::{self, Request};
use crate::suspects;
use crate::trace::Traces;

/// Requests that one node works on at once.
const PLACES: u32 = 2_000;

/// Extra calls allowed when the service names no limit, in per cent.
const EXTRA_PERCENT: u32 = 5;

type Refused = Box<v1::Refusal>;

/// What the queries of one service share.
pub(crate) struct Shared {
    /// Budget of hedges and retries.
    pub budget: Budget,
    /// Learned hedge delays.
    pub hedges: Hedges,
    /// Requests of the service in work.
    pub admission: Admission,
    percent: u32,
}

/// A request that was answered.
pub(crate) struct Served {
    /// Name that follows the request through logs.
    pub id: String,
    /// Answer.
    pub merged: Merged,
    /// Calls sent.
    pub attempts: u16,
}

/// Takes requests from callers.
pub struct Entry {
    pub(crate) clock: Clock,
    pub(crate) me: NodeId,
    pub(crate) view: Arc<ViewCell>,
    pub(crate) peers: Peers,
    pub(crate) owner: Arc<Owner>,
    pub(crate) fleet: Fleet,
    pub(crate) proofs: Proofs,
    pub(crate) admission: Admission,
    shared: ArcSwap<HashMap<ServiceId, Arc<Shared>>>,
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
            proofs: Proofs::default(),
            shared: ArcSwap::default(),
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

    /// What requests came to.
    #[must_use]
    pub const fn outcomes(&self) -> &Outcomes {
        &self.outcomes
    }

    /// Traces of recent queries.
    #[must_use]
    pub const fn traces(&self) -> &Traces {
        &self.traces
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
    pub async fn search(&self, ask: v1::SearchRequest) -> Result<v1::SearchAnswer, Refused> {
        let start = self.clock.now();
        let id = ask.id.clone();
        let mut request = request::search(&self.view.load(), start, ask);
        if let Err(refused) = &mut request {
            outcome::reject(refused, id);
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
                reached: u32::try_from(merged.reached).unwrap_or(u32::MAX),
                total: u32::try_from(merged.total).unwrap_or(u32::MAX),
                missing: merged.missing.iter().map(missing).collect(),
            }),
            lots: merged.lots.into_iter().map(lot).collect(),
            attempts: u32::from(served.attempts),
            took_us: micros(self.clock.now().since(start)),
        })
    }

    /// Answers one request to a pooled service. A once-only request is run to
    /// its end also when its caller goes away.
    ///
    /// # Errors
    /// A refusal that says whether the request may have run.
    pub async fn request(
        self: &Arc<Self>,
        ask: v1::PoolRequest,
    ) -> Result<v1::PoolAnswer, Refused> {
        let start = self.clock.now();
        let once = ask.once;
        let id = ask.id.clone();
        let mut request = request::pooled(&self.view.load(), start, ask);
        if let Err(refused) = &mut request {
            outcome::reject(refused, id);
        }
        let mut answer = if once {
            let request = request.map_err(refuse::unknown_before_claim)?;
            self.request_once(request).await?
        } else {
            answer(self.serve(request?).await?)
        };
        answer.took_us = micros(self.clock.now().since(start));
        Ok(answer)
    }

    async fn request_once(self: &Arc<Self>, request: Request) -> Result<v1::PoolAnswer, Refused> {
        let id = request.trace.clone();
        let entry = Arc::clone(self);
        let running = tokio::spawn(async move { entry.serve_once(request).await });
        let served = running.await.unwrap_or_else(|_| {
            let remedy = "repeat with the same id";
            Err(refuse::refusal(
                Ran::Unknown,
                "stopped",
                "the node stops",
                remedy,
            ))
        });
        match served {
            Ok(OnceServed::Ran(served)) => Ok(answer(served)),
            Ok(OnceServed::Replayed(body)) => Ok(v1::PoolAnswer {
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
    async fn serve(&self, mut request: Request) -> Result<Served, Refused> {
        let shared = self.shared(&request.service);
        let Some(_places) = self.admit(&shared, request.class) else {
            self.outcomes.refused_early(&Early {
                now: self.clock.now(),
                service: &request.service,
                id: &request.trace,
                kind: SHED,
                ran: Ran::NotRun,
            });
            let detail = "this node is at its limit for the class";
            let mut refused = refuse::not_run("overloaded", detail, "come again after retry_ms");
            refused.retry_ms = refuse::RETRY_MS;
            refused.id = request.trace;
            return Err(refused);
        };
        let id = self.next_id();
        if request.trace.is_empty() {
            request.trace = id.to_string();
        }
        self.run(id, &request).await
    }

    /// Takes a place at the node and one of the service.
    pub(crate) fn admit<'a>(
        &'a self,
        shared: &'a Shared,
        class: Class,
    ) -> Option<(Place<'a>, Place<'a>)> {
        let node = self.admission.enter(class)?;
        let service = shared.admission.enter(class)?;
        Some((node, service))
    }

    /// Names the next query.
    pub(crate) fn next_id(&self) -> QueryId {
        QueryId {
            entry: self.run,
            seq: self.seq.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Runs an admitted request to its verdict.
    pub(crate) async fn run(&self, id: QueryId, request: &Request) -> Result<Served, Refused> {
        log::debug!(
            id = request.trace.as_str(), service = request.service.name.as_str();
            "request.admitted"
        );
        let mut drive = Drive::new(self, id, self.run ^ id.seq, request);
        let verdict = drive.run().await;
        let attempts = drive.attempts();
        let trace = drive.explain();
        drop(drive);
        let now = self.clock.now();
        self.outcomes.ended(&Ended {
            now,
            took: now.since(request.start),
            service: &request.service,
            view: &self.view.load(),
            verdict: &verdict,
            trace: &trace,
        });
        self.traces.keep(trace);
        let name = request.trace.clone();
        let shared = self.shared(&request.service);
        shared.admission.note(self.clock.now(), verdict.strain());
        match verdict {
            Verdict::Answer(merged) => Ok(Served {
                id: name,
                merged,
                attempts,
            }),
            Verdict::Refused {
                ran,
                failure,
                reached,
            } => {
                let mut refused = refuse::failed(ran, failure, reached);
                refused.id = name;
                Err(refused)
            }
        }
    }

    /// What the queries of a service share; made anew when its limit or its
    /// number of shards changes.
    pub(crate) fn shared(&self, service: &Service) -> Arc<Shared> {
        let percent = match service.limits.extra_percent {
            0 => EXTRA_PERCENT,
            set => set,
        };
        let shards = service.shards.len();
        let fits = |s: &Shared| s.percent == percent && s.hedges.shards() == shards;
        if let Some(known) = self.shared.load().get(&service.id)
            && fits(known)
        {
            return Arc::clone(known);
        }
        let made = Arc::new(Shared {
            budget: Budget::new(percent),
            hedges: Hedges::new(shards),
            admission: Admission::new(PLACES),
            percent,
        });
        self.shared.rcu(|old| {
            let mut next = HashMap::clone(old);
            let current = next.entry(service.id).or_insert_with(|| Arc::clone(&made));
            if !fits(current) {
                *current = Arc::clone(&made);
            }
            next
        });
        made
    }
}

fn answer(served: Served) -> v1::PoolAnswer {
    v1::PoolAnswer {
        id: served.id,
        body: String::from_utf8_lossy(&served.merged.body).into_owned(),
        attempts: u32::from(served.attempts),
        ..v1::PoolAnswer::default()
    }
}
