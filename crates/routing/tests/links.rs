//! Tests of the judgement whether a node has lost its own links.

mod common;

use common::at;
use heatherrun_kernel::routes::Name;
use heatherrun_routing::links::{Links, Phase};

fn silence(links: &Links, millis: u64, target: &str) -> bool {
    links.record_silence(at(millis), &Name::from(target))
}

/// Links that are down since second 1.
fn lost_links() -> Links {
    let links = Links::default();
    silence(&links, 700, "a");
    silence(&links, 800, "b");
    assert!(silence(&links, 900, "c"));
    assert!(links.record_unreachable());
    links
}

#[test]
fn record_silence_needs_several_targets_and_time() {
    let links = Links::default();
    for (millis, target) in [(0, "a"), (300, "a"), (600, "b"), (700, "b")] {
        assert!(!silence(&links, millis, target));
    }
    assert!(links.admits(at(700)));
    assert!(silence(&links, 701, "c"));
    assert_eq!(links.phase(), Phase::Suspect);
    assert!(!silence(&links, 702, "d"), "told only once");
    let links = Links::default();
    for (millis, target) in [(0, "a"), (50, "b"), (199, "c")] {
        assert!(!silence(&links, millis, target));
    }
    assert!(silence(&links, 200, "c"));
}

/// One target that replies shows that the others failed, not the links.
#[test]
fn record_reply_clears_silence() {
    let links = Links::default();
    silence(&links, 0, "a");
    silence(&links, 300, "b");
    assert!(!links.record_reply(at(310)));
    assert_eq!(links.phase(), Phase::Up);
    assert!(!silence(&links, 320, "c"));
    silence(&links, 330, "a");
    silence(&links, 600, "b");
    assert_eq!(links.phase(), Phase::Suspect);
    assert!(!links.record_reply(at(610)));
    assert!(!links.record_unreachable(), "replied meanwhile");
    assert_eq!(links.phase(), Phase::Up);
}

#[test]
fn record_wake_forgets_who_was_silent() {
    let links = Links::default();
    silence(&links, 0, "a");
    silence(&links, 1, "b");
    links.record_wake();
    assert!(!silence(&links, 5_000, "c"));
}

/// The part of the requests that a node serves itself grows from nothing.
#[test]
fn admits_grows_after_an_outage() {
    let links = lost_links();
    assert!(!links.admits(at(1_500)));
    assert!(links.record_reply(at(2_000)));
    let admitted = |from: u64, to: u64| (from..to).filter(|ms| links.admits(at(*ms))).count();
    let tenths: Vec<_> = (0..10)
        .map(|n| admitted(2_000 + 100 * n, 2_100 + 100 * n))
        .collect();
    assert!(tenths[0] <= 6 && tenths.is_sorted(), "{tenths:?}");
    assert!(
        (450..=550).contains(&tenths.iter().sum::<usize>()),
        "{tenths:?}"
    );
    assert_eq!(admitted(3_000, 3_100), 100);
    assert_eq!(links.phase(), Phase::Returning(at(2_000)));
    assert!(!links.record_reply(at(3_000)));
    assert_eq!(links.phase(), Phase::Up);
}

#[test]
fn record_silence_while_returning_makes_links_suspect_again() {
    let links = lost_links();
    links.record_reply(at(2_000));
    silence(&links, 2_100, "a");
    silence(&links, 2_200, "b");
    assert!(silence(&links, 2_300, "c"));
    assert!(links.record_unreachable());
    assert!(!links.admits(at(3_500)));
}
