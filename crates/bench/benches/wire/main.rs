//! Cost of the tier on real loopback sockets: processor time of a query, of a
//! searcher call and of a batch between nodes, queries a second on one core
//! and on four, memory of a connection, and the shapes in which entries may
//! reach searchers. Stand-ins and load run on threads that are not counted.

mod linear;
mod load;
mod shapes;
mod unpooled;
mod usage;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherrun_fakes::searcher::Settings;
use heatherrun_ports::http_client::Client;
use heatherrun_ports::http_server::Phase;
use heatherrun_schema::v1::{self, Operator};
use heatherrun_standins::local::LocalTier;
use heatherrun_standins::node::{NODE_THREAD, PortsFn, pooled_ports};
use load::{Load, Run};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Shards of the service.
const SHARDS: u16 = 71;

/// Searches of one run at the most.
const SEARCHES: usize = 1_500;

/// Searches of the linear baseline; each takes a port for each of its calls.
const LINEAR_SEARCHES: usize = 200;

/// Searches at a time.
const WIDTH: usize = 32;

/// Searches before the first measurement, in which limits grow.
const WARM_UP: usize = 300;

/// Connections opened to measure the memory of an idle one.
const IDLE: usize = 1_000;

/// Searches held open to measure the memory of a busy connection.
const BUSY: usize = 64;

/// Service time of searchers meanwhile.
const BUSY_TIME: Duration = Duration::from_secs(1);

/// Times by which the tier must be cheaper than the baseline.
const CHEAPER: f64 = 5.0;

/// Searcher calls that one core must carry in a second.
const CALLS_PER_CORE: f64 = 10_000.0;

/// Name of the threads of the linear baseline.
const LINEAR_THREAD: &str = "linear";

const SERVICE: &str = "buyer-desk";
const DOMAINS: [&str; 3] = ["wallis", "ticino", "zurich"];

/// Tier of `nodes` nodes with `threads` threads each.
///
/// # Errors
/// When no port is free or the configuration is refused.
pub async fn tier(
    nodes: usize,
    threads: usize,
    service: &v1::Service,
    ports: PortsFn,
) -> anyhow::Result<LocalTier> {
    let mut tier = LocalTier::start().await?;
    tier.threads = threads;
    tier.ports = ports;
    for n in 0..nodes {
        tier.add_node(&format!("entry-{n}"), DOMAINS[n % DOMAINS.len()])
            .await?;
    }
    let domain = |name: &str| v1::FailureDomain {
        name: name.to_owned(),
        region: "alps".to_owned(),
        out: false,
    };
    let request = v1::ApplyRequest {
        config: Some(v1::TierConfig {
            domains: DOMAINS.map(domain).to_vec(),
            services: vec![service.clone()],
        }),
        ..v1::ApplyRequest::default()
    };
    let first = Arc::clone(&tier.nodes[0].node);
    tier.nodes[0]
        .run(async move { first.apply(request).await })
        .await??;
    tier.settle().await;
    Ok(tier)
}

fn load_on(addresses: Vec<SocketAddr>, searches: usize, threads: &'static str) -> Load {
    Load {
        addresses,
        service: SERVICE.to_owned(),
        searches,
        width: WIDTH,
        threads,
    }
}

async fn measure(
    nodes: usize,
    threads: usize,
    service: &v1::Service,
    ports: PortsFn,
) -> anyhow::Result<Run> {
    let tier = tier(nodes, threads, service, ports).await?;
    let addresses: Vec<_> = tier.nodes.iter().map(|n| n.callers).collect();
    load::run(&load_on(addresses.clone(), WARM_UP, NODE_THREAD)).await;
    Ok(load::run(&load_on(addresses, SEARCHES, NODE_THREAD)).await)
}

/// Runs the linear baseline on a thread of its own.
async fn measure_linear(searchers: Vec<SocketAddr>) -> anyhow::Result<Run> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name(LINEAR_THREAD)
        .enable_all()
        .build()?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (_phase, phases) = watch::channel(Phase::Serve);
    runtime.spawn(linear::serve(listener, Arc::new(searchers), phases));
    load::run(&load_on(vec![address], LINEAR_SEARCHES / 10, LINEAR_THREAD)).await;
    let run = load::run(&load_on(vec![address], LINEAR_SEARCHES, LINEAR_THREAD)).await;
    runtime.shutdown_background();
    Ok(run)
}

/// Memory of an idle connection of a caller, in bytes.
async fn idle_bytes(address: SocketAddr) -> anyhow::Result<u64> {
    let mut open = Vec::with_capacity(IDLE);
    let before = usage::memory();
    for _ in 0..IDLE {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"GET /addresses HTTP/1.1\r\n").await?;
        open.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    Ok(usage::memory().saturating_sub(before) / IDLE as u64)
}

/// Memory of a connection with a search in work, both sides of its calls to
/// searchers included, in bytes.
async fn busy_bytes(address: SocketAddr) -> u64 {
    let client = Arc::new(Client::default());
    let before = usage::memory();
    let mut searches = Vec::with_capacity(BUSY);
    for _ in 0..BUSY {
        let client = Arc::clone(&client);
        searches.push(tokio::spawn(async move {
            load::search(&client, address, BUSY, SERVICE).await
        }));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let held = usage::memory().saturating_sub(before) / BUSY as u64;
    for search in searches {
        let _ = search.await;
    }
    held
}

fn print_run(label: &str, nodes: usize, run: &Run) {
    let calls = run.cpu_micros() / f64::from(SHARDS);
    println!(
        "{label:<28} {nodes:>5} {:>9.0} {:>12.0} {:>12.2} {:>14.0} {:>6}/{}",
        run.rate(),
        run.cpu_micros(),
        calls,
        1e6 / calls,
        run.whole,
        run.whole + run.other,
    );
}

async fn run() -> anyhow::Result<()> {
    let settings = Settings {
        slots: 64,
        bears: 256,
        service: Duration::ZERO,
        ..Settings::default()
    };
    let mut stand_ins = LocalTier::start().await?;
    stand_ins.fenced = false;
    let service = stand_ins
        .add_spread(SERVICE, SHARDS, &DOMAINS, &settings)
        .await?;
    let searchers: Vec<SocketAddr> = stand_ins
        .searchers
        .iter()
        .map(|s| s.config.address.parse())
        .collect::<Result<_, _>>()?;
    println!("wire: {SHARDS} searcher calls a query, {WIDTH} queries at a time\n");
    memory(&service, &stand_ins).await?;
    println!(
        "\n{:<28} {:>5} {:>9} {:>12} {:>12} {:>14} {:>9}",
        "run", "nodes", "queries/s", "cpu us/query", "cpu us/call", "calls/s a core", "whole"
    );
    let direct = measure_linear(searchers).await?;
    print_run("direct linear, 1 thread", 1, &direct);
    let one = measure(1, 1, &service, pooled_ports).await?;
    print_run("tier, 1 thread", 1, &one);
    let four = measure(1, 4, &service, pooled_ports).await?;
    print_run("tier, 4 threads", 1, &four);
    let linear = measure(3, 1, &service, unpooled::ports).await?;
    print_run("linear, 3 nodes of 1 thread", 3, &linear);
    let three = measure(3, 1, &service, pooled_ports).await?;
    print_run("tier, 3 nodes of 1 thread", 3, &three);

    let calls = f64::from(SHARDS) * 1e6 / one.cpu_micros();
    let ratio = |base: &Run, tier: &Run| base.cpu_micros() / tier.cpu_micros();
    println!();
    println!(
        "linear / tier, 3 nodes        {:.1} (target {CHEAPER:.0})",
        ratio(&linear, &three)
    );
    println!(
        "direct linear / tier, 1 node  {:.1} (target {CHEAPER:.0})",
        ratio(&direct, &one)
    );
    println!("searcher calls/s a core       {calls:.0} (target {CALLS_PER_CORE:.0})");
    let batch = (three.cpu_micros() - one.cpu_micros()) / 2.0;
    println!("cpu of a batch to a peer      {batch:.0} us, both sides");
    shapes::print().await
}

/// Prints the memory of connections, before anything else has grown the heap.
async fn memory(service: &v1::Service, stand_ins: &LocalTier) -> anyhow::Result<()> {
    let tier = tier(1, 1, service, pooled_ports).await?;
    let address = tier.nodes[0].callers;
    load::run(&load_on(vec![address], WARM_UP, NODE_THREAD)).await;
    let idle = idle_bytes(address).await?;
    println!("memory, idle connection       {idle} B");
    set_service(stand_ins, BUSY_TIME);
    let busy = busy_bytes(address).await;
    println!("memory, busy connection       {busy} B");
    set_service(stand_ins, Duration::ZERO);
    Ok(())
}

fn set_service(stand_ins: &LocalTier, service: Duration) {
    for local in &stand_ins.searchers {
        local.searcher.change(|s| s.service = service);
    }
}

fn main() -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .thread_name("stand-ins")
        .enable_all()
        .build()?;
    runtime.block_on(runtime.spawn(run()))?
}
