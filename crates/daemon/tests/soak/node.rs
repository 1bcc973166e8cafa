//! Starts, signals and stops the `heatherrund` process of one node.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use tokio::net::TcpStream;

use crate::common;
use crate::proxy::Proxy;

/// Hard limit of a graceful shutdown.
const STOP_LIMIT_SECS: u32 = 3;

/// Maximum time to wait until a process listens, or until it exits after a
/// signal.
const EXIT_TIMEOUT: Duration = Duration::from_secs(8);

/// A node, which keeps its addresses and settings when its process restarts.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    /// Proxy between the node and the store.
    pub store: Proxy,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    /// Daemons of this node: each start takes the next one, in turn.
    builds: Vec<PathBuf>,
    starts: usize,
}

/// Daemon of an older build, which runs beside this one if the variable
/// `SOAK_OLD_BUILD` holds its path.
pub fn old_build() -> Option<PathBuf> {
    std::env::var_os("SOAK_OLD_BUILD").map(PathBuf::from)
}

impl Node {
    /// Creates a node without starting it; its settings and log are written to
    /// `folder`.
    pub async fn new(name: &str, store_address: SocketAddr, folder: &Path) -> Self {
        let store = Proxy::start(store_address).await;
        let (mut node, gateway) = common::settings(name, store.address, &[]);
        node.stop_secs = STOP_LIMIT_SECS;
        // The settings require this address, but a gateway doesn't listen on it.
        node.operators = node.callers.replace(":7001", ":7005");
        let (callers, ready) = (
            node.callers.parse().unwrap(),
            gateway.ready.parse().unwrap(),
        );
        node.gateway = Some(gateway);
        let settings = folder.join(format!("{name}.jsonc"));
        fs::write(&settings, common::settings_text(&node)).unwrap();
        Self {
            name: name.to_owned(),
            callers,
            ready,
            store,
            settings,
            log: folder.join(format!("{name}.log")),
            process: None,
            builds: old_build()
                .into_iter()
                .chain([PathBuf::from(env!("CARGO_BIN_EXE_heatherrund"))])
                .collect(),
            starts: 0,
        }
    }

    /// Starts the process of the node.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap();
        let build = &self.builds[self.starts % self.builds.len()];
        self.starts += 1;
        let process = Command::new(build)
            .arg(&self.settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        self.process = Some(process.unwrap());
    }

    /// Whether the last start was of this build, not of the older one.
    pub fn runs_this_build(&self) -> bool {
        self.starts > 0 && self.starts.is_multiple_of(self.builds.len())
    }

    /// Waits until the process accepts connections.
    ///
    /// # Errors
    /// If it doesn't within [`EXIT_TIMEOUT`].
    pub async fn wait_until_listening(&self) -> Result<(), String> {
        let open = async {
            while TcpStream::connect(self.callers).await.is_err() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let result = tokio::time::timeout(EXIT_TIMEOUT, open).await;
        result.map_err(|_| format!("{} does not listen", self.name))
    }

    /// Sends a signal to the process, if one is running.
    pub fn signal(&self, signal: Signal) {
        let Some(process) = &self.process else { return };
        let pid = Pid::from_raw(process.id().cast_signed());
        kill_process(pid.expect("process ids are positive"), signal).unwrap();
    }

    /// Waits until the process exits and returns its exit code: `None` if a
    /// signal terminated it, 0 if none was running.
    ///
    /// # Errors
    /// If it doesn't exit within [`EXIT_TIMEOUT`].
    pub async fn wait_exit(&mut self) -> Result<Option<i32>, String> {
        let deadline = tokio::time::Instant::now() + EXIT_TIMEOUT;
        let Some(process) = &mut self.process else {
            return Ok(Some(0));
        };
        while tokio::time::Instant::now() < deadline {
            if let Some(status) = process.try_wait().unwrap() {
                self.process = None;
                return Ok(status.code());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(format!("{} did not exit after the stop signal", self.name))
    }

    /// Whether a process was started whose exit has not been observed.
    pub const fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Returns an error message if the process exited unexpectedly.
    pub fn unexpected_exit(&mut self) -> Option<String> {
        let process = self.process.as_mut()?;
        let status = process.try_wait().unwrap()?;
        Some(format!("{} exited unexpectedly: {status}", self.name))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
