//! Judges whether this node has lost its own links to all targets, as opposed to
//! some targets having failed: nobody replies any more, and new connections to
//! several targets fail too.
//!
//! A node whose links are back serves a growing part of its requests itself, so
//! that neither new connections nor calls come in a burst.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_kernel::time::micros;

/// Number of different targets without a reply that make the links suspect.
const MIN_SILENT_TARGETS: usize = 3;

/// Time without any reply that makes the links suspect. A slow target alone
/// seldom leaves a node without replies for so long.
const MIN_SILENCE: Duration = Duration::from_millis(200);

/// Time over which a node whose links are back takes up its requests again.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// State of the links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Targets reply.
    #[default]
    Up,
    /// Nobody has replied for a while; new connections are tried.
    Suspect,
    /// Nobody replies and no new connection succeeds.
    Down,
    /// Since this time a target can be reached again.
    Returning(Time),
}

#[derive(Debug, Default)]
struct Inner {
    phase: Phase,
    /// Different targets that failed to reply since the last reply, at most
    /// [`MIN_SILENT_TARGETS`].
    silent: Vec<Name>,
    /// When the first of them failed to reply.
    silent_since: Time,
    /// Part of a request that this node may serve itself, while it returns.
    credit: f64,
}

/// Links of this node to all targets; all methods take a shared reference.
#[derive(Debug, Default)]
pub struct Links {
    /// Whether the links are not up or a target is silent. Replies take no lock
    /// otherwise.
    is_troubled: AtomicBool,
    inner: Mutex<Inner>,
}

impl Links {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current state.
    #[must_use]
    pub fn phase(&self) -> Phase {
        if !self.is_troubled.load(Ordering::Acquire) {
            return Phase::Up;
        }
        self.lock().phase
    }

    /// Records that any target replied or accepted a connection; true if that ends
    /// an outage of the links.
    pub fn record_reply(&self, now: Time) -> bool {
        if !self.is_troubled.load(Ordering::Acquire) {
            return false;
        }
        let mut inner = self.lock();
        inner.silent.clear();
        let was_down = inner.phase == Phase::Down;
        inner.phase = match inner.phase {
            Phase::Down => Phase::Returning(now),
            Phase::Returning(since) if now.since(since) < RETURN_TIME => Phase::Returning(since),
            _ => Phase::Up,
        };
        let is_troubled = inner.phase != Phase::Up;
        self.is_troubled.store(is_troubled, Ordering::Release);
        was_down
    }

    /// Records that the target did not reply in time or could not be reached;
    /// true if that makes the links suspect.
    pub fn record_silence(&self, now: Time, target: &Name) -> bool {
        let mut inner = self.lock();
        self.is_troubled.store(true, Ordering::Release);
        if inner.silent.is_empty() {
            inner.silent_since = now;
        }
        if inner.silent.len() < MIN_SILENT_TARGETS && !inner.silent.contains(target) {
            inner.silent.push(Name::clone(target));
        }
        let is_suspect = inner.silent.len() >= MIN_SILENT_TARGETS
            && now.since(inner.silent_since) >= MIN_SILENCE
            && matches!(inner.phase, Phase::Up | Phase::Returning(_));
        if is_suspect {
            inner.phase = Phase::Suspect;
        }
        is_suspect
    }

    /// Records that no new connection succeeded; true if the links are down from
    /// now on. A reply that came meanwhile keeps them up.
    pub fn record_unreachable(&self) -> bool {
        let mut inner = self.lock();
        let is_new = inner.phase == Phase::Suspect;
        if is_new {
            inner.phase = Phase::Down;
            inner.credit = 0.0;
        }
        is_new
    }

    /// Forgets who was silent: the node itself was suspended.
    pub fn record_wake(&self) {
        self.lock().silent.clear();
    }

    /// Whether this node sends the calls of one more request itself.
    #[must_use]
    pub fn admits(&self, now: Time) -> bool {
        if !self.is_troubled.load(Ordering::Acquire) {
            return true;
        }
        let mut inner = self.lock();
        match inner.phase {
            Phase::Up => true,
            Phase::Suspect | Phase::Down => false,
            Phase::Returning(since) => {
                let elapsed = now.since(since);
                if elapsed >= RETURN_TIME {
                    return true;
                }
                inner.credit += elapsed.as_secs_f64() / RETURN_TIME.as_secs_f64();
                let is_admitted = inner.credit >= 1.0;
                if is_admitted {
                    inner.credit -= 1.0;
                }
                is_admitted
            }
        }
    }

    /// Time since the first of the silent targets failed to reply, in
    /// microseconds, for log lines.
    #[must_use]
    pub fn silent_for(&self, now: Time) -> u64 {
        micros(now.since(self.lock().silent_since))
    }
}
