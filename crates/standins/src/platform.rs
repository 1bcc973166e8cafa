//! The platform's key-value service and VM list on a socket.

use heatherrun_fakes::store::Store;
use heatherrun_kernel::port::StoreCall;
use heatherrun_ports::http_server::{self, json, plain};
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Longest body of a call, in bytes.
const BODY_BYTES: usize = 8 << 20;

/// Serves `store` until `stop` turns true.
pub async fn serve(listener: TcpListener, store: Store, stop: watch::Receiver<bool>) {
    http_server::serve(listener, BODY_BYTES, stop, move |received, _| {
        let store = store.clone();
        async move {
            match serde_json::from_slice::<StoreCall>(&received.body) {
                Ok(call) => json(StatusCode::OK, &store.call(call).await),
                Err(e) => plain(StatusCode::BAD_REQUEST, &e.to_string()),
            }
        }
    })
    .await;
}
