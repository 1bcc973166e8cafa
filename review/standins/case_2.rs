//! A roll-out of a version of whose responses a portion are failures.

mod kit;

use kit::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The block of the settings that `deploy/node.jsonc` renders with the bounds of
/// `shifted/kernwerk-heatherrun-now-grown.toml`.
const ROLLOUT: &str =
    ",\"rollout\":{\"expose_share\":0.1,\"expose_slack\":50,\"rollback_ms\":5000}";
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

/// Duration of the order, in seconds.
const ORDER_S: u64 = 14;

const STATUS: &str = "status/rollout/kafi81c";
const ORDER: &str = "op/rollout/kafi81c";

fn main() {
    open_record();
    let store = Store::start();
    let log = RunLog::default();
    // Failures among the responses of the new version.
    let failures = Arc::new(AtomicUsize::new(0));
    let start = |version: &'static str| -> Vec<Searcher> {
        let mut started = Vec::new();
        for (zone, _) in ZONES {
            let id = format!("i-{version}-{zone}");
            let count = AtomicUsize::new(0);
            let failures = Arc::clone(&failures);
            started.push(Searcher::start_version(
                &store,
                &log,
                &id,
                "kafi81c",
                zone,
                version,
                move |request, stream, stamp| {
                    thread::sleep(Duration::from_millis(3));
                    let n = count.fetch_add(1, Ordering::SeqCst);
                    let headers = answer_headers(request, stamp);
                    if trouble() && version == "v2" && n % 5 < 2 {
                        failures.fetch_add(1, Ordering::SeqCst);
                        return write_reply(stream, "404 Not Found", &headers, b"none");
                    }
                    write_reply(stream, "200 OK", &headers, b"lot")
                },
            ));
        }
        record(&format!("searchers of version {version} started"));
        started
    };
    let first = start("v1");
    let route = route("r-xmibw6k", "/goka902/", "idempotent", 5_000, "kafi81c");
    store.put("op/config", &config(7, &route, &["kafi81c"]));
    let mut nodes = Daemon::nodes_with(&store, 3, ROLLOUT);
    for node in &mut nodes {
        node.start();
    }
    if !until(Duration::from_secs(10), || {
        nodes.iter().all(Daemon::is_ready)
    }) {
        clean(nodes);
        finish(2, "the nodes are not ready");
    }
    // Past contactMs of the site.
    sleep_ms(7_000);

    // Traffic, some 40 requests a second at each node: served, not served, and
    // not answered before the deadline.
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<[AtomicUsize; 3]> = Arc::default();
    let mut clients = Vec::new();
    for node in &nodes {
        for _ in 0..4 {
            let (front, is_over, answers) =
                (node.front, Arc::clone(&is_over), Arc::clone(&answers));
            clients.push(thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let text = request_text("GET", "/goka902/2f", &new_id(), 5_000, "");
                    let kind = match call(front, &text, Duration::from_millis(5_000)) {
                        Some(reply) if reply.status() == 200 => 0,
                        Some(_) => 1,
                        None => 2,
                    };
                    answers[kind].fetch_add(1, Ordering::SeqCst);
                    sleep_ms(95);
                }
            }));
        }
    }
    let counts =
        || -> [usize; 3] { [0, 1, 2].map(|kind: usize| answers[kind].load(Ordering::SeqCst)) };
    let passed = |from: [usize; 3], what: &str| {
        let now = counts();
        let [served, failed, unanswered] = [0, 1, 2].map(|kind: usize| now[kind] - from[kind]);
        record(&format!(
            "{what}: {served} requests served, {failed} failed, {unanswered} without an answer in 5 s"
        ));
    };
    let before = counts();
    sleep_ms(6_000);
    passed(before, "in 6 s before the order");

    let second = start("v2");
    sleep_ms(500);
    let ordered = elapsed();
    let ordered_at = Instant::now();
    let order =
        format!("{{\"service\":\"kafi81c\",\"targetVersion\":\"v2\",\"durationS\":{ORDER_S}}}");
    store.put(ORDER, &order);
    record("operator: orders v2");
    let mut last = String::new();
    while ordered_at.elapsed() < Duration::from_secs(ORDER_S) {
        sleep_ms(10);
        let status = store.value(STATUS).unwrap_or_default();
        if status != last {
            record(&format!("store: {STATUS} is {status}"));
            if status.contains("succeeded") {
                for searcher in &first {
                    searcher.is_up.store(false, Ordering::SeqCst);
                }
                record("searchers of version v1 stopped, as at each success");
            }
            last = status;
        }
    }
    let deadline = elapsed();
    let at_deadline = counts();
    let failures = failures.load(Ordering::SeqCst);
    sleep_ms(6_000);
    passed(at_deadline, "in 6 s after the deadline");
    let mut by_version: BTreeMap<String, usize> = BTreeMap::new();
    for ran in log.lock().unwrap().iter() {
        if ran.at >= ordered && ran.at <= deadline {
            let version = ran.searcher.split('-').nth(1).unwrap_or("?").to_owned();
            *by_version.entry(version).or_default() += 1;
        }
    }
    let total: usize = by_version.values().sum();
    let new = by_version.get("v2").copied().unwrap_or(0);
    let bound = EXPOSURE_SHARE * total as f64 + EXPOSURE_SLACK;
    record(&format!(
        "between the order and its deadline: {total} requests reached the service, by version {by_version:?}; a bad version may get {bound:.0}; {} of its responses were failures",
        failures
    ));
    for node in &nodes {
        for line in node.log_lines("event=rollout.state") {
            if ["ordered", "good", "moved", "fails"]
                .iter()
                .any(|m| line.contains(&format!("reason={m}")))
            {
                record(&format!("{}: {line}", node.name));
            }
        }
    }
    drop(second);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    clean(nodes);
    if total == 0 {
        finish(2, "no request reached the service");
    }
    // Without trouble the version is good and may get everything.
    if trouble() && new as f64 > bound {
        finish(1, &format!("EXPOSURE: the bad version got {new} requests"));
    }
    if !trouble() && !last.contains("succeeded") {
        finish(2, "the good version did not succeed");
    }
    finish(0, "the version got what it may");
}
