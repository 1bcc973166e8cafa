//! The platform's store is down, slow, or loses answers, and leases lapse
//! while their holder is paused, under load.

use std::time::Duration;

use heatherrun_bench::nodes::{DOMAINS, Nodes, head, line, run};
use heatherrun_fakes::store::Faults;
use tokio::time::sleep;

/// Seed of the service times.
const SEED: u64 = 11;

/// Length of one phase.
const PHASE: Duration = Duration::from_secs(20);

/// Length of the long outage.
const HOUR: Duration = Duration::from_hours(1);

fn main() {
    run(experiment());
}

async fn experiment() {
    let nodes = Nodes::start(SEED).await;
    head();
    nodes.load(PHASE).await;
    phase(&nodes, "store up", Faults::default()).await;
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    phase(&nodes, "store down", down).await;
    nodes.mesh.store.set_faults(down);
    sleep(HOUR).await;
    phase(&nodes, "store down for an hour", down).await;
    phase(&nodes, "store up again", Faults::default()).await;
    let slow = Faults {
        slow_ms: 1_500,
        ..Faults::default()
    };
    phase(&nodes, "store slow by 1.5 s", slow).await;
    let loses = Faults {
        lose_every: 2,
        ..Faults::default()
    };
    phase(&nodes, "every second answer lost", loses).await;
    nodes.mesh.store.set_faults(Faults::default());
    for domain in DOMAINS {
        if let Some(at) = nodes.leader(domain) {
            nodes.mesh.nodes[at].gate.close();
            sleep(Duration::from_secs(10)).await;
            nodes.mesh.nodes[at].gate.open();
        }
    }
    phase(&nodes, "after each leader paused 10 s", Faults::default()).await;
    nodes.mesh.store.expire_leases();
    phase(&nodes, "all leases expired at once", Faults::default()).await;
}

async fn phase(nodes: &Nodes, name: &str, faults: Faults) {
    nodes.mesh.store.set_faults(faults);
    let before = nodes.mesh.store.calls();
    line(name, &nodes.load(PHASE).await);
    let calls = nodes.mesh.store.calls() - before;
    let accepted = nodes.set_domain(1, "wallis", true).await;
    println!("    store calls {calls}, a change accepted: {accepted}");
    if accepted {
        nodes.set_domain(2, "wallis", false).await;
    }
}
