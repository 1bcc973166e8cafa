//! Graceful shutdown of the daemon.
//!
//! It is started by SIGTERM, SIGINT, an operator's drain command or the
//! platform's leaving list. The daemon exits with 0 once no request is in
//! flight, with [`EXIT_HARD_LIMIT`] if `stop_secs` passes first, and with
//! [`EXIT_SECOND_SIGNAL`] immediately on a second signal.

use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code after the hard limit; requests may have been interrupted.
pub const EXIT_HARD_LIMIT: u8 = 3;

/// Exit code after a second signal; requests may have been interrupted.
pub const EXIT_SECOND_SIGNAL: u8 = 4;

/// Hard limit of a shutdown, used when the settings name none.
const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_mins(1);

/// The signals that start a graceful shutdown.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the signal handlers. A signal received while the node is still
    /// starting also leads to a graceful shutdown.
    ///
    /// # Errors
    /// If the handlers can't be installed.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn recv(&mut self) {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a signal or `drain_requested`, runs `stop` with a limit of
/// `stop_secs`, and returns the exit code. `stop` returns whether all requests
/// in flight were finished.
pub async fn wait_and_stop<F: Future<Output = bool>>(
    mut signals: Signals,
    drain_requested: impl Future<Output = ()>,
    stop_secs: u32,
    stop: impl FnOnce(Duration) -> F,
) -> u8 {
    tokio::select! {
        biased;
        () = signals.recv() => log::info!(cause = "signal"; "stop.asked"),
        () = drain_requested => log::info!(cause = "drain"; "stop.asked"),
    }
    let limit = match stop_secs {
        0 => DEFAULT_STOP_TIMEOUT,
        secs => Duration::from_secs(u64::from(secs)),
    };
    let code = tokio::select! {
        biased;
        all_finished = stop(limit) => if all_finished { 0 } else { EXIT_HARD_LIMIT },
        () = signals.recv() => EXIT_SECOND_SIGNAL,
    };
    log::info!(code; "stop.ended");
    code
}
