//! Log lines, compared with a text file.

mod common;

use common::{Lines, Written};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use heatherrun_daemon::logging::{KeyValueLayout, Queued, bridge, dropped, level};
use log::kv::ToValue;
use log::{Level, Log as _, Record};

const EXPECTED: &str = include_str!("expected/log.txt");

/// Puts `T` in place of the time, after checking its form.
fn without_time(line: &str) -> String {
    let words: Vec<_> = line.split(' ').collect();
    let (secs, millis) = words[1]
        .strip_prefix("time=")
        .unwrap()
        .split_once('.')
        .unwrap();
    assert!(secs.parse::<u64>().unwrap() > 1_000_000_000, "{line}");
    assert_eq!(millis.len(), 3, "{line}");
    line.replacen(words[1], "time=T", 1)
}

#[test]
fn format_events_match_file() {
    let lines = Written::default();
    let log = bridge(Lines::new(&lines));
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
    let found: Vec<_> = lines
        .lock()
        .unwrap()
        .iter()
        .map(|l| without_time(l))
        .collect();
    assert_eq!(found.join("\n") + "\n", EXPECTED);
}

#[test]
fn level_names_match() {
    assert_eq!(level("").unwrap(), log::LevelFilter::Info);
    assert_eq!(level("debug").unwrap(), log::LevelFilter::Debug);
    assert!(
        level("verbose")
            .unwrap_err()
            .to_string()
            .contains("use error")
    );
}

/// Standard output that nobody reads until it is let go.
struct Stuck(Arc<Mutex<()>>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        drop(self.0.lock());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn queued_lines_nobody_reads_are_dropped_and_counted() {
    // Pattern: four times the usual load, and standard output stands still.
    let stuck = Arc::new(Mutex::new(()));
    let held = stuck.lock().unwrap();
    let layout = KeyValueLayout {
        vm: "vm".to_owned(),
    };
    let queued = Queued::start(layout, Stuck(Arc::clone(&stuck)), 100).unwrap();
    let log = bridge(queued);
    for _ in 0..10_000 {
        log.log(&Record::builder().level(Level::Info).build());
    }
    let lines = dropped();
    drop(held);
    log.flush();
    // A hundred wait, and the writer may hold up to as many.
    assert!((9_700..=9_900).contains(&lines), "{lines}");
}
