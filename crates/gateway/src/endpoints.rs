//! What is asked of a node beside requests: whether it is ready, which nodes
//! to use, and its metrics.

use bytes::Bytes;
use heatherrun_kernel::routes::NodeEntry;
use heatherrun_ports::http_reply::{Fault, Reply, plain, respond};
use heatherrun_ports::http_server::Received;
use heatherrun_routing::directory;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};

use crate::state::State;

/// Path of the metrics.
const METRICS: &str = "/metrics";

/// Answers one question.
pub fn answer(state: &State, received: Result<Received, Fault>) -> Reply {
    let received = match received {
        Ok(received) => received,
        Err(fault) => return fault.reply(),
    };
    let uri = &received.head.uri;
    let path = uri.path();
    if path == state.site.ready {
        return ready(state);
    }
    if path == state.site.directory {
        return addresses(state, uri.query().unwrap_or_default());
    }
    if path == METRICS {
        return respond(StatusCode::OK, Bytes::from(state.metrics.text()));
    }
    plain(StatusCode::NOT_FOUND, "no such page on this port")
}

fn ready(state: &State) -> Reply {
    if state.is_ready() {
        return plain(StatusCode::OK, "ready");
    }
    let why = if state.is_stopping() {
        "stops"
    } else {
        "knows no configuration yet"
    };
    plain(StatusCode::SERVICE_UNAVAILABLE, why)
}

fn addresses(state: &State, query: &str) -> Reply {
    let ask = (state.site.ask)(query);
    let me = &state.me;
    let nodes = state.nodes.load();
    let others = nodes.iter().filter(|n: &&NodeEntry| n.name != me.name);
    let own = state.is_ready().then_some(me);
    let found = directory::addresses(others.chain(own), &ask);
    if found.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "no node is ready");
    }
    let body = (state.site.addresses)(&found, state.terms.load().keep);
    let mut reply: Reply = Response::new(Bytes::from(body).into());
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}
