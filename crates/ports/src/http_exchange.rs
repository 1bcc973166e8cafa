//! One HTTP/1.1 exchange over an open connection, for the client's side.
//!
//! The head is parsed by `httparse`; buffers live as long as the exchange, so
//! that a kept connection costs no memory but its socket. A reply that does
//! not belong to the request, such as the late second answer to an earlier
//! one, is skipped.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::http_client::ExchangeError;

/// Longest head of a reply, in bytes.
const HEAD_BYTES: usize = 64 * 1024;

/// Headers of one reply at the most.
const MOST_HEADERS: usize = 64;

/// Bytes read at once.
const READ_BYTES: usize = 4 * 1024;

/// Replies to others that are skipped at the most.
const MOST_SKIPPED: usize = 4;

/// What became of a request on one connection.
pub(crate) enum Sent {
    /// The whole reply, and whether the connection can carry another request.
    Replied(Response<Bytes>, bool),
    /// No byte of the request was sent.
    Unsent,
    /// The request may have run.
    Failed(ExchangeError),
}

/// Whose a reply is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whose {
    /// The request's own.
    Own,
    /// Another request's; the own one follows on the connection.
    Earlier,
    /// Nobody's: the connection is not to be trusted.
    Crossed,
}

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// A reply's head, and what it says of the connection.
struct Head {
    response: Response<()>,
    framing: Framing,
    keeps: bool,
}

/// Sends `request` and reads the whole reply of at most `most` bytes that
/// `whose` takes for the request's own.
pub(crate) async fn send(
    stream: &mut TcpStream,
    request: &Request<Bytes>,
    most: usize,
    whose: impl Fn(&Response<Bytes>) -> Whose,
) -> Sent {
    let mut out = Bytes::from(encode(request));
    let length = out.len();
    let mut input = BytesMut::new();
    let mut closed = false;
    let mut skipped = 0;
    loop {
        match parse(&mut input, closed, request.method(), most) {
            Err(error) => return Sent::Failed(error),
            Ok(Some((reply, keeps))) => {
                // Bytes that follow belong to no request.
                let clean = out.is_empty() && input.is_empty() && !closed;
                let whose = whose(&reply);
                if whose == Whose::Own {
                    return Sent::Replied(reply, keeps && clean);
                }
                skipped += 1;
                let ends = closed || !keeps || skipped > MOST_SKIPPED;
                if ends || whose == Whose::Crossed {
                    return Sent::Failed(ExchangeError::BadReply);
                }
                continue;
            }
            Ok(None) if closed && out.len() == length => return Sent::Unsent,
            Ok(None) if closed => return Sent::Failed(cut(&input, request.method())),
            Ok(None) => {}
        }
        match exchange_bytes(stream, &mut out, &mut input).await {
            Ok(ended) => closed = ended,
            Err(_) if out.len() == length => return Sent::Unsent,
            // A reset hides whether the body was whole.
            Err(_) => return Sent::Failed(cut(&input, request.method())),
        }
    }
}

/// What a reply that ended early is: none at all before its head was whole.
fn cut(input: &[u8], method: &Method) -> ExchangeError {
    match parse_head(input, method) {
        Ok(None) => ExchangeError::Lost,
        _ => ExchangeError::BadReply,
    }
}

/// Writes or reads some bytes, whichever comes first: a peer may answer
/// before it reads a long body. True when the peer has closed.
async fn exchange_bytes(
    stream: &mut TcpStream,
    out: &mut Bytes,
    input: &mut BytesMut,
) -> io::Result<bool> {
    let (mut reader, mut writer) = stream.split();
    input.reserve(READ_BYTES);
    tokio::select! {
        biased;
        written = writer.write(out), if !out.is_empty() => match written {
            Ok(count) => {
                out.advance(count);
                Ok(false)
            }
            // An answer given before the close may still be there to read.
            Err(error) => match reader.read_buf(input).await {
                Ok(count) if count > 0 => {
                    out.clear();
                    Ok(false)
                }
                _ => Err(error),
            },
        },
        read = reader.read_buf(input) => Ok(read? == 0),
    }
}

fn encode(request: &Request<Bytes>) -> Vec<u8> {
    let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
    let mut head = Vec::with_capacity(512 + request.body().len());
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
    head.extend_from_slice(request.body());
    head
}

/// The first whole reply in `input`, which it takes out, and whether the
/// connection stays open; none while bytes are missing.
fn parse(
    input: &mut BytesMut,
    closed: bool,
    method: &Method,
    most: usize,
) -> Result<Option<(Response<Bytes>, bool)>, ExchangeError> {
    loop {
        let Some((head, length)) = parse_head(input, method)? else {
            return Ok(None);
        };
        if head.response.status().is_informational() {
            input.advance(length);
            continue;
        }
        let rest = &input[length..];
        let body = match head.framing {
            Framing::Length(size) if size > most => return Err(ExchangeError::BadReply),
            Framing::Length(size) if rest.len() < size => None,
            Framing::Length(size) => Some((Bytes::copy_from_slice(&rest[..size]), size)),
            Framing::Chunked => parse_chunks(rest, most)?,
            Framing::UntilClose if rest.len() > most => return Err(ExchangeError::BadReply),
            Framing::UntilClose if !closed => None,
            Framing::UntilClose => Some((Bytes::copy_from_slice(rest), rest.len())),
        };
        let Some((body, taken)) = body else {
            return Ok(None);
        };
        input.advance(length + taken);
        return Ok(Some((head.response.map(|()| body), head.keeps)));
    }
}

fn parse_head(input: &[u8], method: &Method) -> Result<Option<(Head, usize)>, ExchangeError> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() > HEAD_BYTES => {
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
    let framing = framing(&map, status, method)?;
    let close = has_token(&map, &CONNECTION, "close");
    let keeps = parsed.version == Some(1) && !close && framing != Framing::UntilClose;
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = map;
    let head = Head {
        response,
        framing,
        keeps,
    };
    Ok(Some((head, length)))
}

fn framing(
    headers: &HeaderMap,
    status: StatusCode,
    method: &Method,
) -> Result<Framing, ExchangeError> {
    let empty = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if empty || status.is_informational() || *method == Method::HEAD {
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

fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).iter().filter_map(|v| v.to_str().ok());
    let mut tokens = values.flat_map(|v| v.split(','));
    tokens.any(|t| t.trim().eq_ignore_ascii_case(token))
}

/// The body of a chunked message and the bytes that it took; none while bytes
/// are missing.
fn parse_chunks(input: &[u8], most: usize) -> Result<Option<(Bytes, usize)>, ExchangeError> {
    let mut body = BytesMut::new();
    let mut at = 0;
    loop {
        let (start, size) = match httparse::parse_chunk_size(&input[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ExchangeError::BadReply),
        };
        at += start;
        let size = usize::try_from(size).map_err(|_| ExchangeError::BadReply)?;
        if size == 0 {
            return Ok(trailers(&input[at..]).map(|length| (body.freeze(), at + length)));
        }
        if body.len().saturating_add(size) > most {
            return Err(ExchangeError::BadReply);
        }
        let Some(chunk) = input.get(at..at + size + 2) else {
            return Ok(None);
        };
        if !chunk.ends_with(b"\r\n") {
            return Err(ExchangeError::BadReply);
        }
        body.extend_from_slice(&chunk[..size]);
        at += size + 2;
    }
}

/// Bytes of the trailers with the empty line that ends them.
fn trailers(input: &[u8]) -> Option<usize> {
    if input.starts_with(b"\r\n") {
        return Some(2);
    }
    let end = input.windows(4).position(|w| w == b"\r\n\r\n")?;
    Some(end + 4)
}
