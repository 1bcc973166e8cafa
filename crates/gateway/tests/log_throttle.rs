//! Rate limits for log lines about single requests.

use heatherrun_gateway::log_throttle::{LineKind, LogThrottle};
use heatherrun_kernel::Time;

/// Requests `count` lines within the second from `start_ms`; returns how many
/// were allowed.
fn count_allowed(throttle: &LogThrottle, start_ms: u64, count: u64, kind: LineKind) -> usize {
    let lines =
        (0..count).filter(|n| throttle.allows(Time::from_millis(start_ms + n % 1_000), kind));
    lines.count()
}

#[test]
fn allows_all_failed_requests_at_four_times_usual_load() {
    let throttle = LogThrottle::default();
    assert_eq!(
        count_allowed(&throttle, 0, 5_000, LineKind::PartialAnswer),
        100
    );
    assert_eq!(
        count_allowed(&throttle, 0, 5_000, LineKind::FailedCall),
        200
    );
    // Four times the usual 225 requests/s over 8 nodes, all of which fail.
    assert_eq!(
        count_allowed(&throttle, 0, 225 * 4 / 8, LineKind::FailedRequest),
        225 * 4 / 8
    );
}

#[test]
fn take_suppressed_reports_lines_once() {
    let throttle = LogThrottle::default();
    count_allowed(&throttle, 0, 150, LineKind::PartialAnswer);
    let suppressed: Vec<_> = throttle.take_suppressed().collect();
    assert_eq!(suppressed, [("request.partial", 50)]);
    assert_eq!(throttle.take_suppressed().count(), 0);
}

#[test]
fn allows_lines_again_in_next_second() {
    let throttle = LogThrottle::default();
    count_allowed(&throttle, 0, 500, LineKind::FailedCall);
    assert!(throttle.allows(Time::from_millis(1_000), LineKind::FailedCall));
}
