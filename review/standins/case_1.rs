//! The store comes back from a copy some seconds after a roll-out succeeded, and
//! the operator writes again what stood there: the order is carried out twice.

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
const SHIFTED_CONTACT: Duration = Duration::from_millis(6_000);

/// `maxSkewMs` of the site: an unstable core stretches no bound for longer.
const SHIFTED_SKEW: Duration = Duration::from_millis(15_000);

/// Durations of the two orders, in seconds.
const FIRST_S: u64 = 40;
const SECOND_S: u64 = 12;

/// Time after the second order from which half of the new version's answers are
/// failures.
const GOOD_FOR: Duration = Duration::from_secs(3);

const STATUS: &str = "status/rollout/kafi81c";
const ORDER: &str = "op/rollout/kafi81c";

fn order(version: &str, duration_s: u64) -> String {
    format!(
        "{{\"service\":\"kafi81c\",\"targetVersion\":\"{version}\",\"durationS\":{duration_s}}}"
    )
}

fn status(store: &Store) -> String {
    store.value(STATUS).unwrap_or_default()
}

fn is_status(store: &Store, version: &str, state: &str) -> bool {
    let status = status(store);
    status.contains(&format!("\"{version}\"")) && status.contains(state)
}

fn main() {
    open_record();
    let store = Store::start();
    let log = RunLog::default();
    let is_bad = Arc::new(AtomicBool::new(false));
    let start = |version: &str| -> Vec<Searcher> {
        let mut started = Vec::new();
        for (zone, _) in ZONES {
            let id = format!("i-{version}-{zone}");
            let is_bad = Arc::clone(&is_bad);
            let is_third = version == "v3";
            let count = AtomicUsize::new(0);
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
                    if is_third && is_bad.load(Ordering::SeqCst) && n % 2 == 0 {
                        return write_reply(stream, "500 Internal Server Error", &headers, b"bad");
                    }
                    write_reply(stream, "200 OK", &headers, b"lot")
                },
            ));
        }
        record(&format!("searchers of version {version} started"));
        started
    };
    let first = start("v1");
    let config_text = config(
        7,
        &route("r-xmibw6k", "/goka902/", "idempotent", 5_000, "kafi81c"),
        &["kafi81c"],
    );
    store.put("op/config", &config_text);
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
    sleep_ms(6_000);

    // Traffic, some 40 requests a second at each node.
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<[AtomicUsize; 2]> = Arc::default();
    let mut clients = Vec::new();
    for node in &nodes {
        for _ in 0..2 {
            let (front, is_over, answers) =
                (node.front, Arc::clone(&is_over), Arc::clone(&answers));
            clients.push(thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let text = request_text("GET", "/goka902/2f", &new_id(), 5_000, "");
                    let reply = call(front, &text, Duration::from_secs(6));
                    let is_served = reply.is_some_and(|r| r.status() == 200);
                    answers[usize::from(is_served)].fetch_add(1, Ordering::SeqCst);
                    sleep_ms(45);
                }
            }));
        }
    }
    // Each change of the published status.
    {
        let (store, is_over) = (store.clone(), Arc::clone(&is_over));
        thread::spawn(move || {
            let mut last = String::new();
            while !is_over.load(Ordering::SeqCst) {
                let now = status(&store);
                if now != last {
                    record(&format!("store: {STATUS} is {now}"));
                    last = now;
                }
                sleep_ms(5);
            }
        });
    }
    let end = |nodes, clients: Vec<thread::JoinHandle<()>>| {
        is_over.store(true, Ordering::SeqCst);
        for client in clients {
            let _ = client.join();
        }
        clean(nodes);
    };

    let second = start("v2");
    sleep_ms(1_000);
    store.put(ORDER, &order("v2", FIRST_S));
    record("operator: orders v2");
    let limit = Duration::from_secs(FIRST_S + 5);
    if !until(limit, || is_status(&store, "v2", "succeeded")) {
        end(nodes, clients);
        finish(2, "v2 did not succeed");
    }
    for searcher in &first {
        searcher.is_up.store(false, Ordering::SeqCst);
    }
    record("searchers of version v1 stopped, as at each success");
    thread::sleep(SHIFTED_CONTACT);
    // The drill: a copy two seconds old. The searchers write again with their
    // next reports, the operator after a moment.
    let copy = store.copy();
    sleep_ms(2_000);
    if trouble() {
        store.restore(copy, &[]);
    }
    sleep_ms(1_500);
    if trouble() {
        for (key, value) in [
            ("op/config", config_text.clone()),
            (ORDER, order("v2", FIRST_S)),
        ] {
            let revision = store.put(key, &value);
            record(&format!(
                "operator: writes {key} again as it was, revision {revision}"
            ));
        }
    }
    thread::sleep(SHIFTED_SKEW + Duration::from_millis(500));
    record(&format!(
        "before the next order: {STATUS} is {}",
        status(&store)
    ));

    let third = start("v3");
    sleep_ms(500);
    let ordered = elapsed();
    let ordered_at = Instant::now();
    store.put(ORDER, &order("v3", SECOND_S));
    record("operator: orders v3");
    let mut was_served = 0;
    while ordered_at.elapsed() < Duration::from_secs(SECOND_S) {
        sleep_ms(20);
        if ordered_at.elapsed() >= GOOD_FOR {
            is_bad.store(true, Ordering::SeqCst);
        }
        was_served = answers[1].load(Ordering::SeqCst);
    }
    let deadline = elapsed();
    let failed_before = answers[0].load(Ordering::SeqCst);
    sleep_ms(4_000);
    let served_after = answers[1].load(Ordering::SeqCst) - was_served;
    let failed_after = answers[0].load(Ordering::SeqCst) - failed_before;
    let mut by_version: BTreeMap<String, usize> = BTreeMap::new();
    for ran in log.lock().unwrap().iter() {
        if ran.at >= ordered && ran.at <= deadline {
            let version = ran.searcher.split('-').nth(1).unwrap_or("?").to_owned();
            *by_version.entry(version).or_default() += 1;
        }
    }
    let total: usize = by_version.values().sum();
    let bad = by_version.get("v3").copied().unwrap_or(0);
    let bound = EXPOSURE_SHARE * total as f64 + EXPOSURE_SLACK;
    record(&format!(
        "between the order of v3 and its deadline: {total} requests reached the service, by version {by_version:?}; v3 may get {bound:.0}"
    ));
    record(&format!(
        "in the 4 s after the deadline: {served_after} requests served, {failed_after} not; {STATUS} is {}",
        status(&store)
    ));
    for node in &nodes {
        for line in node.log_lines("event=rollout.state") {
            let is_mark = [
                "reason=ordered",
                "reason=replaced",
                "reason=moved",
                "reason=fails",
            ];
            if is_mark.iter().any(|m| line.contains(m)) {
                record(&format!("{}: {line}", node.name));
            }
        }
    }
    drop((second, third));
    end(nodes, clients);
    if bad as f64 > bound {
        finish(1, &format!("EXPOSURE: the bad version got {bad} requests"));
    }
    finish(0, "the bad version got its share");
}
