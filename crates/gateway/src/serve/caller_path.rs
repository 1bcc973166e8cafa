//! What the time that a caller still waits tells of its way to this node.

use std::{sync::atomic::Ordering, time::Duration};

use heatherrun_kernel::routes::Route;
use heatherrun_kernel::time::micros;
use heatherrun_ports::http_server::{ConnectionNote, Received};
use heatherrun_routing::plan::CallerPath;
use heatherrun_routing::route_stats::RouteLatency;

/// Path of the caller. Its round trip is kept for the other requests of its
/// connection.
pub(super) fn observe(
    received: &Received,
    route: &Route,
    time_left: Duration,
    latency: &RouteLatency,
) -> CallerPath {
    let longest = latency.record_wait(time_left);
    let note = received.head.extensions.get::<ConnectionNote>();
    let known = note.map_or(0, |note| note.0.load(Ordering::Relaxed));
    let known = Duration::from_micros(known);
    let path = CallerPath::new(time_left, longest, route.objective, known);
    if let Some(note) = note {
        note.0.store(micros(path.round_trip), Ordering::Relaxed);
    }
    path
}
