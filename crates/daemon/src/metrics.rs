//! Metrics by cadence, as statsd over UDP.
//!
//! The path of a request puts its metrics into a bounded queue and never
//! waits: what does not fit is dropped. A thread of the sink sends them.

use std::{net::SocketAddr, net::UdpSocket, sync::Arc, time::Duration};

use anyhow::Context as _;
use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};
use heatherrun_tier::node::Node;
use heatherrun_tier::outcome::{Metric, MetricSink};

/// Metrics that wait to be sent.
const QUEUE: usize = 16_384;

/// Time between two samples of gauges; also the longest time that a metric
/// waits in a buffer.
const PERIOD: Duration = Duration::from_secs(1);

/// Client that sends the metrics of `node` to `address`.
///
/// # Errors
/// When no socket can be opened.
pub fn client(node: &str, address: SocketAddr) -> anyhow::Result<StatsdClient> {
    let any = if address.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(any).context("no UDP socket for metrics; free a port")?;
    socket
        .set_nonblocking(true)
        .context("metrics need a socket that does not block")?;
    let udp = BufferedUdpMetricSink::from(address, socket)
        .context("cannot send metrics; correct \"metrics\" in the settings")?;
    let queue = QueuingMetricSink::builder().with_capacity(QUEUE).build(udp);
    Ok(StatsdClient::from_sink(&prefix(node), queue))
}

/// Prefix of the names of a node's metrics.
#[must_use]
pub fn prefix(node: &str) -> String {
    format!("heatherrun.{}", part(node))
}

/// A name as one part of a metric's name.
fn part(name: &str) -> String {
    name.replace(['.', ':', '|', '@'], "_")
}

/// Sends what requests came to.
#[must_use]
pub fn sink(client: Arc<StatsdClient>) -> MetricSink {
    Arc::new(move |metric| send(&client, metric))
}

/// A metric that does not fit into the queue is dropped.
fn send(client: &StatsdClient, metric: Metric<'_>) {
    match metric {
        Metric::Answered {
            service,
            took,
            attempts,
            hedges,
            retries,
            whole,
        } => {
            let service = part(service);
            let name = |what: &str| format!("{what}.{service}");
            let _ = client.incr(&name("answered"));
            let _ = client.time(&name("took"), took);
            let _ = client.count(&name("attempts"), attempts);
            for (what, count) in [("hedges", hedges), ("retries", retries)] {
                if count > 0 {
                    let _ = client.count(&name(what), count);
                }
            }
            if !whole {
                let _ = client.incr(&name("partial"));
            }
        }
        Metric::Refused { service, kind, .. } => {
            let _ = client.incr(&format!("refused.{}.{}", part(service), part(kind)));
        }
    }
}

/// Sends the node's gauges once.
pub fn sample(client: &StatsdClient, node: &Node) {
    let (in_flight, load) = node.entry.load();
    let age = node.clock.now().since(node.view.load().fresh);
    let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let _ = client.gauge("in_flight", u64::from(in_flight));
    let _ = client.gauge("load", u64::from(load));
    let _ = client.gauge("view_age_ms", age);
    let _ = client.flush();
}

/// Sends the metrics of `node` to `address`, for ever.
///
/// # Errors
/// When no socket can be opened.
pub async fn run(node: Arc<Node>, address: SocketAddr) -> anyhow::Result<()> {
    let client = Arc::new(client(&node.info.name, address)?);
    node.entry
        .outcomes()
        .send_metrics(sink(Arc::clone(&client)));
    loop {
        sample(&client, &node);
        tokio::time::sleep(PERIOD).await;
    }
}
