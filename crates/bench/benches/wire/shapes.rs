//! Three shapes in which entries may reach searchers, with the tier's own
//! code: every entry calls every searcher, every entry has a fixed share of
//! each searcher, or each searcher has one owner to which entries send
//! batches.

use std::time::Duration;

use heatherrun_fakes::searcher::Settings;
use heatherrun_schema::v1;
use heatherrun_standins::local::LocalTier;
use heatherrun_standins::node::{NODE_THREAD, pooled_ports};

use crate::load::{self, Load};
use crate::{DOMAINS, tier, usage};

/// Shards of the service.
const SHARDS: u16 = 12;

/// Entries.
const ENTRIES: u32 = 3;

/// Searches of one run.
const SEARCHES: usize = 250;

/// Searches at a time.
const WIDTH: usize = 24;

const SERVICE: &str = "grower-portal";

/// A shape by which entries reach searchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shape {
    Direct,
    Shares,
    Owners,
}

/// Prints connections, breaches and throughput of each shape.
pub async fn print() -> anyhow::Result<()> {
    println!(
        "\n{:<10} {:<10} {:>9} {:>12} {:>14} {:>9} {:>9}",
        "shape", "load", "queries/s", "cpu us/query", "conn/searcher", "breaches", "whole"
    );
    for shape in [Shape::Direct, Shape::Shares, Shape::Owners] {
        for even in [true, false] {
            measure(shape, even).await?;
        }
    }
    Ok(())
}

async fn measure(shape: Shape, even: bool) -> anyhow::Result<()> {
    let settings = Settings {
        service: Duration::from_millis(2),
        ..Settings::default()
    };
    let mut stand_ins = LocalTier::start().await?;
    stand_ins.fenced = false;
    let service = stand_ins
        .add_spread(SERVICE, SHARDS, &DOMAINS, &settings)
        .await?;
    let mut tiers = Vec::new();
    match shape {
        Shape::Owners => tiers.push(tier(ENTRIES as usize, 1, &service, pooled_ports).await?),
        Shape::Direct | Shape::Shares => {
            let part = if shape == Shape::Shares { ENTRIES } else { 1 };
            for _ in 0..ENTRIES {
                tiers.push(tier(1, 1, &divided(service.clone(), part), pooled_ports).await?);
            }
        }
    }
    let nodes = tiers.iter().flat_map(|t| &t.nodes);
    let mut addresses: Vec<_> = nodes.map(|n| n.callers).collect();
    if !even {
        addresses.truncate(1);
    }
    let load = Load {
        addresses,
        service: SERVICE.to_owned(),
        searches: SEARCHES,
        width: WIDTH,
        threads: NODE_THREAD,
    };
    let run = load::run(&load).await;
    let mut open = 0;
    let mut breaches = 0;
    for searcher in &stand_ins.searchers {
        let address: std::net::SocketAddr = searcher.config.address.parse()?;
        open = open.max(usage::connections(address.port()));
        breaches += searcher.searcher.counts().breaches;
    }
    println!(
        "{:<10} {:<10} {:>9.0} {:>12.0} {:>14} {:>9} {:>5}/{}",
        format!("{shape:?}").to_ascii_lowercase(),
        if even { "even" } else { "one entry" },
        run.rate(),
        run.cpu_micros(),
        open,
        breaches,
        run.whole,
        run.whole + run.other,
    );
    Ok(())
}

/// The service as one of `parts` entries may use it.
fn divided(mut service: v1::Service, parts: u32) -> v1::Service {
    if let Some(v1::service::Kind::Sharded(sharded)) = &mut service.kind {
        let replicas = sharded.shards.iter_mut().flat_map(|s| &mut s.replicas);
        for searcher in replicas {
            searcher.slots = (searcher.slots / parts).max(1);
            searcher.connections = (searcher.connections / parts).max(1);
        }
    }
    service
}
