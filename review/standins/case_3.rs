//! A node starts again right after a change of the configuration, while the
//! store's stale reads are some seconds behind.

mod kit;

use kit::*;
use std::fmt::Write as _;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Age of the pages that the listing of a starting node gets after the first.
const STALE_MS: u64 = 3_000;

/// Idle routes, fewer than the 1,400 of the site's `big_config`, each to all 54
/// shards of an index. The configuration is near the store's `valueBytes`, and
/// does not fit into one page with what stands before it.
const IDLE_ROUTES: usize = 1_350;
const SHARDS: usize = 54;

/// Bounds of `shifted/kernwerk-heatherrun-now-grown.toml`.
const SITE_APPLY: Duration = Duration::from_millis(5_000);
const SITE_SKEW: Duration = Duration::from_millis(15_000);

/// Name of a shard, as long as those of the bench.
fn shard(n: usize) -> String {
    format!("lohu{n:02}e")
}

fn configuration(version: u64, is_new: bool) -> String {
    let service = if is_new { "new42b" } else { "old17a" };
    let mut routes = route("r-moved", "/goka902/", "idempotent", 3_000, service);
    if is_new {
        let _ = write!(
            routes,
            ",{}",
            route("r-added", "/rany330/", "idempotent", 3_000, "new42b")
        );
    } else {
        let _ = write!(
            routes,
            ",{}",
            route("r-dropped", "/nono601/", "idempotent", 3_000, "old17a")
        );
    }
    let gather: Vec<_> = (0..SHARDS).map(|n| format!("\"{}\"", shard(n))).collect();
    let gather = gather.join(",");
    for n in 0..IDLE_ROUTES {
        let _ = write!(
            routes,
            ",{{\"name\":\"r-idle{n:04}\",\"host\":\"leno12.example\",\"prefix\":\"/nono{n:04}/\",\"type\":\"idempotent\",\"timeoutMs\":800,\"targetLatencyMs\":80,\"priority\":2,\"gather\":[{gather}],\"attempts\":2,\"topK\":5,\"minShardRatio\":0.85,\"allowedRegions\":[]}}"
        );
    }
    let shards: Vec<_> = (0..SHARDS).map(shard).collect();
    let mut services = vec!["old17a", "new42b"];
    services.extend(shards.iter().map(String::as_str));
    config(version, &routes, &services)
}

fn main() {
    open_record();
    let store = Store::start();
    let log = RunLog::default();
    let mut searchers = Vec::new();
    for service in ["old17a", "new42b"] {
        for (zone, _) in ZONES {
            let id = format!("i-{service}-{zone}");
            searchers.push(Searcher::start(
                &store,
                &log,
                &id,
                service,
                zone,
                |request, stream, stamp| {
                    write_reply(stream, "200 OK", &answer_headers(request, stamp), b"lot")
                },
            ));
        }
    }
    let first = configuration(7, false);
    record(&format!("operator: op/config has {} bytes", first.len()));
    store.put("op/config", &first);
    let mut nodes = Daemon::nodes(&store, 3);
    for node in &mut nodes {
        node.start();
    }
    if !until(Duration::from_secs(10), || {
        nodes.iter().all(Daemon::is_ready)
    }) {
        clean(nodes);
        finish(2, "the nodes are not ready");
    }
    // The rosters of the nodes are in the store by then.
    sleep_ms(8_000);
    store.stale_later_ms.store(STALE_MS, Ordering::SeqCst);

    store.put("op/config", &configuration(9, true));
    let acknowledged = Instant::now();
    record(
        "operator: version 9 acknowledged: /goka902/ moves to new42b, /rany330/ is added, /nono601/ is dropped",
    );
    sleep_ms(200);
    if trouble() {
        nodes[0].kill();
        sleep_ms(500);
        nodes[0].start();
    }
    if !until(Duration::from_secs(10), || {
        nodes.iter().all(Daemon::is_ready)
    }) {
        clean(nodes);
        finish(2, "the node is not ready again");
    }
    store.stale_later_ms.store(0, Ordering::SeqCst);
    record("all nodes are ready; stale reads are of the moment again");
    // Later than any bound: configApplyMs, stretched by maxSkewMs. It is also
    // later than contactMs after the start and after the stale reads.
    while acknowledged.elapsed() < SITE_APPLY + SITE_SKEW + Duration::from_secs(1) {
        sleep_ms(50);
    }
    let mut broken = 0;
    for round in 0..10 {
        for node in &nodes {
            for path in ["/goka902/2f", "/rany330/2f", "/nono601/2f"] {
                let id = new_id();
                let text = request_text("GET", path, &id, 3_000, "");
                let reply = call(node.front, &text, Duration::from_secs(4));
                let status = reply.map_or(0, |r| r.status());
                let ran: Vec<_> = {
                    let log = log.lock().unwrap();
                    log.iter()
                        .filter(|r| r.id == id)
                        .map(|r| r.service.clone())
                        .collect()
                };
                let is_dropped = path.starts_with("/nono601/");
                let is_old = (status == 404 && !is_dropped) || ran.iter().any(|s| s == "old17a");
                broken += usize::from(is_old);
                if round % 3 == 0 || is_old {
                    record(&format!(
                        "client {id}: {path} at {}, {:.1} s after the acknowledgement: status {status}, run by {ran:?}{}",
                        node.name,
                        acknowledged.elapsed().as_secs_f64(),
                        if is_old {
                            ": only version 7 allows this"
                        } else {
                            ""
                        },
                    ));
                }
            }
        }
        sleep_ms(1_500);
    }
    for line in nodes[0].log_lines("config.in-force") {
        record(&format!("{}: {line}", nodes[0].name));
    }
    clean(nodes);
    if broken > 0 {
        finish(
            1,
            &format!("CONFIG: {broken} requests handled as only the older version allows"),
        );
    }
    finish(0, "all requests were handled as the newest version allows");
}
