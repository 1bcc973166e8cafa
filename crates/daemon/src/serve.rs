//! Creates a node from its settings and starts its listeners.

use std::{sync::Arc, time::SystemTime};

use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::registry;
use heatherrun_kernel::{Clock, DomainId, NodeId};
use heatherrun_ports::listen::{bind, parse};
use heatherrun_ports::memory::Division;
use heatherrun_ports::serving::{Listeners, Serving};
use heatherrun_schema::v1::NodeSettings;
use heatherrun_tier::node::Node;

/// Name of the plug-in that sends calls to targets.
const TARGETS_PLUGIN: &str = "http";

/// Name of the plug-in that sends messages to other nodes.
const PEERS_PLUGIN: &str = "tarpc";

/// Name of the plug-in that connects to the platform.
const PLATFORM_PLUGIN: &str = "http";

/// Starts the node described by `settings`.
///
/// # Errors
/// If an address is malformed or its port is in use.
pub async fn start(settings: &NodeSettings) -> anyhow::Result<(Arc<Node>, Serving)> {
    let info = node_info(settings)?;
    let listeners = Listeners {
        callers: bind(info.callers).await?,
        peers: bind(info.peers).await?,
        operators: bind(parse(&settings.operators, "operators")?).await?,
    };
    let division = Division::new(settings.memory_mb, settings.max_fds);
    let node = Node::new(
        info,
        Clock::start_boot(),
        registry::targets(TARGETS_PLUGIN)?(),
        registry::peers(PEERS_PLUGIN)?(),
        registry::platform(PLATFORM_PLUGIN)?(parse(&settings.platform, "platform")?),
        settings.address_secs,
    );
    let serving = Serving::start(Arc::clone(&node), listeners, &division);
    Ok((node, serving))
}

fn node_info(settings: &NodeSettings) -> anyhow::Result<NodeInfo> {
    let started = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0));
    Ok(NodeInfo {
        id: NodeId::from_name(&settings.name),
        name: settings.name.clone(),
        domain: DomainId::from_name(&settings.domain),
        peers: parse(&settings.peers, "peers")?,
        callers: parse(&settings.callers, "callers")?,
        started,
    })
}
