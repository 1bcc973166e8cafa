//! Opens the listeners of a node and serves on them.

use std::{sync::Arc, time::SystemTime};

use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::registry;
use heatherrun_kernel::{Clock, DomainId, NodeId};
use heatherrun_ports::listen::{bind, parse};
use heatherrun_ports::serving::{Listeners, Serving};
use heatherrun_schema::v1::NodeSettings;
use heatherrun_tier::node::Node;

/// Plug-in that sends calls to targets.
const TARGETS: &str = "http";

/// Plug-in that sends messages to other nodes.
const PEERS: &str = "tarpc";

/// Plug-in that reaches the platform.
const PLATFORM: &str = "http";

/// Starts the node that `settings` describe.
///
/// # Errors
/// When an address is malformed or its port is not free.
pub async fn start(settings: &NodeSettings) -> anyhow::Result<(Arc<Node>, Serving)> {
    let info = info(settings)?;
    let listeners = Listeners {
        callers: bind(info.callers).await?,
        peers: bind(info.peers).await?,
        operators: bind(parse(&settings.operators, "operators")?).await?,
    };
    let node = Node::new(
        info,
        Clock::start(),
        registry::targets(TARGETS)?(),
        registry::peers(PEERS)?(),
        registry::platform(PLATFORM)?(parse(&settings.platform, "platform")?),
        settings.address_secs,
    );
    let serving = Serving::start(Arc::clone(&node), listeners);
    Ok((node, serving))
}

fn info(settings: &NodeSettings) -> anyhow::Result<NodeInfo> {
    let started = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0));
    Ok(NodeInfo {
        id: NodeId::of(&settings.name),
        name: settings.name.clone(),
        domain: DomainId::of(&settings.domain),
        peers: parse(&settings.peers, "peers")?,
        callers: parse(&settings.callers, "callers")?,
        started,
    })
}
