//! A caller of the tier, over HTTP and JSON on connections that it keeps.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use heatherrun_ports::http_client::{Client, Route, Whose};
use heatherrun_schema::v1;
use http::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{POOLED, SHARDED};

/// Deadline of every request, in milliseconds.
const DEADLINE_MS: u32 = 2_000;

/// Longest wait for an answer.
const WAIT: Duration = Duration::from_secs(10);

/// Longest answer, in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// Connections to one node.
const CONNECTIONS: usize = 16;

/// The caller.
#[derive(Default)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Addresses that serve `service`.
    pub async fn addresses(
        &self,
        node: SocketAddr,
        service: &str,
    ) -> anyhow::Result<v1::AddressesAnswer> {
        let path = format!("/addresses?service={service}");
        self.send(node, Method::GET, &path, Bytes::new()).await
    }

    /// Searches all shards.
    pub async fn search(&self, node: SocketAddr, query: &str) -> anyhow::Result<v1::SearchAnswer> {
        let ask = v1::SearchRequest {
            service: SHARDED.to_owned(),
            query: query.to_owned(),
            deadline_ms: DEADLINE_MS,
            ..v1::SearchRequest::default()
        };
        self.post(node, "/search", &ask).await
    }

    /// Sends a request to the pooled service; one with an id runs once.
    pub async fn request(
        &self,
        node: SocketAddr,
        id: &str,
        body: &str,
    ) -> anyhow::Result<v1::PoolAnswer> {
        let ask = v1::PoolRequest {
            service: POOLED.to_owned(),
            body: body.to_owned(),
            deadline_ms: DEADLINE_MS,
            id: id.to_owned(),
            once: !id.is_empty(),
            ..v1::PoolRequest::default()
        };
        self.post(node, "/request", &ask).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        node: SocketAddr,
        path: &str,
        ask: &impl Serialize,
    ) -> anyhow::Result<T> {
        let body = Bytes::from(serde_json::to_vec(ask)?);
        self.send(node, Method::POST, path, body).await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<T> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, node.to_string())
            .body(body)?;
        let route = Route {
            address: node,
            connections: CONNECTIONS,
            reply: ANSWER_BYTES,
            left: WAIT,
            id_hash: 0,
            keeps: true,
        };
        let reply = self.client.exchange(route, request, |_| Whose::Own).await?;
        if reply.status() != StatusCode::OK {
            let refused = String::from_utf8_lossy(reply.body());
            anyhow::bail!("refused with {}: {refused}", reply.status());
        }
        serde_json::from_slice(reply.body()).context("the answer has another form")
    }
}
