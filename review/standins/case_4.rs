//! One of nine searchers fails part of its requests with 503 after it has run
//! them, on a route whose requests may run once.

mod kit;

use kit::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Clients, each at one node, and the receipts of each.
const CLIENTS: usize = 12;
const RECEIPTS: usize = 40;

/// The grey searcher, one of nine: a share of 0.11.
const GREY: &str = "i-wallis-a-0";

fn main() {
    open_record();
    let store = Store::start();
    let log = RunLog::default();
    let mut searchers = Vec::new();
    for n in 0..9 {
        let zone = ZONES[n % 3].0;
        let id = format!("i-{zone}-{}", n / 3);
        let is_grey = trouble() && id == GREY;
        let count = Arc::new(AtomicU64::new(0));
        searchers.push(Searcher::start(
            &store,
            &log,
            &id,
            "kafi81c",
            zone,
            move |request, stream, stamp| {
                // The request has run. The grey searcher fails four in ten of them,
                // and does not say that it has not run them.
                thread::sleep(Duration::from_millis(30));
                let n = count.fetch_add(1, Ordering::SeqCst);
                let headers = answer_headers(request, stamp);
                let status = if is_grey && matches!(n % 5, 1 | 3) {
                    "503 Service Unavailable"
                } else {
                    "200 OK"
                };
                write_reply(stream, status, &headers, b"receipt")
            },
        ));
    }
    let route = route("r-xmibw6k", "/goka902/", "non_idempotent", 5_000, "kafi81c");
    store.put("op/config", &config(7, &route, &["kafi81c"]));
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
    sleep_ms(6_000);

    // One receipt at a node: answers, answers that promise "not run" to a request
    // that has run, and whether the receipt was run twice.
    let receipt = |n: usize, front: SocketAddr, log: &RunLog| -> [usize; 3] {
        let (mut answered, mut refused_but_run) = (0, 0);
        // One receipt: the client asks again, with a new id, only after a promise
        // that its request has not run and never will.
        let mut ids = Vec::new();
        for _ in 0..2 {
            let id = new_id();
            ids.push(id.clone());
            let text = request_text("POST", "/goka902/2f", &id, 5_000, &format!("receipt {n}"));
            let Some(reply) = call(front, &text, Duration::from_secs(6)) else {
                record(&format!("client {id}: receipt {n}: no answer"));
                break;
            };
            answered += 1;
            let status = reply.status();
            let ran: HashMap<_, _> = {
                let log = log.lock().unwrap();
                let ran = log.iter().filter(|r| r.id == id);
                ran.map(|r| (r.searcher.clone(), r.at)).collect()
            };
            record(&format!(
                "client {id}: receipt {n}: POST, status {status}, Server-Stamp {:?}, Not-Executed {:?}; run by {ran:?}",
                reply.header("server-stamp"),
                reply.header("not-executed"),
            ));
            let is_promise = matches!(status, 429 | 503 | 408 | 421);
            if is_promise && !ran.is_empty() {
                refused_but_run += 1;
            }
            if !is_promise {
                break;
            }
        }
        let log = log.lock().unwrap();
        let runs = log.iter().filter(|r| ids.contains(&r.id)).count();
        [answered, refused_but_run, usize::from(runs > 1)]
    };
    let mut sums = [0; 3];
    thread::scope(|scope| {
        let mut clients = Vec::new();
        for client in 0..CLIENTS {
            let (front, log, receipt) = (nodes[client % nodes.len()].front, &log, &receipt);
            clients.push(scope.spawn(move || {
                let mut sums = [0; 3];
                for n in 0..RECEIPTS {
                    let counts = receipt(client * RECEIPTS + n, front, log);
                    for (sum, count) in sums.iter_mut().zip(counts) {
                        *sum += count;
                    }
                }
                sums
            }));
        }
        for client in clients {
            for (sum, count) in sums.iter_mut().zip(client.join().unwrap()) {
                *sum += count;
            }
        }
    });
    let [answered, refused_but_run, run_twice] = sums;
    clean(nodes);
    record(&format!(
        "{answered} answers; {refused_but_run} of them 503 to a request that has run; {run_twice} receipts run twice by clients that asked again after it"
    ));
    if answered < CLIENTS * RECEIPTS {
        finish(2, "not all requests were answered");
    }
    if refused_but_run > 0 {
        finish(
            1,
            "REFUSED: a request that is not idempotent was answered 503 and has run",
        );
    }
    finish(0, "no request that was refused has run");
}
