//! Contract tests of the HTTP client of targets, over real sockets.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{expand, parse_cases};
use heatherrun_fakes::searcher::Settings;
use heatherrun_kernel::message::{
    CallError, CallKind, CallResult, Failure, Lot, Ran, TargetCall, TargetReply, TargetReport,
};
use heatherrun_kernel::port::Endpoint;
use heatherrun_kernel::{CallId, Epoch, MapRev, QueryId, ServiceId, ShardIx, Snapshot, TargetId};
use heatherrun_ports::{target, wire};
use heatherrun_standins::local::LocalSearcher;
use heatherrun_standins::script::{Act, Script};

/// Deadline of a call that is expected to time out.
const SHORT_DEADLINE: Duration = Duration::from_millis(150);

/// Deadline of every other call.
const LONG_DEADLINE: Duration = Duration::from_secs(20);

fn call(attempt: u16, left: Duration) -> TargetCall {
    TargetCall {
        id: CallId {
            query: QueryId { entry: 7, seq: 1 },
            attempt,
        },
        target: TargetId(1),
        service: ServiceId(2),
        shard: ShardIx(0),
        kind: CallKind::Search,
        snapshot: Snapshot(1),
        map: MapRev(3),
        epoch: Epoch(4),
        time_left: left,
        body: Arc::from(format!("query {attempt}").as_bytes()),
    }
}

/// Complete HTTP reply; the script replaces `{id}` by the identifier of the call.
fn complete_reply() -> String {
    let reply = TargetReply {
        snapshot: Snapshot(1),
        map: MapRev(3),
        lots: vec![Lot {
            id: "lot".to_owned(),
            score: 1.0,
            text: "kernels".to_owned(),
        }],
        body: b"ok".to_vec(),
        report: TargetReport::default(),
    };
    let body = String::from_utf8(wire::encode_reply(reply).unwrap()).unwrap();
    let head = "HTTP/1.1 200 OK\r\nheatherrun-call: {id}\r\n";
    format!("{head}content-length: {}\r\n\r\n{body}", body.len())
}

/// Scripted reaction of the target, from the act and the bytes of a case.
fn parse_act(name: &str, text: &str) -> Act {
    let bytes = String::from_utf8(expand(text)).unwrap();
    let bytes = bytes.replace("OKOK", &complete_reply().repeat(2));
    let bytes = if bytes == "OK" {
        complete_reply()
    } else {
        bytes
    };
    match name {
        "write" => Act::Write(bytes),
        "close" => Act::WriteClose(bytes),
        "reset" => Act::Reset,
        "reset-unread" => Act::ResetUnread,
        "silent" => Act::Silent,
        other => panic!("unknown act {other}"),
    }
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

/// Endpoint to which the client may open `call_connections` connections for
/// calls. The target accepts twice that number plus the one reserved for
/// cancellations.
fn endpoint(address: std::net::SocketAddr, call_connections: u16) -> Endpoint {
    Endpoint {
        address,
        connections: (call_connections + 1) * 2,
    }
}

#[tokio::test]
async fn call_fault_cases_have_expected_outcome() {
    let mut failures = Vec::new();
    for case in parse_cases(include_str!("cases/targets.txt")) {
        let [name, act, text, expected, connection] = case.as_slice() else {
            panic!("expected five fields: {case:?}");
        };
        let acts = [parse_act(act, text), Act::Write(complete_reply())];
        let script = Script::start(acts).await.unwrap();
        let targets = target::targets();
        let endpoint = endpoint(script.address, 4);
        let left = if expected.starts_with("TimedOut") {
            SHORT_DEADLINE
        } else {
            LONG_DEADLINE
        };
        let first = outcome(&(targets.call)((endpoint, call(0, left))).await);
        let next = outcome(&(targets.call)((endpoint, call(1, LONG_DEADLINE))).await);
        let reused = script.accepted() == 1;
        if first != *expected || next != "ok" || reused != (connection == "kept") {
            failures.push(format!(
                "{name}: {first}, next call {next}, connection reused: {reused}"
            ));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[tokio::test]
async fn call_no_listener_is_not_run() {
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let result = (target::targets().call)((endpoint(address, 4), call(0, LONG_DEADLINE))).await;
    assert_eq!(result, Err(CallError::not_run(Failure::NoConnection)));
}

#[tokio::test]
async fn call_zero_deadline_sends_nothing() {
    let script = Script::start([Act::Write(complete_reply())]).await.unwrap();
    let endpoint = endpoint(script.address, 4);
    let result = (target::targets().call)((endpoint, call(0, Duration::ZERO))).await;
    assert_eq!(result, Err(CallError::not_run(Failure::Expired)));
    assert_eq!((script.accepted(), script.requests()), (0, 0));
}

#[tokio::test]
async fn call_connection_closed_by_target_reconnects() {
    let reply = || Act::WriteClose(complete_reply());
    let script = Script::start([reply(), reply(), reply()]).await.unwrap();
    let targets = target::targets();
    for attempt in 0..3 {
        let result =
            (targets.call)((endpoint(script.address, 4), call(attempt, LONG_DEADLINE))).await;
        assert_eq!(outcome(&result), "ok");
    }
    assert_eq!(script.requests(), 3);
}

#[tokio::test]
async fn call_late_reply_is_not_read_by_next_call() {
    let slow = Settings {
        service: Duration::from_millis(300),
        ..Settings::default()
    };
    let searcher = LocalSearcher::start("slow", "wallis", slow).await.unwrap();
    let endpoint = endpoint(searcher.config.address.parse().unwrap(), 3);
    let targets = target::targets();
    for attempt in 0..20 {
        let left = if attempt % 2 == 0 {
            Duration::from_millis(20)
        } else {
            LONG_DEADLINE
        };
        let mut next_call = call(attempt, left);
        next_call.map = MapRev(0);
        let result = (targets.call)((endpoint, next_call)).await;
        let Ok(reply) = result else {
            assert_eq!(attempt % 2, 0, "{result:?}");
            continue;
        };
        assert_eq!(reply.body, format!("query {attempt}").into_bytes());
    }
}

#[tokio::test]
async fn call_concurrent_calls_stay_within_connection_limit() {
    let script = Script::start([Act::Silent]).await.unwrap();
    let targets = target::targets();
    let endpoint = endpoint(script.address, 5);
    let mut calls = Vec::new();
    for attempt in 0..40 {
        calls.push(tokio::spawn((targets.call)((
            endpoint,
            call(attempt, SHORT_DEADLINE),
        ))));
    }
    let mut refused = 0;
    for call in calls {
        let result = call.await.unwrap();
        refused += usize::from(result == Err(CallError::not_run(Failure::NoConnection)));
    }
    assert_eq!((script.accepted(), script.requests(), refused), (5, 5, 35));
}

#[tokio::test]
async fn cancel_busy_connections_uses_reserved_connection() {
    let slow = Settings {
        service: Duration::from_secs(15),
        slots: 1,
        ..Settings::default()
    };
    let searcher = LocalSearcher::start("slow", "wallis", slow).await.unwrap();
    let endpoint = endpoint(searcher.config.address.parse().unwrap(), 1);
    let targets = target::targets();
    let running = tokio::spawn((targets.call)((endpoint, call(0, LONG_DEADLINE))));
    while searcher.searcher.counts().arrived == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (targets.cancel)((endpoint, TargetId(1), call(0, LONG_DEADLINE).id)).await;
    let result = running.await.unwrap();
    assert_eq!(outcome(&result), "Cancelled unknown");
    assert_eq!(searcher.searcher.counts().ran, 0);
}
