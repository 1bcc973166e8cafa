//! The platform's key-value service and VM list on a socket.

use heatherrun_fakes::store::Store;
use heatherrun_kernel::port::StoreCall;
use heatherrun_ports::http_reply::{json, plain};
use heatherrun_ports::http_server::{self, Limits, Phase};
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Longest body of a call, in bytes.
const BODY_BYTES: usize = 8 << 20;

/// Serves `store` until the phase is [`Phase::Close`].
pub async fn serve(listener: TcpListener, store: Store, phase: watch::Receiver<Phase>) {
    http_server::serve(
        listener,
        Limits::new(BODY_BYTES),
        phase,
        move |received, _| {
            let store = store.clone();
            async move {
                let received = match received {
                    Ok(received) => received,
                    Err(fault) => return fault.reply(),
                };
                match serde_json::from_slice::<StoreCall>(&received.body) {
                    Ok(call) => json(StatusCode::OK, &store.call(call).await),
                    Err(e) => plain(StatusCode::BAD_REQUEST, &e.to_string()),
                }
            }
        },
    )
    .await;
}
