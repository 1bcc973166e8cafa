//! Replies of a peer in trouble whose head or framing is spoilt. The client
//! reports a failure; it never takes other bytes for the body.

use std::net::SocketAddr;
use std::sync::{Arc, LazyLock, Mutex};
use std::time::Duration;

use bytes::Bytes;
use heatherrun_ports::http_client::{Client, ExchangeError, Route, Whose};
use http::{Request, Response};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// Body of the sound replies.
const BODY: &str = "0123456789abcdef0123456789abcdef";

/// Sound replies: head with its framing, and body. The last line of a head tells
/// the length.
const SOUND: [(&str, &str); 4] = [
    (
        "HTTP/1.1 200 OK\r\nrequest-id: 7\r\nkeep-alive: timeout=10\r\ncontent-length: 32\r\n\r\n",
        BODY,
    ),
    (
        "HTTP/1.1 200 OK\r\nrequest-id: 7\r\nconnection: close\r\nContent-Length: 32\r\n\r\n",
        BODY,
    ),
    (
        "HTTP/1.1 200 OK\r\nrequest-id: 7\r\nkeep-alive: timeout=10\r\ntransfer-encoding: chunked\r\n\r\n",
        "10\r\n0123456789abcdef\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n",
    ),
    (
        "HTTP/1.1 200 OK\r\nrequest-id: 7\r\nconnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
        "10\r\n0123456789abcdef\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n",
    ),
];

/// Bytes that are put in place of others, or between them.
const BYTES: [u8; 26] = [
    0, b'\t', b'\n', 0x0b, b'\r', b' ', b'!', b'"', b'+', b',', b'-', b'.', b'/', b'0', b'1', b'9',
    b':', b';', b'=', b'A', b'a', b'f', b'z', 0x7f, 0x80, 0xff,
];

/// A peer that writes the bytes set last as its reply to each request, and closes
/// the connection.
struct Peer {
    runtime: Runtime,
    address: SocketAddr,
    reply: Arc<Mutex<Vec<u8>>>,
}

impl Peer {
    fn start() -> Self {
        let runtime = Runtime::new().unwrap();
        let reply = Arc::<Mutex<Vec<u8>>>::default();
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let set = Arc::clone(&reply);
        runtime.spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let bytes = set.lock().unwrap().clone();
                tokio::spawn(async move {
                    let _ = stream.read(&mut [0; 1_024]).await;
                    let _ = stream.write_all(&bytes).await;
                    let _ = stream.shutdown().await;
                    let _ = stream.read(&mut [0; 1]).await;
                });
            }
        });
        Self {
            runtime,
            address,
            reply,
        }
    }

    /// Result of a request that is answered by these bytes.
    fn answer(&self, bytes: &[u8]) -> Result<Response<Bytes>, ExchangeError> {
        *self.reply.lock().unwrap() = bytes.to_vec();
        let route = Route {
            address: self.address,
            connections: 1,
            reply: 1 << 16,
            left: Duration::from_secs(20),
            id_hash: 0,
            keeps: false,
        };
        let request = Request::get("/").header("host", "a").body(Bytes::new());
        let client = Client::unkept();
        let exchange = client.exchange(route, request.unwrap(), |_| Whose::Own);
        self.runtime.block_on(exchange)
    }

    /// Asserts that these bytes are a failure, or the sound reply.
    fn assert_sound_or_failed(&self, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        match self.answer(bytes) {
            Ok(reply) => {
                assert_eq!(reply.body(), BODY, "{text:?}");
                let status = reply.status().as_u16();
                assert!((200..600).contains(&status), "{text:?}");
            }
            Err(ExchangeError::BadReply | ExchangeError::Lost) => {}
            Err(error) => panic!("{error}: {text:?}"),
        }
    }
}

#[test]
fn reply_that_is_sound_is_taken() {
    let peer = Peer::start();
    let others = [
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n0123456789abcdef0123456789abcdef",
        "HTTP/1.1 200 OK\r\ncontent-language: gsw\r\nserver: a\r\nconnection: close\r\n\r\n0123456789abcdef0123456789abcdef",
        "HTTP/1.1 200 OK\r\nrequest-id: 7\r\n\r\n0123456789abcdef0123456789abcdef",
        "HTTP/1.0 200 OK\r\n\r\n0123456789abcdef0123456789abcdef",
        "HTTP/1.1 200\r\ncontent-length:32\r\n\r\n0123456789abcdef0123456789abcdef",
        "HTTP/1.1 200 OK\r\nContent-Length: \t32 \r\nvary: content-length\r\n\r\n0123456789abcdef0123456789abcdef",
        "HTTP/1.1 200 OK\r\ntransfer-encoding:  Chunked \r\n\r\n20;a=b;c=\"d e\"\r\n0123456789abcdef0123456789abcdef\r\n000\r\nx-sum: 5\r\n\r\n",
        "HTTP/1.1 599 Odd\r\ncontent-length: 32\r\n\r\n0123456789abcdef0123456789abcdef",
        // Another reply behind this one belongs to no request.
        "HTTP/1.1 200 OK\r\ncontent-length: 32\r\n\r\n0123456789abcdef0123456789abcdefHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    ];
    let sound = SOUND.map(|(head, body)| format!("{head}{body}"));
    for bytes in sound.iter().map(String::as_str).chain(others) {
        let reply = peer
            .answer(bytes.as_bytes())
            .unwrap_or_else(|e| panic!("{e}: {bytes:?}"));
        assert_eq!(reply.body(), BODY, "{bytes:?}");
    }
}

/// Replies of which nothing may be taken, as seen at searchers in trouble or known
/// as tricks.
const SPOILT: [&str; 44] = [
    "HTTP/1.1 200 OK\r\ncontent-length: +2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: 2, 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: 0x2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: \r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: 2.0\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999999999\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent\u{1}length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-lenght: 2\r\nconnection: close\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nx: 1content-length: 2\r\nconnection: close\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok and more",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, identity\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: xchunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: \"chunked\"\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: \r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntrans:fer-encoding: chunked\r\nconnection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n;a=b\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;\u{1}\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nno field\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\na\u{1}b: c\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\ncontent-length: 2\n\nok",
    "HTTP/1.1 200 OK\r\nno colon here\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n: no name\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\na b: c\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\na\u{7f}: c\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\na: b\r\n folded\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 999 OK\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 20 OK\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 OK 200\r\ncontent-length: 2\r\n\r\nok",
    // No length, though the connection is to be kept.
    "HTTP/1.1 200 OK\r\nkeep-alive: timeout=10\r\n\r\nok",
];

#[test]
fn reply_that_is_spoilt_fails() {
    let peer = Peer::start();
    let mut taken = Vec::new();
    for bytes in SPOILT {
        match peer.answer(bytes.as_bytes()) {
            Ok(reply) => taken.push((bytes, reply.body().clone())),
            Err(error) => assert_eq!(error, ExchangeError::BadReply, "{bytes:?}"),
        }
    }
    assert!(taken.is_empty(), "{taken:#?}");
}

/// Each byte of a sound head is replaced, removed, or preceded by another one.
#[test]
fn reply_with_one_spoilt_byte_is_sound_or_fails() {
    let peer = Peer::start();
    for (head, body) in SOUND {
        for ix in 0..head.len() {
            let (before, after) = head.as_bytes().split_at(ix);
            peer.assert_sound_or_failed(&[before, &after[1..], body.as_bytes()].concat());
            for byte in BYTES {
                peer.assert_sound_or_failed(&[before, &[byte], after, body.as_bytes()].concat());
                let replaced = [before, &[byte], &after[1..], body.as_bytes()].concat();
                peer.assert_sound_or_failed(&replaced);
            }
        }
    }
}

/// Edits of a head: where, counted from the line that tells the length, with
/// which byte, and whether the byte there is replaced, preceded by it, or removed.
fn edits() -> impl Strategy<Value = Vec<(usize, u8, usize)>> {
    prop::collection::vec((0_usize..40, any::<u8>(), 0_usize..3), 1..4)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(39),
        ..ProptestConfig::with_cases(4_000)
    })]

    #[test]
    fn reply_with_spoilt_bytes_is_sound_or_fails(sound in 0..SOUND.len(), edits in edits()) {
        static PEER: LazyLock<Peer> = LazyLock::new(Peer::start);
        let (head, body) = SOUND[sound];
        let mut bytes = head.as_bytes().to_vec();
        let start = head.trim_end().rfind('\n').unwrap() + 1;
        for (offset, byte, kind) in edits {
            let ix = (start + offset).min(bytes.len() - 1);
            match kind {
                0 => bytes[ix] = byte,
                1 => bytes.insert(ix, byte),
                _ => drop(bytes.remove(ix)),
            }
        }
        bytes.extend_from_slice(body.as_bytes());
        PEER.assert_sound_or_failed(&bytes);
    }
}
