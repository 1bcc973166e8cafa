//! Simulated callers with persistent connections, and the log of their requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use heatherrun_ports::http_client::{Client, ExchangeError, Route, Whose};
use http::Response;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::common;

/// Deadline that a caller sends with a request; the timeout of the routes is
/// shorter.
pub const REQUEST_DEADLINE: Duration = Duration::from_millis(1_200);

/// Time after which a caller gives up and the request counts as hung.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum delay between two requests of a caller.
const MAX_REQUEST_DELAY_MS: u64 = 30;

/// One request and its result.
#[derive(Debug)]
pub struct SentRequest {
    pub id: String,
    /// Route, the first segment of the path.
    pub route: &'static str,
    pub node: usize,
    pub started: Instant,
    pub ended: Instant,
    pub result: Result<Response<Bytes>, ExchangeError>,
}

/// All requests sent by the callers.
pub type RequestLog = Arc<Mutex<Vec<SentRequest>>>;

/// Sends requests to random routes and nodes until `stopped` is set.
pub async fn run_caller(
    seed: u64,
    nodes: Vec<SocketAddr>,
    request_log: RequestLog,
    stopped: Arc<AtomicBool>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let client = Client::default();
    for count in 0_u64.. {
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        let node = rng.random_range(0..nodes.len());
        let route = ["one", "once", "all", "moved"][rng.random_range(0..4)];
        let id = format!("c{seed}-{count}");
        send_request(&client, node, nodes[node], route, id, &request_log).await;
        let delay = rng.random_range(0..MAX_REQUEST_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
}

/// Sends one request and records its result.
pub async fn send_request(
    client: &Client,
    node: usize,
    address: SocketAddr,
    route: &'static str,
    id: String,
    request_log: &RequestLog,
) {
    let deadline_ms = REQUEST_DEADLINE.as_millis().to_string();
    let headers = [("request-id", id.as_str()), ("deadline-ms", &deadline_ms)];
    let method = if route == "once" { "POST" } else { "GET" };
    let request = common::request(method, &format!("/{route}/{id}"), "", &headers);
    let target = Route {
        address,
        connections: 4,
        reply: 1 << 20,
        left: HANG_TIMEOUT,
        id_hash: 0,
        keeps: true,
    };
    let started = Instant::now();
    let result = client.exchange(target, request, |_| Whose::Own).await;
    request_log.lock().unwrap().push(SentRequest {
        id,
        route,
        node,
        started,
        ended: Instant::now(),
        result,
    });
}
