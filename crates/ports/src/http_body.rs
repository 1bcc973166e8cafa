//! Reads the body of a request into one buffer, whose memory is counted.
//!
//! The frames of a body are copied: each one keeps the read buffer that it came
//! in, and takes more memory itself than the content of a small chunk.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::watch;

use crate::http_connections::{Close, Connection, Connections, Yielding};
use crate::http_reply::Fault;
use crate::http_server::Phase;
use crate::memory::{FREE_BODY_BYTES, MemoryBudget, MemoryGrant};

/// Factor by which a buffer grows: with few steps, freed buffers fit later ones.
const GROWTH_FACTOR: usize = 8;

/// Maximum time for the rest of a body to arrive once the server closes.
const CLOSING_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// The limits and the connection that a body is read within.
pub(crate) struct BodyReader<'a> {
    /// Maximum length, in bytes.
    pub(crate) max_bytes: usize,
    /// Maximum time to read it.
    pub(crate) max_time: Duration,
    /// Memory of all bodies.
    pub(crate) budget: &'a Arc<MemoryBudget>,
    /// All connections of the server.
    pub(crate) connections: &'a Connections,
    /// The connection that the body arrives on.
    pub(crate) connection: &'a Connection,
    /// Phase of the server.
    pub(crate) phase: watch::Receiver<Phase>,
}

impl BodyReader<'_> {
    /// Reads the complete body.
    ///
    /// # Errors
    /// The [`Fault`] for which the request is rejected.
    pub(crate) async fn read(self, body: Incoming) -> Result<Bytes, Fault> {
        let expected = body.size_hint();
        let max_bytes = self.max_bytes;
        if expected.lower() > max_bytes as u64 {
            // The declared length suffices to reject the body without reading it.
            return Err(Fault::LongBody);
        }
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let declared = expected
            .exact()
            .and_then(|bytes| usize::try_from(bytes).ok());
        let buffer = BodyBuffer {
            data: Vec::new(),
            grant: MemoryGrant::new(self.budget),
            max_bytes: declared.unwrap_or(max_bytes),
        };
        let mut phase = self.phase.clone();
        let closing = async {
            let _ = phase.wait_for(|p| *p == Phase::Close).await;
            tokio::time::sleep(CLOSING_BODY_TIMEOUT).await;
        };
        tokio::select! {
            biased;
            read = self.read_frames(body, buffer) => read,
            () = self.connection.closes(Close::Body) => Err(Fault::NoMemory),
            () = tokio::time::sleep(self.max_time) => Err(Fault::SlowBody),
            () = closing => Err(Fault::SlowBody),
        }
    }

    async fn read_frames(
        &self,
        mut body: Incoming,
        mut buffer: BodyBuffer,
    ) -> Result<Bytes, Fault> {
        self.record(&buffer);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Fault::TruncatedBody)?;
            let Ok(content) = frame.into_data() else {
                continue;
            };
            if buffer.data.is_empty() && body.is_end_stream() {
                return Ok(content);
            }
            if content.len() > buffer.missing() {
                return Err(Fault::LongBody);
            }
            if content.len() > buffer.room() {
                self.grow(&mut buffer, content.len()).await?;
            }
            buffer.data.extend_from_slice(&content);
            self.record(&buffer);
        }
        Ok(buffer.into_bytes())
    }

    fn record(&self, buffer: &BodyBuffer) {
        let (held, missing) = (buffer.grant.bytes(), buffer.missing());
        self.connection.set_body(held, missing);
    }

    /// Makes room in the buffer for `more` bytes, for which other bodies may have
    /// to make room.
    async fn grow(&self, buffer: &mut BodyBuffer, more: usize) -> Result<(), Fault> {
        let capacity = buffer.next_capacity(more);
        let counted = capacity.saturating_sub(FREE_BODY_BYTES);
        loop {
            let released = self.budget.released();
            if buffer.grant.cover(counted) {
                buffer.data.reserve_exact(capacity - buffer.data.len());
                return Ok(());
            }
            let lacking = counted - buffer.grant.bytes();
            match self.connections.make_room(self.connection, lacking) {
                Yielding::Others => released.await,
                Yielding::Own => return Err(Fault::NoMemory),
            }
        }
    }
}

/// The part of a body that has arrived.
struct BodyBuffer {
    data: Vec<u8>,
    grant: MemoryGrant,
    /// Length of the body, or its maximum.
    max_bytes: usize,
}

impl BodyBuffer {
    const fn missing(&self) -> usize {
        self.max_bytes - self.data.len()
    }

    const fn room(&self) -> usize {
        self.data.capacity() - self.data.len()
    }

    /// Capacity to grow to for `more` bytes, up to the length of the body.
    fn next_capacity(&self, more: usize) -> usize {
        let grown = (self.data.capacity() * GROWTH_FACTOR).max(FREE_BODY_BYTES);
        let needed = self.data.len() + more;
        grown.min(self.max_bytes).max(needed)
    }

    fn into_bytes(mut self) -> Bytes {
        self.data.shrink_to_fit();
        let counted = self.data.len().saturating_sub(FREE_BODY_BYTES);
        self.grant.shrink(counted);
        if counted == 0 {
            return Bytes::from(self.data);
        }
        self.grant.hold(self.data)
    }
}
