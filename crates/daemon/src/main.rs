//! `heatherrund`, the daemon that runs on each entry VM.

use std::{fs, net::SocketAddr, path::PathBuf, time::SystemTime};

use anyhow::Context as _;
use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::{Clock, DomainId, NodeId};
use heatherrun_ports::http_server::Phase;
use heatherrun_ports::{caller, operator, peer, peer_client, platform, target};
use heatherrun_schema::v1::NodeSettings;
use heatherrun_tier::node::Node;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The query tier's daemon.
#[derive(argh::FromArgs)]
struct Arguments {
    /// settings file of this node, in JSON with comments
    #[argh(positional)]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let file = arguments.settings.display().to_string();
    let text = fs::read_to_string(&arguments.settings)
        .with_context(|| format!("cannot read {file}; name a readable settings file"))?;
    run(heatherrun_settings::read(&file, &text)?).await
}

async fn run(settings: NodeSettings) -> anyhow::Result<()> {
    let info = info(&settings)?;
    let (callers, peers) = (bind(info.callers).await?, bind(info.peers).await?);
    let operators = bind(settings.operators.parse().context("operators")?).await?;
    let store = platform::platform(settings.platform.parse().context("platform")?);
    let clock = Clock::start();
    let node = Node::new(
        info,
        clock,
        target::targets(),
        peer_client::peers(),
        store,
        settings.address_secs,
    );
    let (stop, stopped) = watch::channel(Phase::Serve);
    tokio::spawn(peer::serve(peers, node.clone()));
    let operator_task = operator::serve(operators, node.clone(), stopped.clone());
    tokio::spawn(operator_task);
    let following = node.clone();
    tokio::spawn(async move { following.follow().await });
    let serving = tokio::spawn(caller::serve(callers, node, stopped));
    tokio::signal::ctrl_c().await?;
    stop.send_replace(Phase::Close);
    serving.await?;
    Ok(())
}

fn info(settings: &NodeSettings) -> anyhow::Result<NodeInfo> {
    let started = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0));
    Ok(NodeInfo {
        id: NodeId::of(&settings.name),
        name: settings.name.clone(),
        domain: DomainId::of(&settings.domain),
        peers: settings.peers.parse().context("peers")?,
        callers: settings.callers.parse().context("callers")?,
        started,
    })
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| {
        format!("cannot listen on {address}; free the port or change the settings")
    })
}
