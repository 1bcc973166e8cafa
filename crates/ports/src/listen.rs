//! Parses listen addresses from the settings and binds them.

use std::net::SocketAddr;

use anyhow::Context as _;
use tokio::net::TcpListener;

/// Parses the address of the setting `key`.
///
/// # Errors
/// When it is not an IP address and a port.
pub fn parse(address: &str, key: &str) -> anyhow::Result<SocketAddr> {
    address
        .parse()
        .with_context(|| format!("{key} is {address:?}; set it to an IP address and a port"))
}

/// Binds a listener to `address`.
///
/// # Errors
/// When the address cannot be bound, for example because the port is in use.
pub async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| {
        format!("cannot listen on {address}; free the port or change the settings")
    })
}
