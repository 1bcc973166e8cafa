//! The linear baseline: an entry that calls every searcher itself, each call
//! on a connection of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use heatherrun_kernel::message::TargetReply;
use heatherrun_ports::http_reply::{Fault, Reply, json};
use heatherrun_ports::http_server::{self, Limits, Phase, Received};
use heatherrun_ports::wire;
use heatherrun_schema::v1;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Longest body of a request, in bytes.
const BODY_BYTES: usize = 64 * 1024;

/// Identifier of the next call; the searchers cancel one that comes twice.
static NEXT: AtomicU64 = AtomicU64::new(1);

/// Lots returned.
const LOTS: usize = 10;

/// Serves searches over `searchers`, one for each shard.
pub async fn serve(
    listener: TcpListener,
    searchers: Arc<Vec<SocketAddr>>,
    phase: watch::Receiver<Phase>,
) {
    http_server::serve(
        listener,
        Limits::new(BODY_BYTES),
        phase,
        move |received, _| {
            let searchers = Arc::clone(&searchers);
            async move { answer(&searchers, received).await }
        },
    )
    .await;
}

async fn answer(searchers: &[SocketAddr], received: Result<Received, Fault>) -> Reply {
    let asked = received.map(|r| serde_json::from_slice::<v1::SearchRequest>(&r.body));
    let Ok(Ok(ask)) = asked else {
        return Fault::BadHead.reply();
    };
    let calls = searchers.iter().enumerate();
    let calls = calls.map(|(shard, at)| search(*at, shard, &ask.query));
    let mut calls: FuturesUnordered<_> = calls.collect();
    let mut lots = Vec::new();
    let mut reached = 0;
    while let Some(reply) = calls.next().await {
        let Ok(reply) = reply else {
            continue;
        };
        reached += 1;
        lots.extend(reply.lots);
    }
    lots.sort_by(|a, b| b.score.total_cmp(&a.score));
    lots.truncate(LOTS);
    let lot = |lot: heatherrun_kernel::message::Lot| v1::Lot {
        id: lot.id,
        score: lot.score,
        text: lot.text,
    };
    let answer = v1::SearchAnswer {
        lots: lots.into_iter().map(lot).collect(),
        coverage: Some(v1::Coverage {
            reached,
            total: u32::try_from(searchers.len()).unwrap_or(u32::MAX),
            missing: Vec::new(),
        }),
        ..v1::SearchAnswer::default()
    };
    json(StatusCode::OK, &answer)
}

async fn search(at: SocketAddr, shard: usize, query: &str) -> anyhow::Result<TargetReply> {
    let stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::post("/call")
        .header(http::header::HOST, "target")
        .header(&wire::CALL, NEXT.fetch_add(1, Ordering::Relaxed))
        .header(&wire::KIND, "search")
        .header(&wire::SHARD, shard)
        .body(Full::new(Bytes::copy_from_slice(query.as_bytes())))?;
    let exchange = async {
        let reply = sender.send_request(request).await?;
        let body = reply.into_body().collect().await?.to_bytes();
        anyhow::Ok(wire::decode_reply(&body)?)
    };
    tokio::pin!(exchange);
    tokio::select! {
        biased;
        reply = &mut exchange => return reply,
        _ = connection => {}
    }
    exchange.await
}
