//! The planned stop of the daemon.
//!
//! SIGTERM, SIGINT, an operator's drain and the platform's leaving list begin
//! it. The daemon exits with 0 once nothing is left to cut, with
//! [`HARD_LIMIT`] when `stop_secs` passed first, and with [`SECOND_SIGNAL`]
//! at once on a second signal.

use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code after the hard limit; a request may have been cut.
pub const HARD_LIMIT: u8 = 3;

/// Exit code after a second signal; a request may have been cut.
pub const SECOND_SIGNAL: u8 = 4;

/// Hard limit of a stop when the settings name none.
const STOP_TIME: Duration = Duration::from_mins(1);

/// The signals that begin a planned stop.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Receives signals from now on; one that comes while the node still
    /// starts stops it as planned, too.
    ///
    /// # Errors
    /// When signals cannot be received.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits until a signal or `begun` begins a planned stop, runs `stop` within
/// `stop_secs`, and returns the exit code. `stop` tells whether nothing was
/// left to cut.
pub async fn wait<F: Future<Output = bool>>(
    mut signals: Signals,
    begun: impl Future<Output = ()>,
    stop_secs: u32,
    stop: impl FnOnce(Duration) -> F,
) -> u8 {
    tokio::select! {
        biased;
        () = signals.next() => log::info!(cause = "signal"; "stop.asked"),
        () = begun => log::info!(cause = "drain"; "stop.asked"),
    }
    let limit = match stop_secs {
        0 => STOP_TIME,
        secs => Duration::from_secs(u64::from(secs)),
    };
    let code = tokio::select! {
        biased;
        whole = stop(limit) => if whole { 0 } else { HARD_LIMIT },
        () = signals.next() => SECOND_SIGNAL,
    };
    log::info!(code; "stop.ended");
    code
}
