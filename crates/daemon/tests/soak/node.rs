//! One `heatherrund` process, and signals to it.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use heatherrun_schema::v1::NodeSettings;
use rustix::process::{Pid, Signal, kill_process};

use tokio::net::TcpStream;

use crate::common;
use crate::proxy::Proxy;

/// Time that a planned stop may take, in seconds.
const STOP_SECS: u32 = 3;

/// Longest wait for the end of a process that was told to stop.
const END_TIME: Duration = Duration::from_secs(8);

/// The node, over all its processes.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    /// Link between the node and the store.
    pub store: Proxy,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Node {
    /// A node that is not started; its settings and log go to `folder`.
    pub async fn new(name: &str, store_at: SocketAddr, folder: &Path) -> Self {
        let store = Proxy::start(store_at).await;
        let (mut node, own) = common::settings(name, store.address, &[]);
        node.stop_secs = STOP_SECS;
        // A gateway opens no port for operators.
        node.operators = node.callers.replace(":7001", ":7005");
        let (callers, ready) = (node.callers.parse().unwrap(), own.ready.parse().unwrap());
        node.gateway = Some(own);
        let settings = folder.join(format!("{name}.jsonc"));
        fs::write(&settings, text(&node)).unwrap();
        Self {
            name: name.to_owned(),
            callers,
            ready,
            store,
            settings,
            log: folder.join(format!("{name}.log")),
            process: None,
        }
    }

    /// Starts a process of the node.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_heatherrund"))
            .arg(&self.settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        self.process = Some(process.unwrap());
    }

    /// Waits until the process listens.
    ///
    /// # Errors
    /// When it does not in time.
    pub async fn until_open(&self) -> Result<(), String> {
        let open = async {
            while TcpStream::connect(self.callers).await.is_err() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let opened = tokio::time::timeout(END_TIME, open).await;
        opened.map_err(|_| format!("{} does not listen", self.name))
    }

    /// Sends a signal to the node's process, if it has one.
    pub fn signal(&self, signal: Signal) {
        let Some(process) = &self.process else { return };
        let pid = Pid::from_raw(process.id().cast_signed());
        kill_process(pid.expect("ids are positive"), signal).unwrap();
    }

    /// Waits for the end of the process; its exit code, none when a signal
    /// ended it.
    ///
    /// # Errors
    /// When it does not end in time.
    pub async fn ended(&mut self) -> Result<Option<i32>, String> {
        let end = tokio::time::Instant::now() + END_TIME;
        let Some(process) = &mut self.process else {
            return Ok(Some(0));
        };
        while tokio::time::Instant::now() < end {
            if let Some(status) = process.try_wait().unwrap() {
                self.process = None;
                return Ok(status.code());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(format!("{} did not end after its stop", self.name))
    }

    /// Whether a process of the node was started and not seen to end.
    pub const fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Why a process ended by itself.
    pub fn ended_itself(&mut self) -> Option<String> {
        let process = self.process.as_mut()?;
        let status = process.try_wait().unwrap()?;
        Some(format!("{} ended by itself: {status}", self.name))
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

/// Settings as an operator writes them.
fn text(node: &NodeSettings) -> String {
    let mut value = serde_json::to_value(node).unwrap();
    strip(&mut value);
    value.to_string()
}

/// Removes fields that were left at their defaults.
fn strip(value: &mut serde_json::Value) {
    let Some(fields) = value.as_object_mut() else {
        return;
    };
    fields.retain(|_, value| {
        strip(value);
        let zero = value.as_f64() == Some(0.0) || value.as_str() == Some("");
        !(value.is_null() || *value == false || zero)
    });
}
