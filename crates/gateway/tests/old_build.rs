//! Messages between nodes as an older build encodes them. Nodes of both builds
//! run side by side during an upgrade, so the bytes must not change.

use std::fmt::{Debug, Write};
use std::pin::pin;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use heatherrun_gateway::calls::OutgoingRequest;
use heatherrun_gateway::forward::message::{ForwardReply, ForwardedRequest, Terms};
use heatherrun_gateway::relay::{ChangesReply, ChangesRequest, RelayRequest};
use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::routes::{Name, NodeEntry};
use heatherrun_kernel::{Era, Revision};
use heatherrun_routing::feed::{Delta, Item, Position};
use heatherrun_routing::members::{Report, Roster};
use http::{HeaderMap, HeaderValue, Method, Uri};
use serde::{Serialize, de::DeserializeOwned};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};

/// Messages as commit db6fc97 encodes them: a name and hexadecimal bytes a line.
const RECORDED: &str = include_str!("old_build/db6fc97.txt");

/// Variable that prints the messages of this build instead.
const PRINT_SWITCH: &str = "HEATHERRUN_PRINT_MESSAGES";

fn node() -> NodeEntry {
    NodeEntry {
        name: Name::from("front-1"),
        callers: "10.1.0.1:8001".parse().unwrap(),
        peers: "10.1.0.1:8002".parse().unwrap(),
        domain: Name::from("near-a"),
        region: Name::from("near"),
        power: 0.25,
        busy: true,
    }
}

fn suspicion() -> Suspicion {
    serde_json::from_str(
        r#"{"print":77,"target":5,"shard":3,"call":{"query":{"entry":4,"seq":6},"attempt":9},"proven":true,"cleared":false}"#,
    )
    .unwrap()
}

fn position() -> Position {
    Position {
        era: Era(2),
        revision: Revision(1_234_567),
    }
}

fn changes_request() -> ChangesRequest {
    ChangesRequest {
        after: position(),
        report: Some(Report {
            node: node(),
            is_leaving: false,
            below_hash: u64::MAX,
            below: Some(vec![node()]),
        }),
        known_suspicions: 300,
    }
}

fn changes_reply() -> ChangesReply {
    let item = |key: &str, value: Option<&[u8]>| Item {
        key: Arc::from(key),
        revision: 70_000,
        value: value.map(Arc::from),
    };
    ChangesReply {
        delta: Delta {
            items: vec![item("servers/a", Some(b"{}")), item("servers/b", None)],
            is_complete: true,
            position: position(),
        },
        age: 1_500_000,
        knows_below: true,
        suspicions: vec![suspicion()],
        suspicion_count: 1,
    }
}

fn forwarded_request() -> ForwardedRequest {
    let mut headers = HeaderMap::new();
    headers.append("host", HeaderValue::from_static("a.example"));
    headers.append("x-bytes", HeaderValue::from_bytes(b"\xff").unwrap());
    let terms = Terms {
        time_left: 400_000,
        spent: 20_000,
        round_trip: 7_000,
        attempts: 2,
        is_counted: true,
        is_repeat: false,
        version: 9,
    };
    let body = Bytes::from_static(b"abc");
    forward(
        Method::POST,
        "/one/a?q=1".parse().unwrap(),
        headers,
        body,
        terms,
    )
}

fn forward(
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    terms: Terms,
) -> ForwardedRequest {
    let outgoing = OutgoingRequest {
        id: "r-1".to_owned(),
        method,
        uri,
        headers,
        body,
        team: None,
        credential: None,
        is_part: false,
        deadline: heatherrun_kernel::Time::default(),
        route_latency: Arc::default(),
    };
    ForwardedRequest::new(&outgoing, terms)
}

/// Passes each message that the older build knows to `check`.
fn for_each_message(check: &mut impl Check) {
    let request = RelayRequest::Changes {
        request: changes_request(),
    };
    check.run("changes-request", &request);
    check.run("changes-reply", &changes_reply());
    check.run("join-request", &RelayRequest::Join { node: node() });
    check.run("join-reply", &vec![node()]);
    let request = RelayRequest::ReportSuspicion {
        suspicion: suspicion(),
    };
    check.run("suspicion-request", &request);
    let request = RelayRequest::Forward {
        request: forwarded_request(),
    };
    check.run("forward-request", &request);
    let reply = ForwardReply::Reply {
        status: 200,
        headers: vec![("a".to_owned(), Bytes::from_static(b"b"))],
        body: Bytes::from_static(b"xyz"),
    };
    check.run("forward-reply", &reply);
    check.run("forward-unable", &ForwardReply::Unable);
}

/// What is done with each message.
trait Check {
    fn run<T: Serialize + DeserializeOwned + Debug>(&mut self, name: &str, message: &T);
}

fn encode<T: Serialize + DeserializeOwned>(message: &T) -> Bytes {
    pin!(Bincode::<T, T>::default()).serialize(message).unwrap()
}

fn decode<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> T {
    let bytes = BytesMut::from(bytes);
    pin!(Bincode::<T, T>::default())
        .deserialize(&bytes)
        .unwrap()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

struct Print;

impl Check for Print {
    fn run<T: Serialize + DeserializeOwned + Debug>(&mut self, name: &str, message: &T) {
        println!("message {name} {}", hex(&encode(message)));
    }
}

struct Compare;

impl Check for Compare {
    fn run<T: Serialize + DeserializeOwned + Debug>(&mut self, name: &str, message: &T) {
        let recorded = recorded(name);
        assert_eq!(
            hex(&encode(message)),
            hex(&recorded),
            "{name} is encoded in another way"
        );
        let decoded: T = decode(&recorded);
        assert_eq!(format!("{decoded:?}"), format!("{message:?}"), "{name}");
    }
}

fn recorded(name: &str) -> Vec<u8> {
    let lines = RECORDED.lines().filter_map(|line| line.split_once(' '));
    let (_, hex) = lines.into_iter().find(|(n, _)| *n == name).unwrap();
    let byte = |ix: usize| u8::from_str_radix(&hex[2 * ix..2 * ix + 2], 16).unwrap();
    (0..hex.len() / 2).map(byte).collect()
}

/// Guards against a change of the messages that nodes of the older build could
/// not read, or that this build would read differently.
#[test]
fn messages_are_encoded_as_recorded() {
    if std::env::var_os(PRINT_SWITCH).is_some() {
        for_each_message(&mut Print);
        println!(
            "message roster {}",
            hex(&serde_json::to_vec(&roster()).unwrap())
        );
        return;
    }
    for_each_message(&mut Compare);
}

fn roster() -> Roster {
    let other = NodeEntry {
        name: Name::from("front-2"),
        peers: "10.1.0.9:9000".parse().unwrap(),
        ..node()
    };
    Roster::new(&node(), &[node(), other])
}

/// Guards against a roster that the older build cannot read in the store.
#[test]
fn roster_is_encoded_as_recorded() {
    if std::env::var_os(PRINT_SWITCH).is_some() {
        return;
    }
    let recorded = recorded("roster");
    assert_eq!(serde_json::to_vec(&roster()).unwrap(), recorded);
    let decoded: Roster = serde_json::from_slice(&recorded).unwrap();
    assert_eq!(decoded, roster());
}
