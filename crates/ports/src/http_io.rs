//! Byte stream between a socket and the HTTP library of the server. It replaces
//! the library's own bodyless error responses by JSON refusals, fails writes to
//! a peer that stops reading, and delays closing until the peer can have read
//! the last response.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::http_connections::Connection;
use crate::http_reply::{Fault, encode_refusal};

/// Maximum time to keep reading from a peer after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of bytes read and discarded after the last response.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Size of the read buffer while lingering, in bytes.
const LINGER_BUFFER_BYTES: usize = 4 * 1024;

/// An accepted connection with a write timeout and rewritten error responses.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    stream: TcpStream,
    /// Unsent rest of a refusal that replaces a response of the HTTP library.
    replacement: Bytes,
    /// Maximum time that a write may make no progress.
    write_timeout: Duration,
    /// Timer of the write timeout, while a write is stalled.
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// Where the progress of the connection is recorded.
    observer: Option<Arc<Connection>>,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        Self {
            stream,
            replacement: Bytes::new(),
            write_timeout,
            stall_timer: None,
            observer: None,
        }
    }

    /// Records the progress of the connection.
    pub(crate) fn observed_by(self, connection: Arc<Connection>) -> Self {
        Self {
            observer: Some(connection),
            ..self
        }
    }

    fn record_unread(&self, is_unread: bool) {
        if let Some(connection) = &self.observer {
            connection.set_unread(is_unread);
        }
    }

    /// Passes on the result of a write, or fails it with a timeout when no write
    /// has made progress for the write timeout.
    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            if self.stall_timer.take().is_some() {
                self.record_unread(false);
            }
            return written;
        }
        if self.stall_timer.is_none() {
            self.record_unread(true);
        }
        let write_timeout = self.write_timeout;
        let new_timer = || Box::pin(tokio::time::sleep(write_timeout));
        let stall_timer = self.stall_timer.get_or_insert_with(new_timer);
        ready!(stall_timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Writes the refusal for `fault` and shuts down the sending side.
    pub(crate) async fn refuse(&mut self, fault: Fault) {
        let _ = self.stream.write_all(&encode_refusal(fault)).await;
        let _ = self.stream.shutdown().await;
    }

    /// Reads and discards input for a while: closing a socket with unread input
    /// sends a reset, which can destroy a response in transit.
    pub(crate) async fn linger(mut self) {
        let _ = tokio::time::timeout(LINGER_TIMEOUT, self.discard_input()).await;
    }

    async fn discard_input(&mut self) {
        let mut chunk = [0; LINGER_BUFFER_BYTES];
        let mut discarded = 0;
        while discarded < MAX_LINGER_BYTES {
            match self.stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return,
                Ok(count) => discarded += count,
            }
        }
    }

    /// Writes what is left of a replacement response.
    fn poll_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.replacement.is_empty() {
            let stream = Pin::new(&mut self.stream);
            let written = stream.poll_write(cx, &self.replacement);
            let count = ready!(self.check_stall(cx, written))?;
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.replacement.advance(count);
        }
        Poll::Ready(Ok(()))
    }
}

/// Fault reported by a bodyless error response that the HTTP library itself
/// generated; `None` for any other output.
fn library_fault(head: &[u8]) -> Option<Fault> {
    if !has_empty_body(head) {
        return None;
    }
    match head.get(..12)? {
        b"HTTP/1.1 400" => Some(Fault::BadHead),
        b"HTTP/1.1 414" => Some(Fault::LongPath),
        b"HTTP/1.1 431" => Some(Fault::LongHead),
        _ => None,
    }
}

fn has_empty_body(head: &[u8]) -> bool {
    const EMPTY: &[u8] = b"content-length: 0\r\n";
    head.starts_with(b"HTTP/1.1 4") && head.windows(EMPTY.len()).any(|w| w == EMPTY)
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Some(connection) = &self.observer
            && buf.filled().len() > filled
        {
            connection.record_bytes();
        }
        read
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_replacement(cx))?;
        if let Some(fault) = library_fault(buf) {
            self.replacement = encode_refusal(fault);
            return Poll::Ready(Ok(buf.len()));
        }
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_stall(cx, written)
    }

    /// Without vectored writes, the HTTP library would copy each body into a buffer
    /// of its own.
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_replacement(cx))?;
        if let Some(fault) = bufs.first().and_then(|head| library_fault(head)) {
            self.replacement = encode_refusal(fault);
            return Poll::Ready(Ok(bufs.iter().map(|buf| buf.len()).sum()));
        }
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_stall(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
