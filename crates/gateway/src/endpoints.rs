//! HTTP endpoints in addition to the request path: readiness check, directory
//! of node addresses, and metrics.

use bytes::Bytes;
use heatherrun_kernel::routes::NodeEntry;
use heatherrun_ports::http_reply::{Fault, Reply, plain, respond};
use heatherrun_ports::http_server::Received;
use heatherrun_routing::directory;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};

use crate::state::State;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// Handles one request to the endpoints.
pub fn handle_request(state: &State, received: Result<Received, Fault>) -> Reply {
    let received = match received {
        Ok(received) => received,
        Err(fault) => return fault.reply(),
    };
    let uri = &received.head.uri;
    let path = uri.path();
    if path == state.site.ready_path {
        return readiness_reply(state);
    }
    if path == state.site.directory_path {
        return directory_reply(state, uri.query().unwrap_or_default());
    }
    if path == METRICS_PATH {
        return respond(StatusCode::OK, Bytes::from(state.encode_metrics()));
    }
    plain(StatusCode::NOT_FOUND, "no such path on this port")
}

fn readiness_reply(state: &State) -> Reply {
    if state.is_ready() {
        return plain(StatusCode::OK, "ready");
    }
    let reason = if state.is_stopping() {
        "stops"
    } else {
        "no configuration received yet"
    };
    plain(StatusCode::SERVICE_UNAVAILABLE, reason)
}

fn directory_reply(state: &State, query: &str) -> Reply {
    let lookup = (state.site.parse_query)(query);
    let own_entry = &state.own_entry;
    let serving = state.serving.load();
    let is_ready = state.is_ready();
    let nodes = serving
        .iter()
        .filter(|n: &&NodeEntry| is_ready || n.name != own_entry.name);
    let addresses = directory::addresses(nodes, &lookup, state.next_lookup());
    if addresses.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "no node is ready");
    }
    let body = (state.site.encode_addresses)(&addresses, state.deployment.load().directory_ttl);
    let mut reply: Reply = Response::new(Bytes::from(body).into());
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}
