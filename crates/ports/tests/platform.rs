//! Contract of the interface to the platform: one table, run against the
//! stand-in in memory and through the adapter over a socket, and what the
//! transport alone can do.

mod common;

use common::{cases, expand};
use heatherrun_fakes::store::{Faults, Store};
use heatherrun_kernel::port::{Platform, StoreCall, StoreError, StoreReply};
use heatherrun_ports::http_server::Phase;
use heatherrun_ports::platform::platform;
use heatherrun_standins::script::{Act, Script};
use tokio::net::TcpListener;
use tokio::sync::watch;

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

/// A store with its port, in memory or over a socket.
struct Stand {
    store: Store,
    port: Platform,
    _phase: Option<watch::Sender<Phase>>,
}

impl Stand {
    fn in_memory() -> Self {
        let store = Store::default();
        Self {
            port: store.platform(),
            store,
            _phase: None,
        }
    }

    async fn on_socket() -> Self {
        let store = Store::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (phase, phases) = watch::channel(Phase::Serve);
        let serving = heatherrun_standins::platform::serve(listener, store.clone(), phases);
        tokio::spawn(serving);
        Self {
            store,
            port: platform(address),
            _phase: Some(phase),
        }
    }
}

#[tokio::test]
async fn call_same_outcome_in_memory_and_on_socket() {
    let mut wrong = Vec::new();
    let mut stands = Vec::new();
    for case in cases(include_str!("cases/platform.txt")) {
        let [name, faults, call, want] = case.as_slice() else {
            panic!("four fields wanted: {case:?}");
        };
        match faults.as_str() {
            "" => {}
            "new" => stands = vec![Stand::in_memory(), Stand::on_socket().await],
            faults => {
                let faults: Faults = serde_json::from_str(faults).unwrap();
                for stand in &stands {
                    stand.store.set_faults(faults);
                }
            }
        }
        let call: StoreCall = serde_json::from_slice(&expand(call)).unwrap();
        for (stand, place) in stands.iter().zip(["in memory", "on the socket"]) {
            let got = outcome(&(stand.port.call)(call.clone()).await);
            if !want.split("-or-").any(|w| w == got) {
                wrong.push(format!("{name}: {got} {place}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[tokio::test]
async fn call_transport_faults_tell_whether_it_left() {
    let get = || StoreCall::Get {
        key: "a".to_owned(),
    };
    let text = |t: &str| t.to_owned();
    let table = [
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
    for (act, want) in table {
        let script = Script::start([act.clone()]).await.unwrap();
        let got = (platform(script.address).call)(get()).await;
        assert_eq!(outcome(&got), want, "{act:?}");
    }
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    assert_eq!(
        outcome(&(platform(address).call)(get()).await),
        "unavailable"
    );
}
