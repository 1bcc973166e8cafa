//! A failure domain is taken out under load and comes back cold; another one
//! is lost without notice; then the first is taken out a second time.

use std::time::Duration;

use heatherrun_bench::nodes::{Nodes, head, line, run};
use tokio::time::{Instant, sleep};

/// Seed of the service times.
const SEED: u64 = 7;

/// Length of one phase.
const PHASE: Duration = Duration::from_secs(20);

/// Time after which a failure domain that is out gets no new work.
const OUT: Duration = Duration::from_secs(3);

fn main() {
    run(experiment());
}

async fn experiment() {
    let mut nodes = Nodes::start(SEED).await;
    head();
    line("warming up", &nodes.load(PHASE).await);
    line("all in", &nodes.load(PHASE).await);
    take_out(&nodes, "ticino out").await;
    nodes.set_domain(5, "ticino", false).await;
    for searcher in nodes
        .mesh
        .searchers
        .iter()
        .filter(|(n, _)| n.ends_with("ticino"))
    {
        searcher.1.restart();
    }
    line("ticino back, cold", &nodes.load(PHASE).await);
    line("ticino back", &nodes.load(PHASE).await);
    for at in [5, 6] {
        nodes.mesh.kill(at);
    }
    line("nodes of zurich lost", &nodes.load(PHASE).await);
    nodes.mesh.list();
    line("nodes of zurich listed no more", &nodes.load(PHASE).await);
    take_out(&nodes, "ticino out again, zurich lost").await;
    nodes.set_domain(0, "ticino", false).await;
    sleep(OUT).await;
    line("ticino back again", &nodes.load(PHASE).await);
}

async fn take_out(nodes: &Nodes, phase: &str) {
    nodes.set_domain(0, "ticino", true).await;
    let bound = Instant::now() + OUT;
    line(phase, &nodes.load(PHASE).await);
    let late = nodes.sent_since("ticino", bound);
    println!("    calls to ticino later than 3 s after the take-out: {late}");
}
