//! Tests of what is kept of nodes that requests are forwarded to.

use std::net::SocketAddr;

use heatherrun_gateway::forward::peer_load::PeerLoads;
use heatherrun_kernel::Time;
use heatherrun_kernel::routes::NodeEntry;

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], n))
}

fn node(n: u16) -> NodeEntry {
    NodeEntry {
        name: format!("front-{n}").into(),
        callers: address(n),
        peers: address(n),
        domain: "near-a".into(),
        region: "near".into(),
        power: 0.25,
        busy: false,
    }
}

/// Guards against a map that grows for as long as the links are down, while
/// nodes are replaced by others with new addresses.
#[test]
fn forget_unknown_bounds_changing_fleet() {
    let mut loads = PeerLoads::default();
    loads.update(address(1), |load| load.in_progress = 1);
    for generation in 1..100 {
        let fleet: Vec<_> = (0..20).map(|n| node(generation * 20 + n)).collect();
        for member in &fleet {
            loads.forget_unknown(&fleet);
            loads.update(member.peers, |load| load.record_reply(Time(1), Time(2)));
            assert!(
                loads.len() <= 65,
                "{} in generation {generation}",
                loads.len()
            );
        }
    }
    let mut in_progress = 0;
    loads.update(address(1), |load| in_progress = load.in_progress);
    assert_eq!(in_progress, 1, "the request in progress is forgotten");
}

/// Guards against asking a node again at once that could not serve a request.
#[test]
fn may_ask_unable_node_after_pause() {
    let mut loads = PeerLoads::default();
    assert!(loads.may_ask(Time(0), address(1)));
    loads.update(address(1), |load| load.record_unable(Time(0)));
    assert!(!loads.may_ask(Time(999_999), address(1)));
    assert!(loads.may_ask(Time(1_000_000), address(1)));
}
