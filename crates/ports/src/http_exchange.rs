//! Client side of one HTTP/1.1 request/reply exchange over an open connection.
//!
//! `http_head` parses the head. Buffers live only as long as the exchange, so an
//! idle pooled connection holds none. A reply to an earlier request, such as a
//! late duplicate, is skipped.

use std::{io, sync::Arc};

use bytes::buf::Chain;
use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::http_client::ExchangeError;
use crate::http_head::{Framing, Head, are_trailers, malformed, parse_head};
use crate::memory::{MemoryBudget, MemoryGrant};

/// Maximum length of a chunk's size with its extensions, and of all trailers, in
/// bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;

/// Maximum number of bytes of all chunk sizes, beyond a part of the content: many
/// tiny chunks cost more time than their content is worth.
const MAX_CHUNK_OVERHEAD_BYTES: usize = 64 * 1024;

/// Divisor of the content's length that gives that part.
const CHUNK_OVERHEAD_DIVISOR: usize = 4;

/// Maximum number of informational (1xx) replies before the final one.
const MAX_INFORMATIONAL_REPLIES: usize = 4;

/// Buffer space reserved for each read, in bytes.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Length up to which the memory of a reply is not counted, in bytes: nearly all
/// replies are shorter.
const FREE_REPLY_BYTES: usize = 16 * 1024;

/// Maximum number of replies to earlier requests that are skipped.
const MAX_SKIPPED_REPLIES: usize = 4;

/// Outcome of sending a request over one connection.
pub(crate) enum SendOutcome {
    /// The complete reply, and whether the connection can be reused.
    Replied(Response<Bytes>, bool),
    /// No byte of the request was sent.
    NotSent,
    /// The exchange failed after bytes were sent; the request may have run.
    Failed(ExchangeError),
}

/// Which request a reply belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whose {
    /// The request that was just sent.
    Own,
    /// No request is named: taken for the request that was just sent if it is
    /// the first one on its connection, and for unknown otherwise.
    Unnamed,
    /// An earlier request; the expected reply follows on the connection.
    Earlier,
    /// Unknown: the connection is out of step and must not be reused.
    Crossed,
}

/// Sends `request` and reads replies until `classify_reply` reports one as
/// [`Whose::Own`]. A body may have at most `max_body_bytes`.
pub(crate) async fn send(
    stream: &mut TcpStream,
    request: &Request<Bytes>,
    max_body_bytes: usize,
    memory: &Arc<MemoryBudget>,
    classify_reply: impl Fn(&Response<Bytes>) -> Whose,
) -> SendOutcome {
    let mut output = Bytes::from(encode_head(request)).chain(request.body().clone());
    let request_length = output.remaining();
    let mut input = BytesMut::new();
    let mut grant = MemoryGrant::new(memory);
    let mut closed = false;
    let mut skipped = 0;
    let mut parser = Parser::new(request.method(), max_body_bytes);
    loop {
        match parser.next(&mut input, closed) {
            Err(error) => return SendOutcome::Failed(error),
            Ok(Some((reply, keep_alive))) => {
                // Bytes after the reply belong to no request, so the connection
                // cannot be reused.
                let clean = !output.has_remaining() && input.is_empty() && !closed;
                let class = classify_reply(&reply);
                if class == Whose::Own {
                    if !may_follow(&input) {
                        return SendOutcome::Failed(malformed("other bytes follow the body"));
                    }
                    let reply = if grant.bytes() > 0 {
                        reply.map(|body| grant.hold(body))
                    } else {
                        reply
                    };
                    return SendOutcome::Replied(reply, keep_alive && clean);
                }
                skipped += 1;
                let no_more_replies = closed || !keep_alive || skipped > MAX_SKIPPED_REPLIES;
                if no_more_replies || class == Whose::Crossed {
                    return SendOutcome::Failed(ExchangeError::BadReply);
                }
                continue;
            }
            Ok(None) if closed && output.remaining() == request_length => {
                return SendOutcome::NotSent;
            }
            Ok(None) if closed => {
                return SendOutcome::Failed(parser.truncation_error(&input));
            }
            Ok(None) => {}
        }
        match write_or_read(stream, &mut output, &mut input).await {
            Ok(_) if !grant.cover(parser.memory(&input).saturating_sub(FREE_REPLY_BYTES)) => {
                return SendOutcome::Failed(ExchangeError::NoMemory);
            }
            Ok(now_closed) => closed = now_closed,
            Err(_) if output.remaining() == request_length => return SendOutcome::NotSent,
            // After a reset, whether the body was complete is unknown.
            Err(_) => return SendOutcome::Failed(parser.truncation_error(&input)),
        }
    }
}

/// Writes or reads some bytes, whichever is ready first, because a peer may
/// reply before it has read a long body. Returns true when the peer has closed
/// the connection.
async fn write_or_read(
    stream: &mut TcpStream,
    output: &mut Chain<Bytes, Bytes>,
    input: &mut BytesMut,
) -> io::Result<bool> {
    let (mut reader, mut writer) = stream.split();
    input.reserve(READ_BUFFER_BYTES);
    tokio::select! {
        biased;
        written = writer.write_buf(output), if output.has_remaining() => match written {
            Ok(_) => Ok(false),
            // A reply sent before the peer closed may still be readable.
            Err(error) => match reader.read_buf(input).await {
                Ok(count) if count > 0 => {
                    output.advance(output.remaining());
                    Ok(false)
                }
                _ => Err(error),
            },
        },
        read = reader.read_buf(input) => Ok(read? == 0),
    }
}

/// Serializes the request line and the headers, with the content length computed
/// from the body. The body itself is sent as it is: calls that run at the same
/// time share it.
fn encode_head(request: &Request<Bytes>) -> Vec<u8> {
    let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
    let mut head = Vec::with_capacity(512);
    for part in [request.method().as_str(), " ", path, " HTTP/1.1\r\n"] {
        head.extend_from_slice(part.as_bytes());
    }
    for (name, value) in request.headers() {
        if name == CONTENT_LENGTH || name == TRANSFER_ENCODING {
            continue;
        }
        head.extend_from_slice(name.as_str().as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
    let length = request.body().len();
    let bodyless = *request.method() == Method::GET || *request.method() == Method::HEAD;
    if length > 0 || !bodyless {
        head.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
    }
    head.extend_from_slice(b"\r\n");
    head
}

/// Takes complete replies out of the input as it arrives. Each byte is looked
/// at about once, and input that can no longer become a reply within the limits
/// is an error, so that neither memory nor time grows with what a peer sends.
struct Parser<'a> {
    method: &'a Method,
    max_body_bytes: usize,
    /// Head of the reply whose body is arriving.
    head: Option<Head>,
    /// Content of the chunks so far.
    chunks: BytesMut,
    /// Bytes of the chunks' sizes so far.
    chunk_overhead: usize,
    /// Whether the last chunk has arrived and the trailers have not.
    in_trailers: bool,
    /// Number of informational (1xx) replies, which are dropped.
    informational: usize,
}

impl<'a> Parser<'a> {
    fn new(method: &'a Method, max_body_bytes: usize) -> Self {
        Self {
            method,
            max_body_bytes,
            head: None,
            chunks: BytesMut::new(),
            chunk_overhead: 0,
            in_trailers: false,
            informational: 0,
        }
    }

    /// Removes the first complete reply from `input` and returns it with
    /// whether the connection stays open; `None` while bytes are missing.
    fn next(
        &mut self,
        input: &mut BytesMut,
        closed: bool,
    ) -> Result<Option<(Response<Bytes>, bool)>, ExchangeError> {
        while self.head.is_none() {
            let Some((head, head_length)) = parse_head(input, self.method)? else {
                return Ok(None);
            };
            input.advance(head_length);
            if !head.response.status().is_informational() {
                self.head = Some(head);
                break;
            }
            self.informational += 1;
            if self.informational > MAX_INFORMATIONAL_REPLIES {
                return Err(malformed("too many informational replies"));
            }
        }
        let Some(body) = self.take_body(input, closed)? else {
            return Ok(None);
        };
        let head = self.head.take();
        Ok(head.map(|head| (head.response.map(|()| body), head.keep_alive)))
    }

    /// Removes the complete body from `input`; `None` while bytes are missing.
    fn take_body(
        &mut self,
        input: &mut BytesMut,
        closed: bool,
    ) -> Result<Option<Bytes>, ExchangeError> {
        let framing = self.head.as_ref().map(|head| head.framing);
        let length = match framing {
            None => return Ok(None),
            Some(Framing::Chunked) => return self.take_chunks(input),
            Some(Framing::Length(length)) => length,
            Some(Framing::UntilClose) => input.len(),
        };
        if length > self.max_body_bytes {
            return Err(malformed("the body is too long"));
        }
        let is_missing = input.len() < length || (framing == Some(Framing::UntilClose) && !closed);
        if is_missing {
            return Ok(None);
        }
        if length > FREE_REPLY_BYTES {
            return Ok(Some(input.split_to(length).freeze()));
        }
        // A small body does not keep the buffer that it arrived in.
        let body = Bytes::copy_from_slice(&input[..length]);
        input.advance(length);
        Ok(Some(body))
    }

    /// Removes complete chunks from `input`; returns their content once the
    /// last one and the trailers have arrived.
    fn take_chunks(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, ExchangeError> {
        while !self.in_trailers {
            let Some((line_length, size)) = parse_chunk_line(input)? else {
                return Ok(None);
            };
            if self.chunks.len().saturating_add(size) > self.max_body_bytes {
                return Err(malformed("the body is too long"));
            }
            if size == 0 {
                input.advance(line_length);
                self.in_trailers = true;
                break;
            }
            let Some(chunk) = input.get(line_length..line_length + size + 2) else {
                return Ok(None);
            };
            if !chunk.ends_with(b"\r\n") {
                return Err(malformed("a chunk has another length"));
            }
            self.chunks.extend_from_slice(&chunk[..size]);
            self.chunk_overhead += line_length + 2;
            let max_overhead =
                MAX_CHUNK_OVERHEAD_BYTES + self.chunks.len() / CHUNK_OVERHEAD_DIVISOR;
            if self.chunk_overhead > max_overhead {
                return Err(malformed("the chunks are too small"));
            }
            input.advance(line_length + size + 2);
        }
        let Some(length) = trailers_length(input) else {
            return if input.len() > MAX_CHUNK_LINE_BYTES {
                Err(malformed("the trailers are too long"))
            } else {
                Ok(None)
            };
        };
        if !are_trailers(&input[..length]) {
            return Err(malformed("a trailer is no field"));
        }
        input.advance(length);
        self.in_trailers = false;
        self.chunk_overhead = 0;
        Ok(Some(self.chunks.split().freeze()))
    }

    /// Error for a reply that ended early: [`ExchangeError::Lost`] if its head
    /// was incomplete, [`ExchangeError::BadReply`] otherwise.
    fn truncation_error(&self, input: &[u8]) -> ExchangeError {
        match parse_head(input, self.method) {
            Ok(None) if self.head.is_none() => ExchangeError::Lost,
            _ => ExchangeError::BadReply,
        }
    }

    /// Memory that the reply takes so far, in bytes.
    fn memory(&self, input: &BytesMut) -> usize {
        input.capacity() + self.chunks.capacity()
    }
}

/// Start of each reply.
const REPLY_START: &[u8] = b"HTTP/";

/// Whether these bytes may follow a complete reply: those of another one, which
/// belongs to no request. Others show that the reply ended elsewhere than its
/// head said.
fn may_follow(input: &[u8]) -> bool {
    let length = input.len().min(REPLY_START.len());
    input[..length] == REPLY_START[..length]
}

/// Parses the line in front of a chunk; returns its length and the size of the
/// chunk, or `None` while it is incomplete.
fn parse_chunk_line(input: &[u8]) -> Result<Option<(usize, usize)>, ExchangeError> {
    let (length, size) = match httparse::parse_chunk_size(input) {
        Ok(httparse::Status::Complete(parsed)) => parsed,
        Ok(httparse::Status::Partial) if input.len() <= MAX_CHUNK_LINE_BYTES => return Ok(None),
        _ => return Err(malformed("the size of a chunk is no number")),
    };
    let line = &input[..length - b"\r\n".len()];
    // The parser takes an empty size for zero, and any bytes for extensions.
    let is_text = |b: &u8| b.is_ascii_graphic() || matches!(b, b' ' | b'\t');
    if !line.first().is_some_and(u8::is_ascii_hexdigit) || !line.iter().all(is_text) {
        return Err(malformed("the size of a chunk is no number"));
    }
    let size = usize::try_from(size).map_err(|_| malformed("the body is too long"))?;
    Ok(Some((length, size)))
}

/// Length of the trailer section including its final empty line; `None` while
/// it is incomplete.
fn trailers_length(input: &[u8]) -> Option<usize> {
    if input.starts_with(b"\r\n") {
        return Some(2);
    }
    let end = input.windows(4).position(|w| w == b"\r\n\r\n")?;
    Some(end + 4)
}
