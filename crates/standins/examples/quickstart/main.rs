//! Starts stand-ins and three nodes in this process on free loopback ports,
//! searches through each node, takes a failure domain out and brings it back,
//! and prints what callers saw. `--stay` stays up for curl and `heatherrun`.

mod caller;
mod commands;
mod phase;

use std::sync::Arc;
use std::time::SystemTime;

use anyhow::Context as _;
use heatherrun_fakes::searcher::Settings;
use heatherrun_schema::v1::{self, Operator};
use heatherrun_standins::local::LocalTier;

use caller::Caller;
use phase::Phase;

const DOMAINS: [&str; 3] = ["wallis", "ticino", "zurich"];

/// Failure domain that is taken out and brought back.
const DOMAIN: &str = "ticino";

/// Sharded service.
const SHARDED: &str = "buyer-desk";

/// Pooled service.
const POOLED: &str = "lot-viewer";

/// Shards of the sharded service.
const SHARDS: u16 = 10;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let stay = std::env::args().any(|arg| arg == "--stay");
    let mut tier = LocalTier::start().await?;
    configure(&mut tier).await?;
    let caller = Caller::default();
    print_addresses(&tier, &caller).await?;

    let mut phases = vec![Phase::run(&tier, &caller, "all domains in").await];
    set_domain(&tier, true).await?;
    phases.push(Phase::run(&tier, &caller, "ticino out").await);
    set_domain(&tier, false).await?;
    phases.push(Phase::run(&tier, &caller, "ticino back").await);
    print_requests(&tier, &caller).await?;

    phase::print(&phases);
    if stay {
        commands::print(&tier);
        tokio::signal::ctrl_c().await?;
        return Ok(());
    }
    let whole = phases.iter().all(Phase::is_whole);
    anyhow::ensure!(whole, "an answer was not whole; see the table");
    Ok(())
}

/// Starts searchers and nodes and applies their configuration.
async fn configure(tier: &mut LocalTier) -> anyhow::Result<()> {
    let settings = Settings::default();
    let desk = tier
        .add_sharded(SHARDED, SHARDS, &DOMAINS, &settings)
        .await?;
    let viewer = tier.add_pooled(POOLED, &DOMAINS, &settings).await?;
    for (n, domain) in DOMAINS.iter().enumerate() {
        tier.add_node(&format!("entry-{n}"), domain).await?;
    }
    let domain = |name: &str| v1::FailureDomain {
        name: name.to_owned(),
        region: "alps".to_owned(),
        out: false,
    };
    let request = v1::ApplyRequest {
        config: Some(v1::TierConfig {
            domains: DOMAINS.map(domain).to_vec(),
            services: vec![desk, viewer],
        }),
        ..v1::ApplyRequest::default()
    };
    let node = Arc::clone(&tier.nodes[0].node);
    let applied = tier.nodes[0].run(async move { node.apply(request).await });
    let answer = applied.await??;
    tier.settle_at(answer.revision).await;
    println!(
        "Configuration at revision {} in force on {} nodes.",
        answer.revision,
        tier.nodes.len()
    );
    Ok(())
}

/// Takes the failure domain out or brings it back, and waits until every node
/// acts on it.
async fn set_domain(tier: &LocalTier, out: bool) -> anyhow::Result<()> {
    let request = v1::DomainRequest {
        domain: DOMAIN.to_owned(),
        out,
        dry_run: false,
    };
    let node = Arc::clone(&tier.nodes[0].node);
    let changed = tier.nodes[0].run(async move { node.set_domain(request).await });
    let answer = changed.await??;
    tier.settle_at(answer.revision).await;
    let what = if out { "taken out" } else { "brought back" };
    println!("\n{DOMAIN} {what}: revision {}.", answer.revision);
    Ok(())
}

async fn print_addresses(tier: &LocalTier, caller: &Caller) -> anyhow::Result<()> {
    let answer = caller.addresses(tier.nodes[0].callers, SHARDED).await?;
    println!(
        "\nAddresses of {SHARDED}, to be kept {} s:",
        answer.keep_secs
    );
    for address in &answer.addresses {
        println!(
            "  {:<18} {:<8} weight {}",
            address.address, address.domain, address.weight
        );
    }
    Ok(())
}

/// Sends a repeatable request, and a once-only one twice, through two nodes.
async fn print_requests(tier: &LocalTier, caller: &Caller) -> anyhow::Result<()> {
    let (one, two) = (&tier.nodes[0], &tier.nodes[1]);
    let page = caller.request(one.callers, "", "lot 4711").await?;
    println!("\nRequest to {POOLED}: {:?} answered.", page.body);
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let id = format!("{}-receipt", since.context("clock")?.as_millis());
    for node in [one, two] {
        let receipt = caller.request(node.callers, &id, "print receipt").await?;
        let how = if receipt.replayed {
            "from the record of its run"
        } else {
            "run"
        };
        println!(
            "Once-only request {id} through {}: {:?}, {how}.",
            node.node.info.name, receipt.body
        );
    }
    Ok(())
}
