//! A new version takes the last tenant out of the configuration, and so all keys.

mod kit;

use kit::*;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The block of the settings that `deploy/node.jsonc` renders with the bounds of
/// `demands/vkv-herbarium-grown.toml`.
const TEAMS: &str = ",\"teams\":{\"strict_revoke\":false,\"revoke_ms\":5000,\"quota_secs\":5,\
                     \"quota_overshoot\":0.1,\"quota_slack\":20}";

const TENANT: &str = "{\"name\":\"kami770\",\"apiKeys\":[\"k-held-7f3a91c2\"],\"priority\":1,\
                      \"ratePerS\":0,\"burst\":0,\"allowedRegions\":[]}";

/// `configApplyMs` and `contactMs` of that site.
const SITE_APPLY: Duration = Duration::from_millis(5_000);
const SITE_CONTACT: Duration = Duration::from_millis(6_000);

/// A key that the first version held and the second one does not, and one that
/// no configuration ever held.
const DROPPED: &str = "k-held-7f3a91c2";
const NEVER: &str = "k-never-held-by-any";

fn main() {
    open_record();
    let store = Store::start();
    let log = RunLog::default();
    // Headers of each request that ran: id, Tenant, Authorization.
    let heads: Arc<Mutex<Vec<(String, String, String)>>> = Arc::default();
    let mut searchers = Vec::new();
    for (zone, _) in ZONES {
        let id = format!("i-{zone}");
        let heads = Arc::clone(&heads);
        searchers.push(Searcher::start(
            &store,
            &log,
            &id,
            "kafi81c",
            zone,
            move |request, stream, stamp| {
                let text = |name: &str| request.header(name).unwrap_or("-").to_owned();
                heads.lock().unwrap().push((
                    text("request-id"),
                    text("tenant"),
                    text("authorization"),
                ));
                write_reply(stream, "200 OK", &answer_headers(request, stamp), b"lot")
            },
        ));
    }
    let route = route("r-xmibw6k", "/goka902/", "idempotent", 3_000, "kafi81c");
    let config_of = |version| config(version, &route, &["kafi81c"]);
    store.put("op/config", &with_tenants(&config_of(7), TENANT));
    let mut nodes = Daemon::nodes_with(&store, 3, TEAMS);
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
    let ask = |node: &Daemon, key: &str| -> (u16, String, Option<(String, String)>) {
        let id = new_id();
        let text = format!(
            "GET /goka902/2f HTTP/1.1\r\nHost: hufi27.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
             Authorization: Bearer {key}\r\nTenant: another\r\n\r\n"
        );
        let status = call(node.front, &text, Duration::from_secs(4)).map_or(0, |r| r.status());
        let heads = heads.lock().unwrap();
        let ran = heads.iter().find(|(i, ..)| *i == id);
        (
            status,
            id,
            ran.map(|(_, tenant, key)| (tenant.clone(), key.clone())),
        )
    };
    for node in &nodes {
        for key in [DROPPED, NEVER] {
            let (status, id, ran) = ask(node, key);
            record(&format!(
                "version 7: client {id}: key {key} at {}: status {status}, ran with Tenant and Authorization {ran:?}",
                node.name
            ));
            if (status == 200) != (key == DROPPED) {
                clean(nodes);
                finish(2, "version 7 is not in force");
            }
        }
    }
    if trouble() {
        store.put("op/config", &with_tenants(&config_of(9), ""));
        record("operator: version 9 acknowledged: \"tenants\":[]");
    }
    let since = Instant::now();
    while since.elapsed() < SITE_APPLY + SITE_CONTACT {
        sleep_ms(50);
    }
    let (mut never_held, mut passed_on, mut dropped) = (0, 0, 0);
    for round in 0..10 {
        for node in &nodes {
            for key in [DROPPED, NEVER] {
                let (status, id, ran) = ask(node, key);
                if round % 3 == 0 {
                    record(&format!(
                        "{:.1} s later: client {id}: key {key} at {}: status {status}, ran with Tenant and Authorization {ran:?}",
                        since.elapsed().as_secs_f64(),
                        node.name
                    ));
                }
                let Some((_, authorization)) = ran else {
                    continue;
                };
                never_held += usize::from(key == NEVER);
                dropped += usize::from(trouble() && key == DROPPED);
                passed_on += usize::from(authorization.contains(key));
            }
        }
        sleep_ms(300);
    }
    clean(nodes);
    record(&format!(
        "ROUTE: {never_held} requests ran whose key no configuration ever held; UNASKED: {passed_on} keys were passed on to a searcher; CONFIG: {dropped} requests ran with a dropped key"
    ));
    if never_held + passed_on > 0 {
        finish(1, "ROUTE, UNASKED: keys are neither checked nor taken off");
    }
    finish(0, "keys are checked");
}
