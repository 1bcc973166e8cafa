//! Faults of nodes, network and store alone and in pairs, from `faults.txt`. The
//! invariants are checked throughout each case; after the faults have ended the
//! tier must accept changes and searches must reach all shards.

mod common;

use std::time::Duration;

use common::Tier;
use heatherrun_fakes::store::Faults;
use tokio::time::{Instant, sleep};

/// Cases: one or two names of faults a line.
const CASES: &str = include_str!("faults.txt");

/// Time between the starts of the two faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(4);

/// Time until the faults end, from [`FAULT_INTERVAL`] after the last one began.
const FAULTS_OVERLAP: Duration = Duration::from_secs(14);

/// Time after the faults within which everything must be owned again.
const RECOVERY_TIME: Duration = Duration::from_secs(30);

/// Longest time until a change is in force on all nodes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(19);

/// Failure domain in which the faults of single nodes occur.
const FAULTY_DOMAIN: &str = "wallis";

fn inject_fault(tier: &mut Tier, fault: &str) {
    let leader = tier.leader(FAULTY_DOMAIN);
    let member = (0..3).find(|index| Some(*index) != leader && tier.mesh.nodes[*index].runs());
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
        "kill-member" => member.into_iter().for_each(|index| tier.kill(index)),
        "kill-leader" => leader.into_iter().for_each(|index| tier.kill(index)),
        "pause-leader" => leader
            .into_iter()
            .for_each(|index| tier.mesh.nodes[index].gate.close()),
        "pause-member" => member
            .into_iter()
            .for_each(|index| tier.mesh.nodes[index].gate.close()),
        "cut-store" => leader
            .into_iter()
            .for_each(|index| tier.mesh.cut_store(index, true)),
        "cut-peers" => leader
            .into_iter()
            .for_each(|index| tier.mesh.cut_peers(index, true)),
        "cut-both" => leader.into_iter().for_each(|index| {
            tier.mesh.cut_store(index, true);
            tier.mesh.cut_peers(index, true);
        }),
        "domain-lost" => [3, 4].into_iter().for_each(|index| tier.kill(index)),
        "race" => race_domain_changes(tier),
        other => panic!("unknown fault {other:?} in faults.txt"),
    }
}

/// Two operators concurrently take a failure domain out of service and back.
fn race_domain_changes(tier: &Tier) {
    for (index, out) in [(0, true), (6, false)] {
        let node = std::sync::Arc::clone(tier.node(index));
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

/// Ends all faults. Killed nodes stay dead, and the platform stops listing
/// their VMs.
fn end_faults(tier: &Tier) {
    tier.mesh.store.set_faults(Faults::default());
    for index in 0..tier.mesh.nodes.len() {
        tier.mesh.nodes[index].gate.open();
        tier.mesh.cut_store(index, false);
        tier.mesh.cut_peers(index, false);
    }
    tier.mesh.list();
}

async fn run_case(case: &str) {
    let mut tier = Tier::start().await;
    sleep(Duration::from_secs(3)).await;
    for fault in case.split(' ') {
        inject_fault(&mut tier, fault);
        sleep(FAULT_INTERVAL).await;
    }
    sleep(FAULTS_OVERLAP).await;
    end_faults(&tier);
    sleep(RECOVERY_TIME).await;
    let running: Vec<_> = (0..7)
        .filter(|index| tier.mesh.nodes[*index].runs())
        .collect();
    let answer = tier.set_domain(running[0], "ticino", true).await;
    assert!(answer.accepted, "{case}: {answer:?}");
    let start = Instant::now();
    tier.wait_in_force(answer.revision).await;
    assert!(start.elapsed() < IN_FORCE_TIMEOUT, "{case}");
    for index in running {
        let shards_reached = tier.search(index).await.unwrap();
        assert_eq!(shards_reached, 4, "{case}: node {index}");
    }
    tier.assert_invariants();
}

async fn run_cases_with_first(first_fault: &str) {
    let mut cases_run = 0;
    for case in CASES.lines().filter(|line| !line.starts_with('#')) {
        if case.split(' ').next() == Some(first_fault) {
            println!("{case}");
            run_case(case).await;
            cases_run += 1;
        }
    }
    assert!(cases_run > 0);
}

macro_rules! fault_tests {
    ($($name:ident $fault:literal)*) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                run_cases_with_first($fault).await;
            }
        )*
    };
}

fault_tests! {
    faults_store_down_first "store-down"
    faults_store_slow_first "store-slow"
    faults_store_loses_first "store-loses"
    faults_kill_member_first "kill-member"
    faults_kill_leader_first "kill-leader"
    faults_pause_leader_first "pause-leader"
    faults_pause_member_first "pause-member"
    faults_cut_store_first "cut-store"
    faults_cut_peers_first "cut-peers"
    faults_cut_both_first "cut-both"
    faults_domain_lost_first "domain-lost"
    faults_race_first "race"
}
