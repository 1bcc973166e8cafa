//! Addresses of the settings, and listeners on them.

use std::net::SocketAddr;

use anyhow::Context as _;
use tokio::net::TcpListener;

/// The address that the settings give at `key`.
///
/// # Errors
/// When it is no IP and port.
pub fn parse(address: &str, key: &str) -> anyhow::Result<SocketAddr> {
    address
        .parse()
        .with_context(|| format!("{key} is {address:?}; name an IP and a port"))
}

/// A listener on `address`.
///
/// # Errors
/// When its port is not free.
pub async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| {
        format!("cannot listen on {address}; free the port or change the settings")
    })
}
