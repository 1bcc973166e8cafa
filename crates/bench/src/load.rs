//! Clients that offer requests at a given rate, whatever the answers.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use heatherrun_kernel::Snapshot;
use heatherrun_kernel::message::Class;
use heatherrun_schema::v1;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::baseline::Baseline;
use crate::cell::{Cell, CellNode};
use crate::tally::{Answer, Kind, Outcome, Tally, Told};

/// Time past its deadline after which a client calls a request lost.
const GRACE: Duration = Duration::from_millis(50);

/// Lots that a search asks for, more than there are.
const LOTS: u32 = 1_000;

/// Who serves the requests.
#[derive(Clone)]
pub enum Server {
    /// The tier.
    Tier,
    /// A baseline.
    Baseline(Arc<Baseline>),
}

/// A rate kept for some time.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Requests per second.
    pub rate: f64,
    /// For how long.
    pub span: Duration,
}

/// Requests to one service.
#[derive(Clone, Debug)]
pub struct Load {
    /// Service.
    pub service: &'static str,
    /// How they are sent.
    pub kind: Kind,
    /// Deadline.
    pub deadline: Duration,
    /// Rates, one after the other.
    pub phases: Vec<Phase>,
}

/// Offers `load` and returns the tally once all requests have ended.
pub async fn offer(cell: Arc<Cell>, server: Server, load: Load, tally: Tally) -> Tally {
    let tally = Arc::new(Mutex::new(tally));
    let mut rng = SmallRng::seed_from_u64(cell.plan.seed ^ hash(load.service));
    let mut clients = JoinSet::new();
    let mut at = tokio::time::Instant::now();
    let mut seq = 0_u64;
    for phase in &load.phases {
        let end = at + phase.span;
        loop {
            let draw: f64 = rng.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-draw.ln() / phase.rate);
            if at >= end {
                at = end;
                break;
            }
            tokio::time::sleep_until(at).await;
            seq += 1;
            let client = Client {
                cell: Arc::clone(&cell),
                server: server.clone(),
                node: rng.random_range(0..cell.nodes.len()),
                service: load.service,
                kind: load.kind,
                class: class(&mut rng),
                deadline: load.deadline,
                body: format!("{}-{seq}", load.service),
            };
            let tally = Arc::clone(&tally);
            clients.spawn(async move {
                let cell = Arc::clone(&client.cell);
                let outcome = client.ask().await;
                let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                tally.take(&cell, outcome);
            });
        }
    }
    while clients.join_next().await.is_some() {}
    // Cancelled work ends before the truth is read.
    tokio::time::sleep(load.deadline).await;
    let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner).clone();
    tally.close(&cell);
    tally
}

fn hash(name: &str) -> u64 {
    heatherrun_kernel::ServiceId::from_name(name).0
}

/// One request of one client.
pub struct Client {
    /// Cell.
    pub cell: Arc<Cell>,
    /// Who serves it.
    pub server: Server,
    /// Node that the client connects to.
    pub node: usize,
    /// Service.
    pub service: &'static str,
    /// How it is sent.
    pub kind: Kind,
    /// Class.
    pub class: Class,
    /// Deadline.
    pub deadline: Duration,
    /// Body.
    pub body: String,
}

impl Client {
    /// Sends the request and waits for its end.
    pub async fn ask(self) -> Outcome {
        let start = self.cell.clock.now();
        let patience = self.deadline + self.cell.plan.delays.client * 2 + GRACE;
        let told = tokio::time::timeout(patience, self.round_trip()).await;
        Outcome {
            start,
            end: self.cell.clock.now(),
            service: self.service,
            kind: self.kind,
            class: self.class,
            told: told.unwrap_or(Told::Nothing),
            body: self.body,
        }
    }

    async fn round_trip(&self) -> Told {
        tokio::time::sleep(self.cell.plan.delays.client).await;
        let node = &self.cell.nodes[self.node];
        let told = match (&self.server, self.kind) {
            (Server::Tier, Kind::Search) => self.search(node).await,
            (Server::Tier, _) => self.request(node).await,
            (Server::Baseline(baseline), _) => {
                let shards = self.cell.shards(self.service);
                baseline.serve(&self.cell, self, &shards).await
            }
        };
        tokio::time::sleep(self.cell.plan.delays.client).await;
        told
    }

    async fn search(&self, node: &CellNode) -> Told {
        let ask = v1::SearchRequest {
            service: self.service.to_owned(),
            query: self.body.clone(),
            limit: LOTS,
            deadline_ms: millis(self.deadline),
            class: name_class(self.class) as i32,
            ..v1::SearchRequest::default()
        };
        match node.entry.search(ask).await {
            Ok(answer) => Told::Answer(searched(answer)),
            Err(refusal) => refused(&refusal),
        }
    }

    async fn request(&self, node: &CellNode) -> Told {
        let ask = v1::PoolRequest {
            service: self.service.to_owned(),
            body: self.body.clone(),
            deadline_ms: millis(self.deadline),
            class: name_class(self.class) as i32,
            once: self.kind == Kind::Once,
            id: self.body.clone(),
        };
        match node.entry.request(ask).await {
            Ok(answer) => Told::Answer(Answer {
                snapshot: Snapshot(1),
                reached: 1,
                total: 1,
                missing: Vec::new(),
                lots: vec![(String::new(), answer.body)],
                attempts: answer.attempts as usize,
            }),
            Err(refusal) => refused(&refusal),
        }
    }
}

/// Draws a class: one request in five is urgent, three in ten can wait.
fn class(rng: &mut SmallRng) -> Class {
    match rng.random_range(0..10) {
        0..2 => Class::Urgent,
        2..5 => Class::Batch,
        _ => Class::Normal,
    }
}

const fn name_class(class: Class) -> v1::Class {
    match class {
        Class::Batch => v1::Class::Batch,
        Class::Normal => v1::Class::Normal,
        Class::Urgent => v1::Class::Urgent,
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn searched(answer: v1::SearchAnswer) -> Answer {
    let coverage = answer.coverage.unwrap_or_default();
    Answer {
        snapshot: Snapshot(answer.snapshot),
        reached: coverage.reached as usize,
        total: coverage.total as usize,
        missing: coverage.missing.iter().map(|m| m.shard as usize).collect(),
        lots: answer.lots.into_iter().map(|l| (l.id, l.text)).collect(),
        attempts: answer.attempts as usize,
    }
}

fn refused(refusal: &v1::Refusal) -> Told {
    match refusal.ran() {
        v1::Ran::NotRun => Told::NotRun(refusal.kind.clone()),
        v1::Ran::Unknown => Told::Unknown(refusal.kind.clone()),
    }
}
