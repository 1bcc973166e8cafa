//! Names and values of metrics, compared with a text file.

use std::{net::UdpSocket, sync::Arc, time::Duration};

use cadence::{SpyMetricSink, StatsdClient};
use heatherrun_daemon::metrics;
use heatherrun_kernel::message::Ran;
use heatherrun_tier::outcome::{Metric, MetricSink};

const EXPECTED: &str = include_str!("expected/metrics.txt");

/// Wait for a datagram after each flush.
const WAIT: Duration = Duration::from_millis(50);

/// Flushes before a datagram is taken for lost.
const TRIES: u32 = 200;

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
fn sink_names_match_file() {
    let (received, spy) = SpyMetricSink::new();
    let client = StatsdClient::from_sink(&metrics::prefix("entry.1"), spy);
    send_all(&metrics::sink(Arc::new(client)));
    let lines: Vec<_> = received
        .try_iter()
        .map(|m| String::from_utf8(m).unwrap())
        .collect();
    assert_eq!(lines.join("\n") + "\n", EXPECTED);
}

#[test]
fn client_sends_datagrams() {
    let receiver = UdpSocket::bind("127.0.0.1:0").unwrap();
    receiver.set_read_timeout(Some(WAIT)).unwrap();
    let client = metrics::client("entry.1", receiver.local_addr().unwrap()).unwrap();
    let client = Arc::new(client);
    send_all(&metrics::sink(Arc::clone(&client)));
    let mut buffer = [0; 2_048];
    // The queue's thread may take metrics after a flush: the daemon flushes each second.
    let taken = (0..TRIES).find_map(|_| {
        client.flush().unwrap();
        receiver.recv(&mut buffer).ok()
    });
    let length = taken.unwrap();
    let first = EXPECTED.lines().next().unwrap();
    assert!(buffer[..length].starts_with(first.as_bytes()));
}
