//! Many clients that send what ordinary ones don't, and keep their connections.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Maximum length of a body in the configuration, in bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1_024;

/// Time in which a client tries to send; then it stays as it is.
const SENDING_TIME: Duration = Duration::from_secs(20);

/// Receive buffer of a client that does not read, in bytes.
const SMALL_BUFFER_BYTES: u32 = 4_096;

/// Chunks that are written at a time.
const CHUNKS_PER_WRITE: usize = 1_024;

/// How the bodies of a crowd are sent.
#[derive(Clone, Copy)]
pub enum Framing {
    /// With their length, in pieces of this many bytes.
    Length { piece: usize },
    /// In chunks of this many bytes.
    Chunked { size: usize },
}

/// Connections that stay open until dropped.
#[derive(Default)]
pub struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Adds the connections of another crowd.
    pub fn join(&mut self, other: Self) {
        self.0.extend(other.0);
    }

    /// Sends bodies of the maximum length up to the byte `stops_at`.
    pub async fn send_bodies(
        address: SocketAddr,
        count: usize,
        framing: Framing,
        stops_at: usize,
    ) -> Self {
        let head = match framing {
            Framing::Length { .. } => head("/one/x", Some(MAX_BODY_BYTES)),
            Framing::Chunked { .. } => head("/one/x", None),
        };
        let piece = match framing {
            Framing::Length { piece } => "b".repeat(piece),
            Framing::Chunked { size } => {
                let mut piece = String::new();
                for _ in 0..CHUNKS_PER_WRITE.min(stops_at / size) {
                    let _ = write!(piece, "{size:x}\r\n{}\r\n", "b".repeat(size));
                }
                piece
            }
        };
        let content = match framing {
            Framing::Length { piece } => piece,
            Framing::Chunked { size } => size * CHUNKS_PER_WRITE.min(stops_at / size),
        };
        Self::each(address, count, None, |mut stream| {
            let (head, piece) = (head.clone(), piece.clone());
            async move {
                let sending = async {
                    stream.write_all(head.as_bytes()).await?;
                    let mut sent = 0;
                    while sent < stops_at {
                        let part = (stops_at - sent).min(content);
                        let end = piece.len() * part / content;
                        stream.write_all(&piece.as_bytes()[..end]).await?;
                        sent += part;
                        tokio::task::yield_now().await;
                    }
                    std::io::Result::Ok(())
                };
                let _ = tokio::time::timeout(SENDING_TIME, sending).await;
                stream
            }
        })
        .await
    }

    /// Announces bodies of this length and sends what is taken of them.
    pub async fn announce_bodies(address: SocketAddr, count: usize, length: usize) -> Self {
        let head = head("/one/x", Some(length));
        Self::each(address, count, None, |mut stream| {
            let head = head.clone();
            async move {
                let piece = vec![b'b'; MAX_BODY_BYTES];
                let sending = async {
                    stream.write_all(head.as_bytes()).await?;
                    for _ in 0..length / piece.len() {
                        stream.write_all(&piece).await?;
                    }
                    std::io::Result::Ok(())
                };
                let _ = tokio::time::timeout(SENDING_TIME, sending).await;
                stream
            }
        })
        .await
    }

    /// Sends complete requests with bodies of the maximum length.
    pub async fn send_requests(address: SocketAddr, count: usize, path: &str) -> Self {
        let request = head(path, Some(MAX_BODY_BYTES)) + &"b".repeat(MAX_BODY_BYTES);
        Self::write(address, count, None, &request).await
    }

    /// Sends requests whose answers are not read.
    pub async fn ignore_answers(address: SocketAddr, count: usize, path: &str) -> Self {
        let request = head(path, Some(0));
        let crowd = Self::write(address, count, Some(SMALL_BUFFER_BYTES), &request).await;
        crowd.wait_answers().await;
        crowd
    }

    /// Waits until each client has an answer or was closed.
    pub async fn wait_answers(&self) {
        for stream in &self.0 {
            let _ = tokio::time::timeout(SENDING_TIME, stream.readable()).await;
        }
    }

    /// Connects and sends these bytes alone.
    pub async fn connect(address: SocketAddr, count: usize, bytes: &str) -> Self {
        Self::write(address, count, None, bytes).await
    }

    async fn write(address: SocketAddr, count: usize, buffer: Option<u32>, bytes: &str) -> Self {
        Self::each(address, count, buffer, |mut stream| {
            let bytes = bytes.to_owned();
            async move {
                let writing = stream.write_all(bytes.as_bytes());
                let _ = tokio::time::timeout(SENDING_TIME, writing).await;
                stream
            }
        })
        .await
    }

    /// Connects clients of which each behaves as `act` says, all at once. Those
    /// that cannot connect are left out.
    async fn each<F>(
        address: SocketAddr,
        count: usize,
        buffer: Option<u32>,
        act: impl Fn(TcpStream) -> F,
    ) -> Self
    where
        F: Future<Output = TcpStream> + Send + 'static,
    {
        let mut clients = JoinSet::new();
        for _ in 0..count {
            let socket = TcpSocket::new_v4().unwrap();
            if let Some(buffer) = buffer {
                socket.set_recv_buffer_size(buffer).unwrap();
            }
            let connecting = tokio::time::timeout(SENDING_TIME, socket.connect(address));
            let Ok(Ok(stream)) = connecting.await else {
                continue;
            };
            clients.spawn(act(stream));
        }
        Self(clients.join_all().await)
    }
}

/// Head of a request with a body of this length, or a chunked one.
fn head(path: &str, length: Option<usize>) -> String {
    let framing = length.map_or_else(
        || "transfer-encoding: chunked".to_owned(),
        |length| format!("content-length: {length}"),
    );
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nrequest-id: hostile\r\n\
         deadline-ms: 60000\r\n{framing}\r\n\r\n"
    )
}
