//! The platform's key-value service and VM list on a socket.

use heatherrun_fakes::store::Store;
use heatherrun_kernel::port::{StoreCall, StoreError};
use heatherrun_ports::http_reply::{Fault, Reply, abort, json, plain};
use heatherrun_ports::http_server::{self, Limits, Phase, Received};
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Longest body of a call, in bytes.
const BODY_BYTES: usize = 8 << 20;

/// Serves `store` until the phase is [`Phase::Close`].
pub async fn serve(listener: TcpListener, store: Store, phase: watch::Receiver<Phase>) {
    let limits = Limits::new(BODY_BYTES);
    http_server::serve(listener, limits, phase, move |received, _| {
        let store = store.clone();
        async move { answer(&store, received).await }
    })
    .await;
}

/// Answers one call; an answer lost after effect closes the connection.
async fn answer(store: &Store, received: Result<Received, Fault>) -> Reply {
    let received = match received {
        Ok(received) => received,
        Err(fault) => return fault.reply(),
    };
    let call = match serde_json::from_slice::<StoreCall>(&received.body) {
        Ok(call) => call,
        Err(e) => return plain(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    match store.call(call).await {
        Err(e @ StoreError::Unavailable) => plain(StatusCode::SERVICE_UNAVAILABLE, &e.to_string()),
        Err(StoreError::NoAnswer) => abort(),
        result => json(StatusCode::OK, &result),
    }
}
