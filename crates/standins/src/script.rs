//! An HTTP peer on a socket that answers as a test tells it to, faults of the
//! transport included.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Longest request read, in bytes.
const REQUEST_BYTES: usize = 1 << 20;

/// What the peer does with one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Writes these bytes, in which `{id}` stands for the request's call
    /// identifier, and keeps the connection.
    Write(String),
    /// Writes these bytes and closes the connection.
    WriteClose(String),
    /// Resets the connection after it has read the request.
    Reset,
    /// Resets the connection before it reads anything.
    ResetUnread,
    /// Reads the request and never answers.
    Silent,
}

/// The peer; it goes when dropped.
#[derive(Debug)]
pub struct Script {
    /// Address.
    pub address: SocketAddr,
    acts: Arc<Mutex<Vec<Act>>>,
    accepted: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Script {
    /// Peer that does `acts` one by one, and repeats the last one.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn start(acts: impl IntoIterator<Item = Act>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mut acts: Vec<_> = acts.into_iter().collect();
        acts.reverse();
        let acts = Arc::new(Mutex::new(acts));
        let (accepted, requests) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let (todo, seen, asked) = (
            Arc::clone(&acts),
            Arc::clone(&accepted),
            Arc::clone(&requests),
        );
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                seen.fetch_add(1, Ordering::AcqRel);
                tokio::spawn(play(stream, Arc::clone(&todo), Arc::clone(&asked)));
            }
        });
        Ok(Self {
            address,
            acts,
            accepted,
            requests,
            task,
        })
    }

    /// Connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Acquire)
    }

    /// Requests read so far.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Acts not yet done, the repeated last one included.
    #[must_use]
    pub fn left(&self) -> usize {
        lock(&self.acts).len()
    }
}

impl Drop for Script {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(acts: &Mutex<Vec<Act>>) -> std::sync::MutexGuard<'_, Vec<Act>> {
    acts.lock().unwrap_or_else(PoisonError::into_inner)
}

fn next(acts: &Mutex<Vec<Act>>) -> Option<Act> {
    let mut acts = lock(acts);
    if acts.len() > 1 {
        acts.pop()
    } else {
        acts.last().cloned()
    }
}

async fn play(mut stream: TcpStream, acts: Arc<Mutex<Vec<Act>>>, requests: Arc<AtomicUsize>) {
    let _ = stream.set_nodelay(true);
    if lock(&acts).last() == Some(&Act::ResetUnread) {
        next(&acts);
        // Unread input makes the close a reset.
        let _ = stream.readable().await;
        return;
    }
    loop {
        let Some(id) = read_request(&mut stream).await else {
            return;
        };
        requests.fetch_add(1, Ordering::AcqRel);
        let Some(act) = next(&acts) else {
            return;
        };
        match act {
            Act::Write(text) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
            }
            Act::WriteClose(text) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                return;
            }
            Act::Reset | Act::ResetUnread => {
                let _ = stream.set_zero_linger();
                return;
            }
            Act::Silent => {
                let _ = stream.read(&mut [0; 1]).await;
                return;
            }
        }
    }
}

/// Reads one request; returns its call identifier.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut input = Vec::new();
    loop {
        if let Some(end) = head_end(&input) {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let length: usize = header(&head, "content-length").parse().unwrap_or(0);
            if input.len() >= end + length {
                return Some(header(&head, "heatherrun-call").to_owned());
            }
        }
        if input.len() > REQUEST_BYTES || stream.read_buf(&mut input).await.ok()? == 0 {
            return None;
        }
    }
}

fn head_end(input: &[u8]) -> Option<usize> {
    input
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|p| p + 4)
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    for line in head.lines() {
        let Some((key, value)) = line.split_once(':') else {
            continue;
        };
        if key.eq_ignore_ascii_case(name) {
            return value.trim();
        }
    }
    ""
}
