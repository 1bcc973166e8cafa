//! Connections of a server, and which of them makes room when connections or
//! memory are short: one that has made no progress for long goes before one that
//! is busy, and a body that lacks much before one that lacks little.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use tokio::sync::Notify;
use tokio::time::Instant;

/// Time without progress from which a request's head or body, or the reading of
/// an answer, counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Number of bytes of a body that count as progress: less of them would keep a body
/// from ever being stalled.
const PROGRESS_BYTES: usize = 16 * 1_024;

/// Time for which a connection may be without a request before it makes room for
/// a new one. A shorter one would let new connections close each other in turn.
const MIN_IDLE_TIME: Duration = Duration::from_millis(500);

/// Maximum number of connections that are being closed to make room.
const MAX_CLOSING: usize = 64;

/// Time for which no connection is searched that makes room, after none was
/// found: a search looks at all of them.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// Part of the connections that may be closing at the same time.
const CLOSING_DIVISOR: usize = 16;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No byte of a request has arrived.
    Idle,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving: memory granted to it and bytes that it
    /// lacks at most.
    Body {
        /// Memory granted, in bytes.
        held: usize,
        /// Bytes that are missing.
        missing: usize,
    },
    /// A complete request is being served.
    Running,
}

/// Why a connection closes early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Close {
    /// Its request is refused, and its body is not read on.
    Body = 1,
    /// It carries no request, or its client does not read the answer.
    Connection = 2,
}

/// Value of [`Connection::close`] while the connection stays open; others are a
/// [`Close`].
const STAYS_OPEN: u8 = 0;

#[derive(Debug)]
struct Progress {
    stage: Stage,
    /// When the stage began, or a body last made progress.
    since: Instant,
    /// Bytes that the body lacked then.
    missing_then: usize,
    /// Since when the client reads no byte of an answer.
    unread_since: Option<Instant>,
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct Connection {
    progress: Mutex<Progress>,
    close: AtomicU8,
    closes: Notify,
}

impl Connection {
    fn new() -> Self {
        Self {
            progress: Mutex::new(Progress {
                stage: Stage::Idle,
                since: Instant::now(),
                missing_then: 0,
                unread_since: None,
            }),
            close: AtomicU8::new(STAYS_OPEN),
            closes: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a stage begins.
    pub(crate) fn set_stage(&self, stage: Stage) {
        let mut progress = self.lock();
        progress.stage = stage;
        progress.since = Instant::now();
    }

    /// Records the memory granted to the arriving body and the bytes that it
    /// lacks.
    pub(crate) fn set_body(&self, held: usize, missing: usize) {
        let mut progress = self.lock();
        let has_begun = matches!(progress.stage, Stage::Body { .. });
        if !has_begun || progress.missing_then >= missing + PROGRESS_BYTES {
            progress.since = Instant::now();
            progress.missing_then = missing;
        }
        progress.stage = Stage::Body { held, missing };
    }

    /// Records that bytes of a head or a body have arrived. Those of a head do
    /// not count as progress.
    pub(crate) fn record_bytes(&self) {
        let mut progress = self.lock();
        if progress.stage == Stage::Idle {
            progress.stage = Stage::Head;
            progress.since = Instant::now();
        }
    }

    /// Records whether the client reads no byte of an answer.
    pub(crate) fn set_unread(&self, is_unread: bool) {
        let mut progress = self.lock();
        if !is_unread {
            progress.unread_since = None;
        } else if progress.unread_since.is_none() {
            progress.unread_since = Some(Instant::now());
        }
    }

    /// Whether no request has arrived completely, and no answer is being written.
    pub(crate) fn is_without_request(&self) -> bool {
        let progress = self.lock();
        let is_waiting = matches!(progress.stage, Stage::Idle | Stage::Head);
        is_waiting && progress.unread_since.is_none()
    }

    /// Whether the client has not read the last answer.
    pub(crate) fn is_unread(&self) -> bool {
        self.lock().unread_since.is_some()
    }

    /// Whether the connection was told to close.
    pub(crate) fn is_closing(&self) -> bool {
        self.close.load(Ordering::Acquire) != STAYS_OPEN
    }

    /// Completes when the connection is told to close so.
    pub(crate) async fn closes(&self, close: Close) {
        loop {
            let closes = self.closes.notified();
            if self.close.load(Ordering::Acquire) == close as u8 {
                return;
            }
            closes.await;
        }
    }

    /// Time without progress, if it counts as stalled.
    fn stalled_for(&self, now: Instant) -> Option<Duration> {
        let progress = self.lock();
        let since = match progress.stage {
            _ if progress.unread_since.is_some() => progress.unread_since?,
            Stage::Head | Stage::Body { .. } => progress.since,
            Stage::Idle | Stage::Running => return None,
        };
        Some(now - since).filter(|time| *time >= STALL_TIME)
    }

    /// Time without a request, if it counts as idle.
    fn idle_for(&self, now: Instant) -> Option<Duration> {
        let progress = self.lock();
        let is_idle = progress.stage == Stage::Idle && progress.unread_since.is_none();
        let time = Some(now - progress.since).filter(|_| is_idle);
        time.filter(|time| *time >= MIN_IDLE_TIME)
    }

    /// Memory held by an arriving body, and the bytes that it lacks.
    fn body(&self) -> Option<(usize, usize)> {
        match self.lock().stage {
            Stage::Body { held, missing } => Some((held, missing)),
            _ => None,
        }
    }
}

/// Who makes room for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Yielding {
    /// Other bodies, whose memory is released soon.
    Others,
    /// The body itself: it is refused.
    Own,
}

#[derive(Debug, Default)]
struct Entries {
    open: HashMap<u64, Arc<Connection>>,
    next_id: u64,
    /// Connections among them that were told to close.
    closing: usize,
    /// When none was last found that makes room.
    searched_at: Option<Instant>,
}

impl Entries {
    /// Tells a connection to close.
    fn close(&mut self, connection: &Connection) {
        let is_body = connection.body().is_some() && !connection.is_unread();
        let close = if is_body {
            Close::Body
        } else {
            Close::Connection
        };
        connection.close.store(close as u8, Ordering::Release);
        connection.closes.notify_waiters();
        self.closing += 1;
    }

    /// The connection, of those that stay open, with the greatest key.
    fn greatest<K: Ord>(&self, key: impl Fn(&Connection) -> Option<K>) -> Option<Arc<Connection>> {
        let staying = self.open.values().filter(|c| !c.is_closing());
        let keyed = staying.filter_map(|c| Some((key(c)?, c)));
        let greatest = keyed.max_by(|(a, _), (b, _)| a.cmp(b));
        greatest.map(|(_, connection)| Arc::clone(connection))
    }
}

/// All connections of one server.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    entries: Mutex<Entries>,
    /// Wakes the server when a connection has closed.
    closed: Notify,
}

/// A connection that was admitted, until dropped.
#[derive(Debug)]
pub(crate) struct Admitted {
    connections: Arc<Connections>,
    id: u64,
    /// The connection.
    pub(crate) connection: Arc<Connection>,
    /// Whether another one was told to close for it.
    pub(crate) replaces: bool,
}

impl Connections {
    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits one more connection while there are fewer than `limit`, or if
    /// another one can make room; `None` otherwise.
    pub(crate) fn admit(self: &Arc<Self>, limit: usize) -> Option<Admitted> {
        let mut entries = self.lock();
        let is_full = entries.open.len() - entries.closing >= limit;
        if is_full {
            if entries.closing >= (limit / CLOSING_DIVISOR).clamp(1, MAX_CLOSING) {
                return None;
            }
            let now = Instant::now();
            if entries
                .searched_at
                .is_some_and(|at| now - at < SEARCH_INTERVAL)
            {
                return None;
            }
            let stalled = entries.greatest(|c| c.stalled_for(now));
            let victim = stalled.or_else(|| entries.greatest(|c| c.idle_for(now)));
            let Some(victim) = victim else {
                entries.searched_at = Some(now);
                return None;
            };
            entries.close(&victim);
        }
        let id = entries.next_id;
        entries.next_id += 1;
        let connection = Arc::new(Connection::new());
        entries.open.insert(id, Arc::clone(&connection));
        Some(Admitted {
            connections: Arc::clone(self),
            id,
            connection,
            replaces: is_full,
        })
    }

    /// Makes room for `more` bytes of the body on `own`.
    pub(crate) fn make_room(&self, own: &Connection, more: usize) -> Yielding {
        let mut entries = self.lock();
        let closing = entries.open.values().filter(|c| c.is_closing());
        let releasing = closing.filter_map(|c| c.body());
        let releasing: usize = releasing.map(|(held, _)| held).sum();
        if releasing >= more {
            return Yielding::Others;
        }
        let now = Instant::now();
        let holds = |c: &Connection| c.body().filter(|(held, _)| *held > 0);
        let stalled = entries.greatest(|c| holds(c).and_then(|_| c.stalled_for(now)));
        let missing_most = || entries.greatest(|c| holds(c).map(|(_, missing)| missing));
        match stalled.or_else(missing_most) {
            Some(victim) if lacks_more(&victim, own, now) => {
                entries.close(&victim);
                Yielding::Others
            }
            _ => Yielding::Own,
        }
    }

    /// Closes the connection whose client has not read its answer for longest.
    pub(crate) fn close_unread(&self) {
        let mut entries = self.lock();
        let now = Instant::now();
        let unread = entries.greatest(|c| c.stalled_for(now).filter(|_| c.is_unread()));
        if let Some(victim) = unread {
            entries.close(&victim);
        }
    }

    /// Waits until all connections have closed.
    pub(crate) async fn all_closed(&self) {
        loop {
            let closed = self.closed.notified();
            if self.lock().open.is_empty() {
                return;
            }
            closed.await;
        }
    }
}

/// Whether a body makes room for the one on `own`: it is stalled, or lacks more.
fn lacks_more(victim: &Connection, own: &Connection, now: Instant) -> bool {
    let missing = |c: &Connection| c.body().map_or(0, |(_, missing)| missing);
    !std::ptr::eq(victim, own)
        && (victim.stalled_for(now).is_some() || missing(victim) > missing(own))
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let mut entries = self.connections.lock();
        let removed = entries.open.remove(&self.id);
        if removed.is_some_and(|c| c.is_closing()) {
            entries.closing -= 1;
        }
        drop(entries);
        self.connections.closed.notify_waiters();
    }
}
