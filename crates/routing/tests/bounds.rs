//! The budget of extra calls and this node's parts of what all share.

mod common;

use common::{at, ms, node};
use heatherrun_kernel::routes::Name;
use heatherrun_routing::extra::{ExtraBound, ExtraWindow};
use heatherrun_routing::share::Shares;
use proptest::prelude::*;

const BOUND: ExtraBound = ExtraBound {
    share: 0.2,
    slack: 56,
    window: ms(10_000),
};

proptest! {
    #![proptest_config(common::fixed())]

    /// In any ten seconds extra calls stay within the bound.
    #[test]
    fn take_any_window_holds(steps in prop::collection::vec((0..400_u64, any::<bool>()), 1..400)) {
        let mut window = ExtraWindow::default();
        let (mut requests, mut extra) = (Vec::new(), Vec::new());
        let mut now = 0;
        for (step, asks) in steps {
            now += step;
            if asks && window.take(at(now), &BOUND, 0.125) {
                extra.push(now);
            } else if !asks {
                window.request(at(now), &BOUND);
                requests.push(now);
            }
        }
        for start in &extra {
            let within = |t: &&u64| (*start..=start + 10_000).contains(*t);
            let used = extra.iter().filter(within).count();
            let asked = requests.iter().filter(within).count();
            let before = requests.iter().filter(|t| (start.saturating_sub(10_000)..=*start).contains(*t));
            // 0.2 a request and an eighth of 56.
            let most = asked.max(before.count()) + 35;
            prop_assert!(used * 5 <= most, "{used} extra calls, a fifth of {most} allowed");
        }
    }
}

#[test]
fn shares_of_all_nodes_together_fit_a_target() {
    let regions = [Name::from("x"), Name::from("y")];
    let nodes: Vec<_> = (0..9)
        .map(|n| {
            let region = if n < 5 { "x" } else { "y" };
            node(
                &format!("node-{n}"),
                region,
                region,
                if n % 3 == 0 { 0.5 } else { 0.12 },
            )
        })
        .collect();
    let rooms = nodes.iter().map(|me| {
        let shares = Shares::of(me, &nodes, &regions);
        shares.room(&regions[0], 73)
    });
    let rooms: Vec<_> = rooms.collect();
    assert!(rooms.iter().sum::<u16>() <= 73, "{rooms:?}");
    let whole: f64 = nodes
        .iter()
        .map(|me| Shares::of(me, &nodes, &regions).whole)
        .sum();
    assert!((whole - 1.0).abs() < 1e-9);
    assert!(rooms[0] > rooms[1], "a strong node gets more");
}

#[test]
fn shares_lone_node_gets_its_region_and_no_more_than_half() {
    let me = node("me", "x", "x", 0.25);
    let regions = [Name::from("x")];
    let shares = Shares::of(&me, &[], &regions);
    assert_eq!(shares.room(&regions[0], 31), 15);
    assert_eq!(shares.room(&Name::from("unknown"), 31), 1);
}
