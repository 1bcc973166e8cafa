//! Clients outside the limits, in crowds, against a `heatherrund` process on
//! loopback: the process lives, its memory and descriptors stay within its
//! settings, and an ordinary request is answered while the crowd is still there.

#[path = "../../../../platform/tests/common/mod.rs"]
mod common;

mod crowd;
mod process;

use std::fs;
use std::path::PathBuf;
use std::sync::Mutex;

use common::searcher::{Act, Searcher};
use common::{Site, get, one, request, send, until};
use crowd::{Crowd, Framing, MAX_BODY_BYTES};
use process::Process;
use serde_json::json;
use tokio::runtime::Builder;

/// Memory in the settings of the process, in MB.
const MEMORY_MB: u32 = 64;

/// File descriptors in the settings of the process.
const MAX_FDS: u32 = 1_000;

/// Clients that send large bodies. Their bodies take more than the memory of the
/// process.
const SENDERS: usize = 400;

/// Clients that take a connection each: more than the process has descriptors.
const CONNECTIONS: usize = 1_200;

/// Length of an answer that is not read, and the number of clients that ask for
/// one.
const LONG_ANSWER_BYTES: usize = 4 << 20;
const READERS: usize = 60;

/// Bytes that a body lacks.
const MISSING_BYTES: usize = 5;

/// Serializes the tests: each measures a process.
static RUN_LOCK: Mutex<()> = Mutex::new(());

/// A process, the store it reads, and searchers: an ordinary one of service `one`,
/// and `stuck` of service `two`.
struct Rig {
    process: Process,
    stuck: Searcher,
    _site: Site,
    _ordinary: Searcher,
}

impl Rig {
    async fn start(name: &str) -> Self {
        let folder = folder(name);
        let mut site = Site::start().await;
        let ordinary = Searcher::start("i-1", "one").await;
        let stuck = Searcher::start("i-2", "two").await;
        site.register(&ordinary, "one", json!({"slots": 30})).await;
        site.register(&stuck, "two", json!({"slots": 30})).await;
        site.body_bytes = MAX_BODY_BYTES;
        let mut two = one("idempotent");
        two["name"] = json!("two");
        two["prefix"] = json!("/two/");
        two["service"] = json!("two");
        site.configure(json!([one("idempotent"), two])).await;
        let process = Process::start(&folder, site.store_at, true, (MEMORY_MB, MAX_FDS));
        let rig = Self {
            process,
            stuck,
            _site: site,
            _ordinary: ordinary,
        };
        until(|| rig.answers(1)).await;
        rig
    }

    /// Whether a request with a body of this length is answered.
    async fn answers(&self, body_bytes: usize) -> bool {
        let body = "b".repeat(body_bytes);
        let reply = send(self.process.callers, request("POST", "/one/x", &body, &[]));
        reply.await.is_ok_and(|reply| reply.status() == 200)
    }

    /// Checks the process beside a crowd, and without it.
    async fn check(mut self, crowd: Crowd) {
        until(|| self.answers(1)).await;
        drop(crowd);
        until(|| self.answers(MAX_BODY_BYTES)).await;
        check_process(&mut self.process);
    }
}

/// Checks that a process lives, and stayed within its settings.
fn check_process(process: &mut Process) {
    assert!(process.is_alive());
    let (bytes, descriptors) = (process.peak_memory(), process.peak_descriptors());
    println!(
        "peak memory {} KB, descriptors {descriptors}",
        bytes / 1_000
    );
    let most = u64::from(MEMORY_MB) * 1_000_000;
    assert!(bytes <= most, "{bytes} bytes of {most}");
    assert!(
        descriptors <= MAX_FDS as usize,
        "{descriptors} of {MAX_FDS}"
    );
}

/// Empties the folder of a test and returns it.
fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("hostile-{name}"));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Runs a test alone, on a runtime of its own.
fn run_alone(test: impl Future<Output = ()>) {
    let _guard = RUN_LOCK.lock();
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    runtime.unwrap().block_on(test);
}

/// Runs a test of a gateway, which has answered a request of the full length.
fn run<F: Future<Output = ()>>(name: &str, test: impl FnOnce(Rig) -> F) {
    run_alone(async {
        let rig = Rig::start(name).await;
        until(|| rig.answers(MAX_BODY_BYTES)).await;
        test(rig).await;
    });
}

/// Clients that stop short of the end of a body of the full length and stay.
fn run_short_of_end(name: &str, framing: Framing) {
    run(name, |rig| async {
        let stops_at = MAX_BODY_BYTES - MISSING_BYTES;
        let crowd = Crowd::send_bodies(rig.process.callers, SENDERS, framing, stops_at).await;
        rig.check(crowd).await;
    });
}

#[test]
fn bodies_short_of_their_end_are_survived() {
    run_short_of_end(
        "length",
        Framing::Length {
            piece: MAX_BODY_BYTES,
        },
    );
}

#[test]
fn bodies_in_pieces_are_survived() {
    run_short_of_end("pieces", Framing::Length { piece: 4_096 });
}

#[test]
fn chunked_bodies_are_survived() {
    run_short_of_end("chunks", Framing::Chunked { size: 4_096 });
}

/// Reading these bodies takes the process longer than sending them takes the
/// clients, which stay until it is done with them.
#[test]
fn bodies_in_tiny_chunks_are_survived() {
    run("tiny-chunks", |rig| async {
        let framing = Framing::Chunked { size: 1 };
        let stops_at = MAX_BODY_BYTES - MISSING_BYTES;
        let crowd = Crowd::send_bodies(rig.process.callers, SENDERS, framing, stops_at).await;
        crowd.wait_answers().await;
        rig.check(crowd).await;
    });
}

#[test]
fn announced_bodies_over_the_limit_are_survived() {
    run("announced", |rig| async {
        let length = MAX_BODY_BYTES * 1_000;
        let crowd = Crowd::announce_bodies(rig.process.callers, SENDERS, length).await;
        rig.check(crowd).await;
    });
}

#[test]
fn endless_bodies_are_survived() {
    run("endless", |rig| async {
        let framing = Framing::Chunked { size: 4_096 };
        let most = MAX_BODY_BYTES * 40;
        let crowd = Crowd::send_bodies(rig.process.callers, SENDERS, framing, most).await;
        rig.check(crowd).await;
    });
}

/// Complete requests that their searcher never answers.
#[test]
fn bodies_of_running_requests_are_survived() {
    run("running", |rig| async {
        rig.stuck.does(Act::Silent);
        let crowd = Crowd::send_requests(rig.process.callers, SENDERS, "/two/x").await;
        rig.check(crowd).await;
    });
}

/// Clients that ask for long answers and do not read them.
#[test]
fn answers_that_are_not_read_are_survived() {
    run("unread", |rig| async {
        let body = "a".repeat(LONG_ANSWER_BYTES);
        rig.stuck.does(Act::Write(format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {{id}}\r\nserver-stamp: s\r\n\
             content-length: {LONG_ANSWER_BYTES}\r\n\r\n{body}"
        )));
        let crowd = Crowd::ignore_answers(rig.process.callers, READERS, "/two/x").await;
        rig.check(crowd).await;
    });
}

/// Connections to each port that send nothing, or a part of a head.
#[test]
fn connections_without_a_request_are_survived() {
    for (name, bytes) in [("silent", ""), ("heads", "GET /one/x HTTP/1.1\r\nhost: ")] {
        run(name, |rig| async {
            let crowd = Crowd::connect(rig.process.callers, CONNECTIONS, bytes).await;
            rig.check(crowd).await;
        });
        run(&format!("{name}-elsewhere"), |rig| async {
            let ports = [rig.process.ready, rig.process.directory, rig.process.peers];
            let mut crowd = Crowd::default();
            for port in ports {
                crowd.join(Crowd::connect(port, CONNECTIONS, bytes).await);
            }
            rig.check(crowd).await;
        });
    }
}

/// The tier's own interface: callers and operators of a node that has no
/// configuration.
#[test]
fn bodies_to_the_own_interface_are_survived() {
    run_alone(async {
        let site = Site::start().await;
        let limits = (MEMORY_MB, MAX_FDS);
        let mut process = Process::start(&folder("own"), site.store_at, false, limits);
        let callers = process.callers;
        let lists_addresses = || async {
            let reply = get(callers, "/addresses").await;
            reply.is_ok_and(|reply| reply.status() == 200)
        };
        until(lists_addresses).await;
        let framing = Framing::Length {
            piece: MAX_BODY_BYTES,
        };
        let stops_at = MAX_BODY_BYTES - MISSING_BYTES;
        let mut crowd = Crowd::default();
        for port in [callers, process.operators] {
            crowd.join(Crowd::send_bodies(port, SENDERS, framing, stops_at).await);
        }
        until(lists_addresses).await;
        drop(crowd);
        check_process(&mut process);
    });
}
