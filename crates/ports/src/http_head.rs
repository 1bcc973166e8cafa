//! Parses the head of a reply, and decides where its body ends.
//!
//! A peer in trouble may spoil a head, and a reply whose end is in doubt is worse
//! than none: bytes of its framing, or a part of its body, would pass for the
//! body. So nothing is guessed, and the forms that other clients put up with for
//! the sake of old servers are rejected.

use http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Response, StatusCode, Version};

use crate::http_client::ExchangeError;

/// Maximum size of a reply's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum number of headers in a reply.
const MAX_HEADERS: usize = 64;

/// Statuses that the protocol defines the classes of.
const STATUSES: std::ops::Range<u16> = 100..600;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Names of the fields that tell the length, and the number of bytes by which
/// something is too similar to one: Content-Language differs by three.
const LENGTH_NAMES: [(HeaderName, usize); 2] = [(CONTENT_LENGTH, 2), (TRANSFER_ENCODING, 4)];

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// Fixed length, in bytes.
    Length(usize),
    /// Chunks with their sizes.
    Chunked,
    /// The peer closes the connection.
    UntilClose,
}

/// Parsed head of a reply.
pub(crate) struct Head {
    pub(crate) response: Response<()>,
    pub(crate) framing: Framing,
    /// Whether the peer keeps the connection open after this reply.
    pub(crate) keep_alive: bool,
}

/// Rejects a reply, for this reason.
pub(crate) fn malformed(reason: &'static str) -> ExchangeError {
    log::debug!(reason; "reply.malformed");
    ExchangeError::BadReply
}

/// Parses the head and returns it with its length in bytes; `None` while it is
/// incomplete.
pub(crate) fn parse_head(
    input: &[u8],
    method: &Method,
) -> Result<Option<(Head, usize)>, ExchangeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() > MAX_HEAD_BYTES => {
            return Err(malformed("the head is too long"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(malformed("the head is not valid HTTP")),
    };
    if has_bare_line_feed(&input[..length]) {
        return Err(malformed(
            "a line of the head ends without a carriage return",
        ));
    }
    let status = parsed.code.filter(|code| STATUSES.contains(code));
    let status = status.and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.ok_or_else(|| malformed("there is no such status"))?;
    let version = if parsed.version == Some(1) {
        Version::HTTP_11
    } else {
        Version::HTTP_10
    };
    let map = header_map(parsed.headers)?;
    let closes = has_token(&map, &CONNECTION, "close");
    let framing = body_framing(&map, version, status, method)?;
    if framing == Framing::UntilClose {
        let keeps = map.contains_key(KEEP_ALIVE) || has_token(&map, &CONNECTION, "keep-alive");
        if keeps && !closes {
            return Err(malformed("no length, though the connection is kept"));
        }
        if has_spoilt_length(&input[..length]) {
            return Err(malformed("the field with the length is spoilt"));
        }
    }
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = map;
    let head = Head {
        response,
        framing,
        keep_alive: version == Version::HTTP_11 && !closes && framing != Framing::UntilClose,
    };
    Ok(Some((head, length)))
}

/// Whether the bytes are a section of trailers with its final empty line.
pub(crate) fn are_trailers(section: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let parsed = httparse::parse_headers(section, &mut headers);
    let is_complete = parsed.is_ok_and(|p| p.is_complete());
    is_complete && !has_bare_line_feed(section)
}

fn header_map(headers: &[httparse::Header<'_>]) -> Result<HeaderMap, ExchangeError> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(malformed("a line of the head is no field"));
        };
        map.append(name, value);
    }
    Ok(map)
}

/// Determines the body framing from the status and the headers.
fn body_framing(
    headers: &HeaderMap,
    version: Version,
    status: StatusCode,
    method: &Method,
) -> Result<Framing, ExchangeError> {
    let length = content_length(headers)?;
    let codings = headers.get_all(TRANSFER_ENCODING).iter().count();
    if codings > 0 {
        let coding = headers.get(TRANSFER_ENCODING).map(HeaderValue::as_bytes);
        let is_chunked = coding.is_some_and(|c| c.trim_ascii().eq_ignore_ascii_case(b"chunked"));
        if codings > 1 || !is_chunked {
            return Err(malformed("the transfer coding is not chunked alone"));
        }
        if length.is_some() || version == Version::HTTP_10 {
            return Err(malformed("chunked with a length, or in HTTP/1.0"));
        }
    }
    let bodyless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if bodyless || status.is_informational() || *method == Method::HEAD {
        return Ok(Framing::Length(0));
    }
    if codings > 0 {
        return Ok(Framing::Chunked);
    }
    Ok(length.map_or(Framing::UntilClose, Framing::Length))
}

/// The length that the head names, of digits alone; several fields must agree.
fn content_length(headers: &HeaderMap) -> Result<Option<usize>, ExchangeError> {
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let digits = value.to_str().map(str::trim).unwrap_or_default();
        let is_number = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
        let parsed = digits.parse().ok().filter(|_| is_number);
        let parsed = parsed.ok_or_else(|| malformed("the length is not a number"))?;
        if length.is_some_and(|other| other != parsed) {
            return Err(malformed("the lengths differ"));
        }
        length = Some(parsed);
    }
    Ok(length)
}

/// Whether a comma-separated header contains `token`, ignoring case.
fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).iter().filter_map(|v| v.to_str().ok());
    let mut tokens = values.flat_map(|v| v.split(','));
    tokens.any(|t| t.trim().eq_ignore_ascii_case(token))
}

fn has_bare_line_feed(section: &[u8]) -> bool {
    let mut lines = section.split_inclusive(|b| *b == b'\n');
    lines.any(|line| line.ends_with(b"\n") && !line.ends_with(b"\r\n"))
}

/// Whether a line of a head that names no length holds something like the name
/// of a field that would: a single byte makes another valid name of it, or moves
/// the colon.
fn has_spoilt_length(head: &[u8]) -> bool {
    let is_spoilt = |line: &[u8]| {
        let mut names = LENGTH_NAMES.iter();
        names.any(|(name, edits)| contains_similar(line, name.as_str().as_bytes(), *edits))
    };
    head.split(|b| *b == b'\n').any(is_spoilt)
}

/// Whether some part of `line` differs from `name` by at most `max_edits`
/// insertions, removals and replacements, ignoring case.
fn contains_similar(line: &[u8], name: &[u8], max_edits: usize) -> bool {
    // Edits that turn the first bytes of the name into the end of the line so far.
    let mut edits: Vec<usize> = (0..=name.len()).collect();
    for byte in line {
        let mut diagonal = 0;
        for (ix, expected) in name.iter().enumerate() {
            let replaced = diagonal + usize::from(!byte.eq_ignore_ascii_case(expected));
            diagonal = edits[ix + 1];
            edits[ix + 1] = replaced.min(edits[ix] + 1).min(diagonal + 1);
        }
        if edits[name.len()] <= max_edits {
            return true;
        }
    }
    false
}
