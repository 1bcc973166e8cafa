//! Contract tests of calls to a searcher: each case runs against the fake searcher
//! in memory and through the HTTP client over a socket, with the same outcome.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::parse_cases;
use heatherrun_fakes::searcher::{Searcher, Settings};
use heatherrun_kernel::message::{CallError, CallKind, CallResult, Failure, Ran};
use heatherrun_kernel::message::{TargetCall, Warmth};
use heatherrun_kernel::port::Endpoint;
use heatherrun_kernel::{CallId, Epoch, MapRev, QueryId, ServiceId, ShardIx, Snapshot, TargetId};
use heatherrun_ports::target;
use heatherrun_standins::local::LocalSearcher;

/// Settings that put a searcher into the state named in a case.
fn settings(state: &str) -> Settings {
    let mut settings = Settings::default();
    match state {
        "" => {}
        "cold" => settings.warmth = Warmth::Cold,
        "draining" => settings.warmth = Warmth::Draining,
        "map=5" => settings.map = MapRev(5),
        "crash" => settings.crash = Some(b"kernels".to_vec()),
        "slow" => settings.service = Duration::from_secs(15),
        "full" => {
            settings.sheds = true;
            settings.bears = 0;
        }
        other => panic!("unknown state {other}"),
    }
    settings
}

/// Call with one field changed as `text` says, in the form `field=value`.
fn call(text: &str) -> TargetCall {
    let mut call = TargetCall {
        id: CallId {
            query: QueryId { entry: 7, seq: 1 },
            attempt: 0,
        },
        target: TargetId(1),
        service: ServiceId(2),
        shard: ShardIx(0),
        kind: CallKind::Search,
        snapshot: Snapshot(1),
        map: MapRev(0),
        epoch: Epoch(1),
        time_left: Duration::from_secs(20),
        body: Arc::from(b"kernels".as_slice()),
    };
    let Some((key, value)) = text.split_once('=') else {
        return call;
    };
    let number = value.parse().unwrap_or(0);
    match key {
        "snapshot" => call.snapshot = Snapshot(number),
        "map" => call.map = MapRev(number),
        "left" => call.time_left = Duration::from_millis(number),
        "body" => call.body = Arc::from(value.as_bytes()),
        other => panic!("unknown field {other}"),
    }
    call
}

/// Text of a result as written in the case file.
fn outcome(result: &CallResult) -> String {
    match result {
        Ok(_) => "ok".to_owned(),
        Err(CallError { failure, ran }) => {
            let ran = match ran {
                Ran::NotRun => "not-run",
                Ran::Unknown => "unknown",
            };
            format!("{failure:?} {ran}")
        }
    }
}

/// Calls the searcher in memory, with the deadline check that the HTTP client
/// makes before it sends a call.
async fn call_in_memory(searcher: &Searcher, call: TargetCall) -> CallResult {
    if call.time_left.is_zero() {
        return Err(CallError::not_run(Failure::Expired));
    }
    searcher.call(call).await
}

/// Starts a searcher and calls it over a socket.
async fn call_over_socket(settings: Settings, call: TargetCall) -> CallResult {
    let local = LocalSearcher::start("one", "wallis", settings)
        .await
        .unwrap();
    let endpoint = Endpoint {
        address: local.config.address.parse().unwrap(),
        connections: 10,
    };
    (target::targets().call)((endpoint, call)).await
}

#[tokio::test]
async fn call_in_memory_and_over_socket_have_same_outcome() {
    let mut failures = Vec::new();
    for case in parse_cases(include_str!("cases/searchers.txt")) {
        let [name, state, text, expected] = case.as_slice() else {
            panic!("expected four fields: {case:?}");
        };
        let searcher = Searcher::new(settings(state));
        let memory = outcome(&call_in_memory(&searcher, call(text)).await);
        let socket = outcome(&call_over_socket(settings(state), call(text)).await);
        if memory != *expected || socket != *expected {
            failures.push(format!(
                "{name}: in memory {memory}, over the socket {socket}"
            ));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
