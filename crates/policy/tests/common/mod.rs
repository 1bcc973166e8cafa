//! Test service and the state that an entry keeps, shared by the tests of
//! queries.
#![allow(dead_code, clippy::unnecessary_wraps)]

use std::sync::Arc;
use std::time::Duration;

use heatherrun_kernel::message::{
    CallError, CallKind, CallOutcome, CallResult, Failure, Lot, OwnerReport, TargetReply,
    TargetReport,
};
use heatherrun_kernel::view::Service;
use heatherrun_kernel::{MapRev, ServiceId, Snapshot, TargetId, Time};
use heatherrun_policy::budget::Budget;
use heatherrun_policy::fleet::Fleet;
use heatherrun_policy::hedge::Hedges;
use heatherrun_policy::marks::Level;
use heatherrun_policy::query::{Action, Context, Query, QuerySpec, SentCall};
use heatherrun_schema::v1;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub const HEDGE_DELAY: Duration = Duration::from_millis(20);

/// Service whose targets are numbered `shard * 10 + replica`.
pub fn service(shards: u64, replicas: u64, map: u64) -> Arc<Service> {
    let shard = |s: u64| (0..replicas).map(|r| TargetId(s * 10 + r)).collect();
    Arc::new(Service {
        id: ServiceId(1),
        name: "lotes".to_owned(),
        sharded: shards > 1,
        shards: (0..shards).map(shard).collect(),
        map: MapRev(map),
        limits: v1::Limits::default(),
        objectives: v1::Objectives::default(),
    })
}

pub fn spec(service: &Arc<Service>, kind: CallKind) -> QuerySpec {
    QuerySpec {
        service: Arc::clone(service),
        kind,
        deadline: Time::from_millis(1_000),
        limit: 1_000,
        min_coverage: 100,
        hedge_delay: HEDGE_DELAY,
        confirmed: true,
        fingerprint: 7,
    }
}

/// State that an entry keeps in addition to the query.
pub struct EntryState {
    pub fleet: Fleet,
    pub budget: Budget,
    pub hedges: Hedges,
    pub current: Arc<Service>,
    pub level: Level,
    pub rng: SmallRng,
}

impl EntryState {
    pub fn new(service: &Arc<Service>) -> Self {
        Self {
            fleet: Fleet::default(),
            budget: Budget::new(5),
            hedges: Hedges::default(),
            current: Arc::clone(service),
            level: Level::Clear,
            rng: SmallRng::seed_from_u64(1),
        }
    }

    pub fn with_context<T>(&mut self, step: impl FnOnce(&mut Context<'_, SmallRng>) -> T) -> T {
        let mut cx = Context {
            fleet: &self.fleet,
            budget: &self.budget,
            hedges: &self.hedges,
            current: Some(&self.current),
            is_usable: &|_| true,
            level: self.level,
            rng: &mut self.rng,
        };
        step(&mut cx)
    }

    pub fn end_call(
        &mut self,
        query: &mut Query,
        now: Time,
        attempt: u16,
        result: CallResult,
    ) -> Vec<Action> {
        let done = CallOutcome {
            attempt,
            result,
            took: Duration::ZERO,
            report: OwnerReport::default(),
        };
        self.with_context(|cx| query.on_done(now, done, cx))
    }
}

/// Reply with a single lot, which names the shard, the attempt and the
/// snapshot.
pub fn reply(sent: &SentCall, snapshot: u64, map: u64) -> CallResult {
    Ok(TargetReply {
        snapshot: Snapshot(snapshot),
        map: MapRev(map),
        lots: vec![Lot {
            id: format!("{}-{}", sent.shard, sent.attempt),
            score: 1.0,
            text: snapshot.to_string(),
        }],
        body: vec![1],
        report: TargetReport::default(),
    })
}

pub const fn failed_not_run(failure: Failure) -> CallResult {
    Err(CallError::not_run(failure))
}

pub const fn failed_unknown(failure: Failure) -> CallResult {
    Err(CallError::unknown(failure))
}

pub fn sent_calls(actions: &[Action]) -> Vec<SentCall> {
    let mut calls = Vec::new();
    for action in actions {
        if let Action::Send(sent) = action {
            calls.push(*sent);
        }
    }
    calls
}
