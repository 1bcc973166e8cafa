//! A `heatherrund` process whose memory and descriptors are measured.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::common;

/// Interval at which descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// A node of its own, without others.
pub struct Process {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    child: Child,
    peak_descriptors: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a node that reads the store, as a gateway or with the tier's own
    /// interface; its settings and log are written to `folder`.
    pub fn start(
        folder: &Path,
        store: SocketAddr,
        is_gateway: bool,
        (memory_mb, max_fds): (u32, u32),
    ) -> Self {
        let (mut node, gateway) = common::settings("node-1", store, &[]);
        node.operators = node.callers.replace(":7001", ":7005");
        node.memory_mb = memory_mb;
        node.max_fds = max_fds;
        let parse = |address: &str| address.parse().unwrap();
        let addresses = [
            &node.callers,
            &gateway.ready,
            &gateway.directory,
            &node.peers,
            &node.operators,
        ];
        let [callers, ready, directory, peers, operators] = addresses.map(|address| parse(address));
        node.gateway = is_gateway.then_some(gateway);
        let settings = folder.join("node.jsonc");
        fs::write(&settings, common::settings_text(&node)).unwrap();
        let log = File::create(folder.join("node.log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_heatherrund"))
            .arg(&settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        let peak_descriptors = Arc::<AtomicUsize>::default();
        let ended = Arc::<AtomicBool>::default();
        let (peak, stop, id) = (
            Arc::clone(&peak_descriptors),
            Arc::clone(&ended),
            child.id(),
        );
        let sampler = thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                peak.fetch_max(descriptors(id), Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self {
            callers,
            ready,
            directory,
            peers,
            operators,
            child,
            peak_descriptors,
            ended,
            sampler: Some(sampler),
        }
    }

    /// Whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Peak of the process's resident memory, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kib = line.and_then(|l| l.trim().strip_suffix(" kB"));
        kib.unwrap().parse::<u64>().unwrap() * 1_024
    }

    /// Most descriptors that were open at the same time.
    pub fn peak_descriptors(&self) -> usize {
        self.peak_descriptors.load(Ordering::Relaxed)
    }
}

/// Open descriptors of a process; zero if it has ended.
fn descriptors(id: u32) -> usize {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

impl Drop for Process {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(sampler) = self.sampler.take() {
            let _ = sampler.join();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
