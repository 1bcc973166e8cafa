//! Contract tests of calls to the platform: each case runs against the fake store
//! in memory and through the HTTP client over a socket, with the same outcome.
//! Transport faults are tested over a socket only.

mod common;

use common::{expand, parse_cases};
use heatherrun_fakes::store::{Faults, Store};
use heatherrun_kernel::port::{Platform, StoreCall, StoreError, StoreReply};
use heatherrun_ports::http_server::Phase;
use heatherrun_ports::platform::platform;
use heatherrun_standins::script::{Act, Script};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Text of a result as written in the case file.
fn outcome(result: &Result<StoreReply, StoreError>) -> &'static str {
    match result {
        Ok(StoreReply::Value(None)) => "none",
        Ok(StoreReply::Value(Some(_))) => "value",
        Ok(StoreReply::Swapped(_)) => "swapped",
        Ok(StoreReply::Conflict(_)) => "conflict",
        Ok(StoreReply::Changes(..)) => "changes",
        Ok(StoreReply::Lease(_)) => "lease",
        Ok(StoreReply::NoLease) => "no-lease",
        Ok(StoreReply::Page(..)) => "page",
        Ok(StoreReply::Vms(_)) => "vms",
        Err(StoreError::Unavailable) => "unavailable",
        Err(StoreError::NoAnswer) => "no-answer",
        Err(StoreError::TooLarge) => "too-large",
        Err(StoreError::Forgotten) => "forgotten",
    }
}

/// A fake store with a port to it, in memory or over a socket.
struct TestStore {
    store: Store,
    port: Platform,
    _phase: Option<watch::Sender<Phase>>,
}

impl TestStore {
    fn in_memory() -> Self {
        let store = Store::default();
        Self {
            port: store.platform(),
            store,
            _phase: None,
        }
    }

    async fn over_socket() -> Self {
        let store = Store::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (phase, phase_receiver) = watch::channel(Phase::Serve);
        let server = heatherrun_standins::platform::serve(listener, store.clone(), phase_receiver);
        tokio::spawn(server);
        Self {
            store,
            port: platform(address),
            _phase: Some(phase),
        }
    }
}

#[tokio::test]
async fn call_in_memory_and_over_socket_have_same_outcome() {
    let mut failures = Vec::new();
    let mut stores = Vec::new();
    for case in parse_cases(include_str!("cases/platform.txt")) {
        let [name, faults, call, expected] = case.as_slice() else {
            panic!("expected four fields: {case:?}");
        };
        match faults.as_str() {
            "" => {}
            "new" => stores = vec![TestStore::in_memory(), TestStore::over_socket().await],
            faults => {
                let faults: Faults = serde_json::from_str(faults).unwrap();
                for test_store in &stores {
                    test_store.store.set_faults(faults);
                }
            }
        }
        let call: StoreCall = serde_json::from_slice(&expand(call)).unwrap();
        for (test_store, medium) in stores.iter().zip(["in memory", "over the socket"]) {
            let actual = outcome(&(test_store.port.call)(call.clone()).await.result);
            if !expected.split("-or-").any(|e| e == actual) {
                failures.push(format!("{name}: {actual} {medium}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[tokio::test]
async fn call_transport_faults_have_expected_outcome() {
    let get = || StoreCall::Get {
        key: "a".to_owned(),
    };
    let text = |t: &str| t.to_owned();
    let cases = [
        (Act::Reset, "no-answer"),
        (Act::ResetUnread, "no-answer"),
        (Act::WriteClose(String::new()), "no-answer"),
        (
            Act::WriteClose(text("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"Ok\"")),
            "no-answer",
        ),
        (
            Act::Write(text("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnope")),
            "no-answer",
        ),
        (
            Act::Write(text("HTTP/1.1 503 Down\r\ncontent-length: 0\r\n\r\n")),
            "unavailable",
        ),
    ];
    for (act, expected) in cases {
        let script = Script::start([act.clone()]).await.unwrap();
        let result = (platform(script.address).call)(get()).await.result;
        assert_eq!(outcome(&result), expected, "{act:?}");
    }
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    assert_eq!(
        outcome(&(platform(address).call)(get()).await.result),
        "unavailable"
    );
}
