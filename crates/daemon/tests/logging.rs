//! Compares log lines with a text file, and tests the queue in front of
//! standard output.

mod common;

use common::{MemoryAppender, SharedLines};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use heatherrun_daemon::logging::{
    KeyValueLayout, QueuedWriter, log_bridge, parse_level, reset_dropped_lines,
};
use log::kv::ToValue;
use log::{Level, Log as _, Record};

const EXPECTED: &str = include_str!("expected/log.txt");

/// Replaces the time by `T`, after checking its format.
fn mask_time(line: &str) -> String {
    let pairs: Vec<_> = line.split(' ').collect();
    let (secs, millis) = pairs[1]
        .strip_prefix("time=")
        .unwrap()
        .split_once('.')
        .unwrap();
    assert!(secs.parse::<u64>().unwrap() > 1_000_000_000, "{line}");
    assert_eq!(millis.len(), 3, "{line}");
    line.replacen(pairs[1], "time=T", 1)
}

#[test]
fn format_events_match_file() {
    let lines = SharedLines::default();
    let log = log_bridge(MemoryAppender::new(&lines));
    let write = |level, event: &str, pairs: &[(&str, log::kv::Value<'_>)]| {
        let mut record = Record::builder();
        record.level(level).key_values(&pairs);
        log.log(&record.args(format_args!("{event}")).build());
    };
    write(Level::Info, "node.started", &[]);
    write(
        Level::Info,
        "request.answered",
        &[
            ("id", "5f3a-17".to_value()),
            ("took_us", 41_250_u64.to_value()),
            ("whole", true.to_value()),
            ("share", 0.5.to_value()),
        ],
    );
    write(
        Level::Warn,
        "request.refused",
        &[
            ("empty", "".to_value()),
            ("spaces", "two words".to_value()),
            ("quotes", "say \"no\"".to_value()),
            ("equals", "a=b".to_value()),
            ("lines", "one\ntwo".to_value()),
            ("back", "a\\b".to_value()),
            ("accent", "São".to_value()),
        ],
    );
    write(Level::Debug, "call.sent", &[("attempt", 3_i64.to_value())]);
    let found: Vec<_> = lines.lock().unwrap().iter().map(|l| mask_time(l)).collect();
    assert_eq!(found.join("\n") + "\n", EXPECTED);
}

#[test]
fn parse_level_names() {
    assert_eq!(parse_level("").unwrap(), log::LevelFilter::Info);
    assert_eq!(parse_level("debug").unwrap(), log::LevelFilter::Debug);
    assert!(
        parse_level("verbose")
            .unwrap_err()
            .to_string()
            .contains("use error")
    );
}

/// Output that blocks while the mutex is locked, like a pipe that nobody reads.
struct BlockedOutput(Arc<Mutex<()>>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        drop(self.0.lock());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn append_stalled_output_drops_and_counts() {
    // At four times the usual load, the reader of standard output is stalled:
    // logging must drop lines rather than block the node.
    let output_lock = Arc::new(Mutex::new(()));
    let guard = output_lock.lock().unwrap();
    let layout = KeyValueLayout {
        vm: "vm".to_owned(),
    };
    let queued = QueuedWriter::start(layout, BlockedOutput(Arc::clone(&output_lock)), 100).unwrap();
    let log = log_bridge(queued);
    for _ in 0..10_000 {
        log.log(&Record::builder().level(Level::Info).build());
    }
    let dropped = reset_dropped_lines();
    drop(guard);
    log.flush();
    // The queue holds 100 lines, and the writer may hold up to another 100.
    assert!((9_700..=9_900).contains(&dropped), "{dropped}");
}
