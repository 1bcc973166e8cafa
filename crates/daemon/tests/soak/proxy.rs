//! A loopback proxy in front of one address, with injectable link faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Behavior of the proxied connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Bytes are forwarded.
    Healthy,
    /// Bytes are forwarded after this delay.
    Slow(Duration),
    /// Bytes are forwarded only from the client to the address.
    OneWay,
    /// No bytes are forwarded, and connections stay open.
    Stalled,
    /// Connections are reset, including new ones.
    Reset,
}

/// Handle of a running proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    link: Arc<watch::Sender<Link>>,
}

impl Proxy {
    /// Starts a proxy in front of `upstream`, without faults.
    pub async fn start(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let link = Arc::new(watch::Sender::new(Link::Healthy));
        let link_sender = Arc::clone(&link);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward(client, upstream, link_sender.subscribe()));
            }
        });
        Self { address, link }
    }

    /// Changes the behavior of existing and new connections.
    pub fn set_link(&self, link: Link) {
        self.link.send_replace(link);
    }
}

/// Forwards one client connection to a new connection to `upstream`.
async fn forward(client: TcpStream, upstream: SocketAddr, mut link: watch::Receiver<Link>) {
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    for stream in [&client, &server] {
        // A healthy link forwards the close of either side. Only `Link::Reset`
        // sets the linger time, to zero, so that the close sends a reset.
        let _ = SockRef::from(stream).set_linger(None);
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let (to_server, to_client) = (link.clone(), link.clone());
    tokio::select! {
        _ = link.wait_for(|link| *link == Link::Reset) => {
            let _ = SockRef::from(client_write.as_ref()).set_linger(Some(Duration::ZERO));
            let _ = SockRef::from(server_write.as_ref()).set_linger(Some(Duration::ZERO));
        }
        () = run_either(copy(client_read, &server_write, to_server, true), copy(server_read, &client_write, to_client, false)) => {}
    }
    drop((client_write, server_write));
}

/// Runs both directions until either one ends.
async fn run_either(to_server: impl Future<Output = ()>, to_client: impl Future<Output = ()>) {
    tokio::select! {
        () = to_server => {}
        () = to_client => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    to: &OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    to_server: bool,
) {
    let mut bytes = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let delay = match *link.borrow() {
            Link::Slow(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        let forwards = |link: &Link| match link {
            Link::Stalled => false,
            Link::OneWay => to_server,
            _ => true,
        };
        if link.wait_for(forwards).await.is_err() {
            return;
        }
        let mut rest = &bytes[..count];
        while !rest.is_empty() {
            if to.writable().await.is_err() {
                return;
            }
            match to.try_write(rest) {
                Ok(written) => rest = &rest[written..],
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}
