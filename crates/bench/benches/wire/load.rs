//! Searches over HTTP, so many at a time, on threads of their own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use heatherrun_ports::http_client::{Client, Route, Whose};
use heatherrun_schema::v1;
use http::{Request, StatusCode};

use crate::usage;

/// Longest run, in time.
const RUN_TIME: Duration = Duration::from_secs(2);

/// Deadline of one search.
const DEADLINE: Duration = Duration::from_secs(5);

/// Longest answer, in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// What one run brought.
#[derive(Clone, Copy, Debug, Default)]
pub struct Run {
    /// Searches answered with full coverage.
    pub whole: usize,
    /// Searches answered with less, or refused.
    pub other: usize,
    /// Time from the first search to the last answer.
    pub took: Duration,
    /// Processor time of the threads under measurement.
    pub cpu: Duration,
}

impl Run {
    /// Searches answered per second.
    pub fn rate(&self) -> f64 {
        self.answers() / self.took.as_secs_f64()
    }

    /// Processor time of one search, in microseconds.
    pub fn cpu_micros(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.answers()
    }

    #[allow(clippy::cast_precision_loss)]
    fn answers(&self) -> f64 {
        (self.whole + self.other).max(1) as f64
    }
}

/// What a run asks for.
#[derive(Clone, Debug)]
pub struct Load {
    /// Addresses, asked in turn.
    pub addresses: Vec<SocketAddr>,
    /// Service searched.
    pub service: String,
    /// Searches in all.
    pub searches: usize,
    /// Searches at a time.
    pub width: usize,
    /// Name of the threads under measurement.
    pub threads: &'static str,
}

/// Sends the searches of `load` and measures.
pub async fn run(load: &Load) -> Run {
    let client = Arc::new(Client::default());
    let next = Arc::new(AtomicUsize::new(0));
    let (start, before) = (Instant::now(), usage::cpu_of(load.threads));
    let mut workers = Vec::new();
    for _ in 0..load.width {
        let work = work(load.clone(), Arc::clone(&client), Arc::clone(&next), start);
        workers.push(tokio::spawn(work));
    }
    let mut run = Run::default();
    for worker in workers {
        let (whole, other) = worker.await.unwrap_or_default();
        run.whole += whole;
        run.other += other;
    }
    run.took = start.elapsed();
    run.cpu = usage::cpu_of(load.threads).saturating_sub(before);
    run
}

async fn work(
    load: Load,
    client: Arc<Client>,
    next: Arc<AtomicUsize>,
    start: Instant,
) -> (usize, usize) {
    let (mut whole, mut other) = (0, 0);
    while start.elapsed() < RUN_TIME {
        let turn = next.fetch_add(1, Ordering::Relaxed);
        if turn >= load.searches {
            break;
        }
        let address = load.addresses[turn % load.addresses.len()];
        if search(&client, address, load.width, &load.service).await {
            whole += 1;
        } else {
            other += 1;
        }
    }
    (whole, other)
}

/// Sends one search; true when its answer covers every shard.
pub async fn search(client: &Client, address: SocketAddr, width: usize, service: &str) -> bool {
    let ask = v1::SearchRequest {
        service: service.to_owned(),
        query: "apricot kernels, bitter, 2 t".to_owned(),
        deadline_ms: u32::try_from(DEADLINE.as_millis()).unwrap_or(u32::MAX),
        ..v1::SearchRequest::default()
    };
    let body = serde_json::to_vec(&ask).unwrap_or_default();
    let request = Request::post("/search")
        .header(http::header::HOST, "tier")
        .body(Bytes::from(body))
        .unwrap_or_default();
    let route = Route {
        address,
        connections: width,
        reply: ANSWER_BYTES,
        left: DEADLINE * 2,
        id_hash: 0,
        keeps: true,
    };
    let Ok(reply) = client.exchange(route, request, |_| Whose::Own).await else {
        return false;
    };
    let answer = serde_json::from_slice::<v1::SearchAnswer>(reply.body());
    let coverage = answer.ok().and_then(|a| a.coverage);
    reply.status() == StatusCode::OK && coverage.is_some_and(|c| c.reached == c.total)
}
