//! Processor time of threads, memory and connections of this process, as the
//! kernel counts them.

use std::fs;
use std::time::Duration;

/// Processor time of all threads whose name starts with `name`.
pub fn cpu_of(name: &str) -> Duration {
    let mut total = 0;
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    for task in tasks.flatten() {
        let comm = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        if !comm.starts_with(name) {
            continue;
        }
        let stat = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let nanos = stat.split(' ').next().and_then(|n| n.parse::<u64>().ok());
        total += nanos.unwrap_or(0);
    }
    Duration::from_nanos(total)
}

/// Resident memory of this process, in bytes.
pub fn memory() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

/// Connections established to a local port.
pub fn connections(port: u16) -> usize {
    const ESTABLISHED: &str = "01";
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let suffix = format!(":{port:04X}");
    let mut count = 0;
    for line in table.lines().skip(1) {
        let fields: Vec<_> = line.split_whitespace().collect();
        let local = fields.get(1).is_some_and(|f| f.ends_with(&suffix));
        count += usize::from(local && fields.get(3) == Some(&ESTABLISHED));
    }
    count
}
