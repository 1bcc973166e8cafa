//! Callers that keep their connections, and what they got.

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

/// Time that a caller gives a request; the routes' own time is shorter.
pub const LEFT: Duration = Duration::from_millis(1_200);

/// Time after which a caller stops waiting: the request hangs.
pub const HANGS: Duration = Duration::from_secs(5);

/// Longest pause between two requests of a caller.
const MOST_PAUSE_MS: u64 = 30;

/// One request and its end.
#[derive(Debug)]
pub struct Sent {
    pub id: String,
    /// First word of its path: the route.
    pub route: &'static str,
    pub node: usize,
    pub at: Instant,
    pub ended: Instant,
    pub result: Result<Response<Bytes>, ExchangeError>,
}

/// All that callers sent.
pub type Diary = Arc<Mutex<Vec<Sent>>>;

/// Sends requests of all kinds to nodes taken at random until `ends`.
pub async fn run(seed: u64, nodes: Vec<SocketAddr>, diary: Diary, ends: Arc<AtomicBool>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let client = Client::default();
    for count in 0_u64.. {
        if ends.load(Ordering::Relaxed) {
            return;
        }
        let node = rng.random_range(0..nodes.len());
        let route = ["one", "once", "all", "moved"][rng.random_range(0..4)];
        let id = format!("c{seed}-{count}");
        send(&client, node, nodes[node], route, id, &diary).await;
        let pause = rng.random_range(0..MOST_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Sends one request and notes its end.
pub async fn send(
    client: &Client,
    node: usize,
    address: SocketAddr,
    route: &'static str,
    id: String,
    diary: &Diary,
) {
    let left = LEFT.as_millis().to_string();
    let more = [("request-id", id.as_str()), ("deadline-ms", &left)];
    let method = if route == "once" { "POST" } else { "GET" };
    let request = common::request(method, &format!("/{route}/{id}"), "", &more);
    let to = Route {
        address,
        connections: 4,
        reply: 1 << 20,
        left: HANGS,
    };
    let at = Instant::now();
    let result = client.exchange(to, request, |_| Whose::Own).await;
    diary.lock().unwrap().push(Sent {
        id,
        route,
        node,
        at,
        ended: Instant::now(),
        result,
    });
}
