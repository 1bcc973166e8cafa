//! Client side of one HTTP/1.1 request/reply exchange over an open connection.
//!
//! `httparse` parses the head. Buffers live only as long as the exchange, so an
//! idle pooled connection holds none. A reply to an earlier request, such as a
//! late duplicate, is skipped.

use std::{io, sync::Arc};

use bytes::buf::Chain;
use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::http_client::ExchangeError;
use crate::memory::{MemoryBudget, MemoryGrant};

/// Maximum size of a reply's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

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

/// Maximum number of headers in a reply.
const MAX_HEADERS: usize = 64;

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

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// Fixed length, in bytes.
    Length(usize),
    Chunked,
    UntilClose,
}

/// Parsed head of a reply.
struct Head {
    response: Response<()>,
    framing: Framing,
    /// Whether the peer keeps the connection open after this reply.
    keep_alive: bool,
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
                return Err(ExchangeError::BadReply);
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
            return Err(ExchangeError::BadReply);
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
            let (line_length, size) = match httparse::parse_chunk_size(input) {
                Ok(httparse::Status::Complete(parsed)) => parsed,
                Ok(httparse::Status::Partial) if input.len() <= MAX_CHUNK_LINE_BYTES => {
                    return Ok(None);
                }
                _ => return Err(ExchangeError::BadReply),
            };
            let size = usize::try_from(size).map_err(|_| ExchangeError::BadReply)?;
            if self.chunks.len().saturating_add(size) > self.max_body_bytes {
                return Err(ExchangeError::BadReply);
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
                return Err(ExchangeError::BadReply);
            }
            self.chunks.extend_from_slice(&chunk[..size]);
            self.chunk_overhead += line_length + 2;
            let max_overhead =
                MAX_CHUNK_OVERHEAD_BYTES + self.chunks.len() / CHUNK_OVERHEAD_DIVISOR;
            if self.chunk_overhead > max_overhead {
                return Err(ExchangeError::BadReply);
            }
            input.advance(line_length + size + 2);
        }
        let Some(length) = trailers_length(input) else {
            return if input.len() > MAX_CHUNK_LINE_BYTES {
                Err(ExchangeError::BadReply)
            } else {
                Ok(None)
            };
        };
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

/// Parses the head and returns it with its length in bytes; `None` while it is
/// incomplete.
fn parse_head(input: &[u8], method: &Method) -> Result<Option<(Head, usize)>, ExchangeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() > MAX_HEAD_BYTES => {
            return Err(ExchangeError::BadReply);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(ExchangeError::BadReply),
    };
    let status = StatusCode::from_u16(parsed.code.unwrap_or_default());
    let status = status.map_err(|_| ExchangeError::BadReply)?;
    let mut map = HeaderMap::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(ExchangeError::BadReply);
        };
        map.append(name, value);
    }
    let framing = body_framing(&map, status, method)?;
    // Two framings leave it open where the reply ends.
    let is_ambiguous = map.contains_key(CONTENT_LENGTH) && map.contains_key(TRANSFER_ENCODING);
    let close = is_ambiguous || has_token(&map, &CONNECTION, "close");
    let keep_alive = parsed.version == Some(1) && !close && framing != Framing::UntilClose;
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = map;
    let head = Head {
        response,
        framing,
        keep_alive,
    };
    Ok(Some((head, length)))
}

/// Determines the body framing from the status and the headers.
fn body_framing(
    headers: &HeaderMap,
    status: StatusCode,
    method: &Method,
) -> Result<Framing, ExchangeError> {
    let bodyless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if bodyless || status.is_informational() || *method == Method::HEAD {
        return Ok(Framing::Length(0));
    }
    if headers.contains_key(TRANSFER_ENCODING) {
        return if has_token(headers, &TRANSFER_ENCODING, "chunked") {
            Ok(Framing::Chunked)
        } else {
            Ok(Framing::UntilClose)
        };
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(first) = lengths.next() else {
        return Ok(Framing::UntilClose);
    };
    if lengths.any(|other| other != first) {
        return Err(ExchangeError::BadReply);
    }
    let length = first.to_str().ok().and_then(|l| l.trim().parse().ok());
    length.map(Framing::Length).ok_or(ExchangeError::BadReply)
}

/// Whether a comma-separated header contains `token`, ignoring case.
fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).iter().filter_map(|v| v.to_str().ok());
    let mut tokens = values.flat_map(|v| v.split(','));
    tokens.any(|t| t.trim().eq_ignore_ascii_case(token))
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
