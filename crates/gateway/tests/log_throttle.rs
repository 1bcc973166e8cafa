//! Bounds of the lines about single requests.

use heatherrun_gateway::log_throttle::{Kind, Throttle};
use heatherrun_kernel::Time;

fn allowed(throttle: &Throttle, from: u64, count: u64, kind: Kind) -> usize {
    let lines = (0..count).filter(|n| throttle.allows(Time::from_millis(from + n % 1_000), kind));
    lines.count()
}

#[test]
fn throttle_failed_requests_of_four_times_the_usual_load_all_have_lines() {
    let throttle = Throttle::default();
    assert_eq!(allowed(&throttle, 0, 5_000, Kind::Partial), 100);
    assert_eq!(allowed(&throttle, 0, 5_000, Kind::Call), 200);
    // 225 requests/s over 8 nodes, four times, and all of them fail.
    assert_eq!(
        allowed(&throttle, 0, 225 * 4 / 8, Kind::Failed),
        225 * 4 / 8
    );
}

#[test]
fn throttle_lines_left_out_are_told_once() {
    let throttle = Throttle::default();
    allowed(&throttle, 0, 150, Kind::Partial);
    let left: Vec<_> = throttle.take_left_out().collect();
    assert_eq!(left, [("request.partial", 50)]);
    assert_eq!(throttle.take_left_out().count(), 0);
}

#[test]
fn throttle_next_second_has_room_again() {
    let throttle = Throttle::default();
    allowed(&throttle, 0, 500, Kind::Call);
    assert!(throttle.allows(Time::from_millis(1_000), Kind::Call));
}
