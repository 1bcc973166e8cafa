//! What the socket tests share: a tier and its callers.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use heatherrun_fakes::searcher::Settings;
use heatherrun_ports::http_client::{Client, ExchangeError, Route, Whose};
use heatherrun_schema::v1;
use heatherrun_standins::local::LocalTier;
use http::{Request, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

pub const DOMAINS: [&str; 3] = ["wallis", "ticino", "zurich"];

/// Deadline of every request, in milliseconds.
const DEADLINE_MS: u32 = 10_000;

/// Tier with `nodes` nodes, the sharded service `lotes` and the pooled
/// service `recibos`.
pub async fn start(nodes: usize, shards: u16, settings: &Settings) -> LocalTier {
    let mut tier = LocalTier::start().await.unwrap();
    tier.keep_secs = 1;
    let lotes = tier
        .add_sharded("lotes", shards, &DOMAINS, settings)
        .await
        .unwrap();
    let recibos = tier
        .add_pooled("recibos", &DOMAINS, settings)
        .await
        .unwrap();
    tier.serve(nodes, &DOMAINS, vec![lotes, recibos])
        .await
        .unwrap();
    tier
}

pub fn search(query: &str) -> v1::SearchRequest {
    v1::SearchRequest {
        service: "lotes".to_owned(),
        query: query.to_owned(),
        deadline_ms: DEADLINE_MS,
        min_coverage: 100,
        ..v1::SearchRequest::default()
    }
}

pub fn request(id: &str, body: &str, once: bool) -> v1::PoolRequest {
    v1::PoolRequest {
        service: "recibos".to_owned(),
        body: body.to_owned(),
        deadline_ms: DEADLINE_MS,
        id: id.to_owned(),
        once,
        ..v1::PoolRequest::default()
    }
}

/// Sends `ask` as JSON over a connection that is kept.
pub async fn post(
    client: &Client,
    address: SocketAddr,
    path: &'static str,
    ask: &impl Serialize,
) -> Result<Response<Bytes>, ExchangeError> {
    let request = Request::post(path)
        .header(http::header::HOST, "tier")
        .body(Bytes::from(serde_json::to_vec(ask).unwrap()))
        .unwrap();
    let route = Route {
        address,
        connections: 64,
        reply: 1 << 20,
        left: Duration::from_secs(30),
        id_hash: 0,
        keeps: true,
    };
    client.exchange(route, request, |_| Whose::Own).await
}

/// The answer, or the refusal when the status says so.
pub fn read<T: DeserializeOwned>(reply: &Response<Bytes>) -> Result<T, Box<v1::Refusal>> {
    if reply.status() == StatusCode::OK {
        return Ok(serde_json::from_slice(reply.body()).unwrap());
    }
    Err(Box::new(serde_json::from_slice(reply.body()).unwrap()))
}

/// Calls that ran on the stand-ins of a service to their end.
pub fn ran(tier: &LocalTier, service: &str) -> u64 {
    let mut total = 0;
    for local in &tier.searchers {
        if local.config.name.starts_with(service) {
            total += local.searcher.counts().ran;
        }
    }
    total
}
