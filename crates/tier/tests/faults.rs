//! Each fault of the control side alone and in pairs, from `faults.txt`: what
//! must always hold is watched all the time, and afterwards all is whole.

mod common;

use std::time::Duration;

use common::Tier;
use heatherrun_fakes::store::Faults;
use tokio::time::{Instant, sleep};

/// Cases.
const CASES: &str = include_str!("faults.txt");

/// Time from the first fault to the second.
const APART: Duration = Duration::from_secs(4);

/// Time from the second fault to the end of both.
const BOTH: Duration = Duration::from_secs(14);

/// Time after which everything must be owned again.
const HEALED: Duration = Duration::from_secs(30);

/// Time in which a change must be in force.
const IN_FORCE: Duration = Duration::from_secs(19);

/// Node whose failure domain the faults of single nodes hit.
const HIT: &str = "wallis";

fn begin(tier: &mut Tier, fault: &str) {
    let leader = tier.leader(HIT);
    let member = (0..3).find(|at| Some(*at) != leader && tier.mesh.nodes[*at].runs());
    let store = |faults| tier.mesh.store.set_faults(faults);
    match fault {
        "store-down" => store(Faults {
            down: true,
            ..Faults::default()
        }),
        "store-slow" => store(Faults {
            slow_ms: 1_500,
            watch_ms: 5_000,
            ..Faults::default()
        }),
        "store-loses" => store(Faults {
            lose_every: 2,
            ..Faults::default()
        }),
        "kill-member" => member.into_iter().for_each(|at| tier.kill(at)),
        "kill-leader" => leader.into_iter().for_each(|at| tier.kill(at)),
        "pause-leader" => leader
            .into_iter()
            .for_each(|at| tier.mesh.nodes[at].gate.close()),
        "pause-member" => member
            .into_iter()
            .for_each(|at| tier.mesh.nodes[at].gate.close()),
        "cut-store" => leader
            .into_iter()
            .for_each(|at| tier.mesh.cut_store(at, true)),
        "cut-peers" => leader
            .into_iter()
            .for_each(|at| tier.mesh.cut_peers(at, true)),
        "cut-both" => leader.into_iter().for_each(|at| {
            tier.mesh.cut_store(at, true);
            tier.mesh.cut_peers(at, true);
        }),
        "domain-lost" => [3, 4].into_iter().for_each(|at| tier.kill(at)),
        "race" => race(tier),
        other => panic!("no fault named {other:?}"),
    }
}

/// Two operators take the same failure domain out and in.
fn race(tier: &Tier) {
    for (at, out) in [(0, true), (6, false)] {
        let node = std::sync::Arc::clone(tier.node(at));
        tokio::spawn(async move {
            let request = heatherrun_schema::v1::DomainRequest {
                domain: "zurich".to_owned(),
                out,
                dry_run: false,
            };
            heatherrun_schema::v1::Operator::set_domain(&*node, request).await
        });
    }
}

/// Ends all faults; killed nodes stay dead, and the platform notices.
fn heal(tier: &Tier) {
    tier.mesh.store.set_faults(Faults::default());
    for at in 0..tier.mesh.nodes.len() {
        tier.mesh.nodes[at].gate.open();
        tier.mesh.cut_store(at, false);
        tier.mesh.cut_peers(at, false);
    }
    tier.mesh.list();
}

async fn run(case: &str) {
    let mut tier = Tier::start().await;
    sleep(Duration::from_secs(3)).await;
    for fault in case.split(' ') {
        begin(&mut tier, fault);
        sleep(APART).await;
    }
    sleep(BOTH).await;
    heal(&tier);
    sleep(HEALED).await;
    let running: Vec<_> = (0..7).filter(|at| tier.mesh.nodes[*at].runs()).collect();
    let answer = tier.set_domain(running[0], "ticino", true).await;
    assert!(answer.accepted, "{case}: {answer:?}");
    let start = Instant::now();
    tier.settle(answer.revision).await;
    assert!(start.elapsed() < IN_FORCE, "{case}");
    for at in running {
        let reached = tier.search(at).await.unwrap();
        assert_eq!(reached, 4, "{case}: node {at}");
    }
    tier.check();
}

async fn run_all(first: &str) {
    let mut ran = 0;
    for case in CASES.lines().filter(|line| !line.starts_with('#')) {
        if case.split(' ').next() == Some(first) {
            println!("{case}");
            run(case).await;
            ran += 1;
        }
    }
    assert!(ran > 0);
}

macro_rules! faults {
    ($($name:ident $fault:literal)*) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                run_all($fault).await;
            }
        )*
    };
}

faults! {
    pair_store_down "store-down"
    pair_store_slow "store-slow"
    pair_store_loses "store-loses"
    pair_kill_member "kill-member"
    pair_kill_leader "kill-leader"
    pair_pause_leader "pause-leader"
    pair_pause_member "pause-member"
    pair_cut_store "cut-store"
    pair_cut_peers "cut-peers"
    pair_cut_both "cut-both"
    pair_domain_lost "domain-lost"
    pair_race "race"
}
