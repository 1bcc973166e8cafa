//! Shared by the contract tests: a parser for case files, a raw HTTP client and
//! a local tier.
#![allow(dead_code)]

use std::net::SocketAddr;

use heatherrun_fakes::searcher::Settings;
use heatherrun_schema::v1;
use heatherrun_standins::local::LocalTier;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const DOMAINS: [&str; 3] = ["wallis", "ticino", "zurich"];

/// Parses a case file: one case per line, fields separated by `|`; comments and
/// blank lines are skipped.
pub fn parse_cases(text: &str) -> Vec<Vec<String>> {
    let mut parsed = Vec::new();
    for line in text.lines() {
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        parsed.push(line.split('|').map(|f| f.trim().to_owned()).collect());
    }
    parsed
}

/// Expands a field to bytes: `<N*text>` repeats the text N times, `\xNN` is one
/// byte, `\r\n` is a line break.
pub fn expand(field: &str) -> Vec<u8> {
    let mut output = Vec::new();
    let mut rest = field;
    while let Some(c) = rest.chars().next() {
        if let Some((count, text, after)) = parse_repetition(rest) {
            output.extend(expand(text).repeat(count));
            rest = after;
            continue;
        }
        if let Some(hex) = rest.strip_prefix("\\x") {
            output.push(u8::from_str_radix(&hex[..2], 16).unwrap());
            rest = &hex[2..];
            continue;
        }
        if let Some(after) = rest.strip_prefix("\\r\\n") {
            output.extend(b"\r\n");
            rest = after;
            continue;
        }
        output.extend(c.to_string().into_bytes());
        rest = &rest[c.len_utf8()..];
    }
    output
}

/// Splits a leading `<N*text>` into the count, the text and the rest.
fn parse_repetition(text: &str) -> Option<(usize, &str, &str)> {
    let (count, rest) = text.strip_prefix('<')?.split_once('*')?;
    let (text, after) = rest.split_once('>')?;
    Some((count.parse().ok()?, text, after))
}

/// HTTP response as read from the socket; the head is in lower case.
#[derive(Debug, Default)]
pub struct Exchange {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

/// Sends raw bytes and reads until the server closes the connection. The default
/// value stands for a response without a complete head.
pub async fn exchange(address: SocketAddr, request: &[u8]) -> Exchange {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let request = request.to_vec();
    let writing = tokio::spawn(async move {
        let _ = writer.write_all(&request).await;
        writer
    });
    let mut input = Vec::new();
    let _ = reader.read_to_end(&mut input).await;
    writing.abort();
    let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Exchange::default();
    };
    let head = String::from_utf8_lossy(&input[..end]).to_ascii_lowercase();
    Exchange {
        status: head
            .get(9..12)
            .and_then(|s| s.parse().ok())
            .unwrap_or_default(),
        head,
        body: input.split_off(end + 4),
    }
}

/// Starts a tier of `nodes` nodes with the sharded service `lotes` and the pooled
/// service `recibos`.
pub async fn start_tier(nodes: usize) -> LocalTier {
    let mut tier = LocalTier::start().await.unwrap();
    let settings = Settings::default();
    let mut lotes = tier
        .add_sharded("lotes", 4, &DOMAINS, &settings)
        .await
        .unwrap();
    lotes.limits = Some(v1::Limits {
        deadline_ms: 20_000,
        deadline_max: 30_000,
        ..v1::Limits::default()
    });
    let recibos = tier
        .add_pooled("recibos", &DOMAINS, &settings)
        .await
        .unwrap();
    tier.serve(nodes, &DOMAINS, vec![lotes, recibos])
        .await
        .unwrap();
    tier
}
