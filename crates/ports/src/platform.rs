//! Client of the platform's key-value store and VM list, over HTTP and JSON.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use heatherrun_kernel::port::{Platform, StoreAnswer, StoreCall, StoreError, StoreReply, async_fn};
use heatherrun_kernel::registry::{Make, Plugin, inventory};
use http::{Request, StatusCode};

use crate::http_client::{Client, Route, Whose};

/// Maximum number of connections to the platform.
const MAX_CONNECTIONS: usize = 4;

/// Maximum size of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Maximum wait for a reply, in addition to the wait that a watch call requests.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Port to the platform at `address`.
#[must_use]
pub fn platform(address: SocketAddr) -> Platform {
    over_http(move |client, call| async move { exchange(client, address, call).await.into() })
}

/// Platform port that runs `exchange` for each call, with one HTTP client shared
/// by all calls.
pub fn over_http<F>(
    exchange: impl Fn(Arc<Client>, StoreCall) -> F + Send + Sync + 'static,
) -> Platform
where
    F: Future<Output = StoreAnswer> + Send + 'static,
{
    let client = Arc::new(Client::default());
    Platform {
        call: async_fn(move |call| exchange(Arc::clone(&client), call)),
    }
}

/// Sends one call to the platform and decodes its reply.
async fn exchange(
    client: Arc<Client>,
    address: SocketAddr,
    call: StoreCall,
) -> Result<StoreReply, StoreError> {
    let body = serde_json::to_vec(&call).map_err(|_| StoreError::Unavailable)?;
    let request = Request::post("/store")
        .header(http::header::HOST, "platform")
        .body(Bytes::from(body))
        .map_err(|_| StoreError::Unavailable)?;
    let route = Route {
        address,
        connections: MAX_CONNECTIONS,
        reply: MAX_REPLY_BYTES,
        left: call.wait() + CALL_TIMEOUT,
        id_hash: 0,
        keeps: true,
    };
    let reply = client.exchange(route, request, |_| Whose::Own).await?;
    if reply.status() != StatusCode::OK {
        return Err(StoreError::Unavailable);
    }
    serde_json::from_slice(reply.body()).map_err(|_| StoreError::NoAnswer)?
}

inventory::submit! {
    Plugin {
        name: "http",
        about: "the platform's store and VM list over HTTP",
        make: Make::Platform(platform),
    }
}
