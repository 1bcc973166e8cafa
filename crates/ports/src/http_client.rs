//! HTTP connections that are kept and reused, at most so many per address.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Failure of one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("no connection; the request was not sent")]
    NotSent,
    /// The connection was lost after the request was sent.
    #[error("connection lost; the request may have run")]
    Lost,
    /// The reply was cut or too long.
    #[error("reply cut or too long; the request may have run")]
    BadReply,
}

/// One open connection; it closes when dropped.
struct Link {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    count: Arc<AtomicUsize>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

#[derive(Default)]
struct Pool {
    idle: Mutex<Vec<Link>>,
    count: Arc<AtomicUsize>,
}

/// Pools of connections by address.
#[derive(Default)]
pub struct Client {
    pools: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
}

impl Client {
    /// Sends a request over an idle connection or a new one, and reads the
    /// whole reply of at most `most_bytes`. At most `most` connections to the
    /// address are open at once.
    ///
    /// # Errors
    /// [`ExchangeError`] tells whether the request may have run.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        most: usize,
        most_bytes: usize,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let pool = self.pool(address);
        let mut link = match pool.take_idle() {
            Some(link) => link,
            None => pool.connect(address, most).await?,
        };
        let sent = link.sender.try_send_request(request).await;
        let response = sent.map_err(|mut e| match e.take_message() {
            Some(_) => ExchangeError::NotSent,
            None => ExchangeError::Lost,
        })?;
        let (head, body) = response.into_parts();
        let read = Limited::new(body, most_bytes).collect().await;
        let body = read.map_err(|_| ExchangeError::BadReply)?.to_bytes();
        pool.put_back(link);
        Ok(Response::from_parts(head, body))
    }

    /// Connections open to `address`.
    #[must_use]
    pub fn connections(&self, address: SocketAddr) -> usize {
        self.pool(address).count.load(Ordering::Acquire)
    }

    fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(pools.entry(address).or_default())
    }
}

impl Pool {
    fn take_idle(&self) -> Option<Link> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(link) = idle.pop() {
            if link.sender.is_ready() {
                return Some(link);
            }
        }
        None
    }

    fn put_back(&self, link: Link) {
        if !link.sender.is_closed() {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.push(link);
        }
    }

    async fn connect(&self, address: SocketAddr, most: usize) -> Result<Link, ExchangeError> {
        let step = |open: usize| (open < most).then_some(open + 1);
        self.count
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, step)
            .map_err(|_| ExchangeError::NotSent)?;
        let place = Place(Arc::clone(&self.count));
        let stream = TcpStream::connect(address)
            .await
            .map_err(|_| ExchangeError::NotSent)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ExchangeError::NotSent)?;
        let driver = tokio::spawn(connection).abort_handle();
        let count = place.keep();
        Ok(Link {
            sender,
            driver,
            count,
        })
    }
}

/// A place counted for a connection that is being made.
struct Place(Arc<AtomicUsize>);

impl Place {
    /// Hands the place over to the connection.
    fn keep(self) -> Arc<AtomicUsize> {
        let count = Arc::clone(&self.0);
        std::mem::forget(self);
        count
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
