//! Compares metric names and values with a text file.

use std::{net::UdpSocket, sync::Arc, time::Duration};

use cadence::{SpyMetricSink, StatsdClient};
use heatherrun_daemon::metrics;
use heatherrun_kernel::message::Ran;
use heatherrun_tier::outcome::{Metric, MetricSink};

const EXPECTED: &str = include_str!("expected/metrics.txt");

/// Time to wait for a datagram after each flush.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);

/// Number of flushes after which the test fails.
const MAX_FLUSHES: u32 = 200;

fn send_all(sink: &MetricSink) {
    sink(Metric::Answered {
        service: "buyer-desk",
        took: Duration::from_millis(41),
        attempts: 12,
        hedges: 1,
        retries: 1,
        whole: false,
    });
    sink(Metric::Answered {
        service: "lot.viewer",
        took: Duration::from_millis(7),
        attempts: 1,
        hedges: 0,
        retries: 0,
        whole: true,
    });
    sink(Metric::Refused {
        service: "buyer-desk",
        kind: "timed-out",
        ran: Ran::Unknown,
    });
}

#[test]
fn metric_sink_names_match_file() {
    let (received, spy) = SpyMetricSink::new();
    let client = StatsdClient::from_sink(&metrics::name_prefix("entry.1"), spy);
    send_all(&metrics::metric_sink(Arc::new(client)));
    let lines: Vec<_> = received
        .try_iter()
        .map(|m| String::from_utf8(m).unwrap())
        .collect();
    assert_eq!(lines.join("\n") + "\n", EXPECTED);
}

#[test]
fn new_client_sends_datagrams() {
    let receiver = UdpSocket::bind("127.0.0.1:0").unwrap();
    receiver.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
    let client = metrics::new_client("entry.1", receiver.local_addr().unwrap()).unwrap();
    let client = Arc::new(client);
    send_all(&metrics::metric_sink(Arc::clone(&client)));
    let mut buffer = [0; 2_048];
    // The thread of the queue may buffer metrics only after a flush, so the test
    // flushes repeatedly, as the daemon does each second.
    let received_length = (0..MAX_FLUSHES).find_map(|_| {
        client.flush().unwrap();
        receiver.recv(&mut buffer).ok()
    });
    let length = received_length.unwrap();
    let first = EXPECTED.lines().next().unwrap();
    assert!(buffer[..length].starts_with(first.as_bytes()));
}
