//! Sends metrics with cadence, as statsd over UDP.
//!
//! Requests add their metrics to a bounded queue without blocking; metrics that
//! don't fit are dropped. A thread of the cadence sink sends the queue.

use std::{net::SocketAddr, net::UdpSocket, sync::Arc, time::Duration};

use anyhow::Context as _;
use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};
use heatherrun_tier::node::Node;
use heatherrun_tier::outcome::{Metric, MetricSink};

/// Maximum number of metrics that wait to be sent.
const MAX_QUEUED_METRICS: usize = 16_384;

/// Interval at which gauges are sampled and the buffer is flushed; also the
/// maximum time that a metric waits in the buffer.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Creates a client that sends the metrics of `node` to `address`.
///
/// # Errors
/// If the socket can't be opened.
pub fn new_client(node: &str, address: SocketAddr) -> anyhow::Result<StatsdClient> {
    let bind_address = if address.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(bind_address)
        .context("cannot open a UDP socket for metrics; free a port")?;
    socket
        .set_nonblocking(true)
        .context("cannot make the UDP socket for metrics non-blocking")?;
    let udp = BufferedUdpMetricSink::from(address, socket)
        .context("cannot send metrics; correct \"metrics\" in the settings")?;
    let queue = QueuingMetricSink::builder()
        .with_capacity(MAX_QUEUED_METRICS)
        .build(udp);
    Ok(StatsdClient::from_sink(&name_prefix(node), queue))
}

/// Prefix of the metric names of a node.
#[must_use]
pub fn name_prefix(node: &str) -> String {
    format!("heatherrun.{}", escape_part(node))
}

/// Replaces the characters of `name` that separate the parts of a statsd line.
fn escape_part(name: &str) -> String {
    name.replace(['.', ':', '|', '@'], "_")
}

/// Creates a sink that sends the metrics of finished requests.
#[must_use]
pub fn metric_sink(client: Arc<StatsdClient>) -> MetricSink {
    Arc::new(move |metric| send_metric(&client, metric))
}

/// Sends the metrics of one request; those that don't fit in the queue are
/// dropped.
fn send_metric(client: &StatsdClient, metric: Metric<'_>) {
    match metric {
        Metric::Answered {
            service,
            took,
            attempts,
            hedges,
            retries,
            whole,
        } => {
            let service = escape_part(service);
            let name = |metric: &str| format!("{metric}.{service}");
            let _ = client.incr(&name("answered"));
            let _ = client.time(&name("took"), took);
            let _ = client.count(&name("attempts"), attempts);
            for (metric, count) in [("hedges", hedges), ("retries", retries)] {
                if count > 0 {
                    let _ = client.count(&name(metric), count);
                }
            }
            if !whole {
                let _ = client.incr(&name("partial"));
            }
        }
        Metric::Refused { service, kind, .. } => {
            let _ = client.incr(&format!(
                "refused.{}.{}",
                escape_part(service),
                escape_part(kind)
            ));
        }
    }
}

/// Sends the current values of the node's gauges.
pub fn send_gauges(client: &StatsdClient, node: &Node) {
    let (in_flight, load) = node.entry.load();
    let age = node.clock.now().since(node.view.load().confirmed_at);
    let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let _ = client.gauge("in_flight", u64::from(in_flight));
    let _ = client.gauge("load", u64::from(load));
    let _ = client.gauge("view_age_ms", age);
    let _ = client.flush();
}

/// Sends the metrics of `node` to `address`; returns only on an error.
///
/// # Errors
/// If the socket can't be opened.
pub async fn run(node: Arc<Node>, address: SocketAddr) -> anyhow::Result<()> {
    let client = Arc::new(new_client(&node.info.name, address)?);
    node.entry
        .outcomes()
        .send_metrics(metric_sink(Arc::clone(&client)));
    loop {
        send_gauges(&client, &node);
        tokio::time::sleep(GAUGE_INTERVAL).await;
    }
}
