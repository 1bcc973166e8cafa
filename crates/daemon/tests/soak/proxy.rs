//! A loopback proxy in front of one address, whose links a test harms.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the links do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Bytes pass.
    Sound,
    /// Bytes pass after this time.
    Slow(Duration),
    /// Bytes pass to the address only.
    OneWay,
    /// No byte passes, and no connection ends.
    Silent,
    /// Connections are reset, new ones too.
    Reset,
}

/// The proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    link: Arc<watch::Sender<Link>>,
}

impl Proxy {
    /// Proxy in front of `to`, with sound links.
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let link = Arc::new(watch::Sender::new(Link::Sound));
        let own = Arc::clone(&link);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(join(near, to, own.subscribe()));
            }
        });
        Self { address, link }
    }

    /// Sets what the links do from now on.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

/// Joins one connection to one of its own to `to`.
async fn join(near: TcpStream, to: SocketAddr, mut link: watch::Receiver<Link>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    for stream in [&near, &far] {
        // An end of the proxy's own is a reset: a sound link passes on the
        // ends of both sides before.
        let _ = SockRef::from(stream).set_linger(None);
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let (there, back) = (link.clone(), link.clone());
    tokio::select! {
        _ = link.wait_for(|link| *link == Link::Reset) => {
            let _ = SockRef::from(near_write.as_ref()).set_linger(Some(Duration::ZERO));
            let _ = SockRef::from(far_write.as_ref()).set_linger(Some(Duration::ZERO));
        }
        () = both(copy(near_read, &far_write, there, true), copy(far_read, &near_write, back, false)) => {}
    }
    drop((near_write, far_write));
}

/// Runs both directions; the connection is over when either one is.
async fn both(there: impl Future<Output = ()>, back: impl Future<Output = ()>) {
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    to: &OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    is_request: bool,
) {
    let mut bytes = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let slow = match *link.borrow() {
            Link::Slow(time) => time,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(slow).await;
        let passes = |link: &Link| match link {
            Link::Silent => false,
            Link::OneWay => is_request,
            _ => true,
        };
        if link.wait_for(passes).await.is_err() {
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
