//! The byte stream below the HTTP server. It gives the library's own bodyless
//! error responses the JSON form, gives a peer that reads nothing up, and lets
//! a peer read the last response before the socket closes.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::http_reply::{Fault, raw};

/// Longest wait for a peer that still sends after the last response.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Bytes read and dropped at the most after the last response.
const LINGER_BYTES: usize = 1 << 20;

/// Bytes read at once while lingering.
const CHUNK_BYTES: usize = 4 * 1024;

/// One accepted connection.
#[derive(Debug)]
pub(crate) struct Guarded {
    stream: TcpStream,
    instead: Bytes,
    /// Longest time for which a peer may not take the bytes of a response.
    patience: Duration,
    /// End of that time, while the peer takes nothing.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl Guarded {
    pub(crate) fn new(stream: TcpStream, patience: Duration) -> Self {
        Self {
            stream,
            instead: Bytes::new(),
            patience,
            stalled: None,
        }
    }

    /// Fails a write that has made no progress for too long.
    fn watch<T>(
        &mut self,
        cx: &mut Context<'_>,
        wrote: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if wrote.is_ready() {
            self.stalled = None;
            return wrote;
        }
        let patience = self.patience;
        let made = || Box::pin(tokio::time::sleep(patience));
        let stalled = self.stalled.get_or_insert_with(made);
        ready!(stalled.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Writes the refusal of a fault and ends the sending side.
    pub(crate) async fn refuse(&mut self, fault: Fault) {
        let _ = self.stream.write_all(&raw(fault)).await;
        let _ = self.stream.shutdown().await;
    }

    /// Reads and drops what the peer still sends, so that closing the socket
    /// does not destroy a response on its way.
    pub(crate) async fn linger(mut self) {
        let _ = tokio::time::timeout(LINGER_TIME, self.drop_input()).await;
    }

    async fn drop_input(&mut self) {
        let mut chunk = [0; CHUNK_BYTES];
        let mut dropped = 0;
        while dropped < LINGER_BYTES {
            match self.stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return,
                Ok(count) => dropped += count,
            }
        }
    }

    fn poll_instead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.instead.is_empty() {
            let stream = Pin::new(&mut self.stream);
            let wrote = stream.poll_write(cx, &self.instead);
            let count = ready!(self.watch(cx, wrote))?;
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.instead.advance(count);
        }
        Poll::Ready(Ok(()))
    }
}

/// The fault behind a bodyless response that the library made by itself.
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

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_instead(cx))?;
        if let Some(fault) = library_fault(buf) {
            self.instead = raw(fault);
            return Poll::Ready(Ok(buf.len()));
        }
        let wrote = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.watch(cx, wrote)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_instead(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_instead(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
