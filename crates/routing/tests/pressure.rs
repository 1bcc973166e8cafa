//! Which shards a search leaves out to spare their targets.

mod common;

use common::at;
use heatherrun_kernel::routes::Name;
use heatherrun_routing::learned::Learned;

fn shards() -> Vec<Name> {
    (0..10).map(|n| Name::from(format!("s{n}"))).collect()
}

#[test]
fn spared_shards_that_refuse_are_left_out_by_some_searches_alone() {
    // Pattern: offered load a third over what one shard bears.
    let (learned, shards) = (Learned::default(), shards());
    let mut left_out = 0;
    for search in 0..500 {
        let now = at(search * 20);
        let spared = learned.spared(now, &shards, 1);
        assert!(spared.is_empty() || spared == [4]);
        left_out += spared.len();
        // One call in five that is sent is refused.
        if spared.is_empty() && search % 5 == 0 {
            learned.pressed(now, &shards[4]);
        }
    }
    assert!((150..400).contains(&left_out), "{left_out}");
}

#[test]
fn spared_shard_is_asked_again_soon_after_its_last_refusal() {
    let (learned, shards) = (Learned::default(), shards());
    for _ in 0..50 {
        learned.pressed(at(0), &shards[2]);
    }
    let left_out = |from: u64| {
        let searches = (0..50).filter(|n| !learned.spared(at(from + n), &shards, 1).is_empty());
        searches.count()
    };
    assert!(left_out(1) > 40);
    assert_eq!(left_out(4_000), 0);
}

#[test]
fn spared_never_more_than_the_answer_may_lack() {
    let (learned, shards) = (Learned::default(), shards());
    for shard in &shards {
        for _ in 0..50 {
            learned.pressed(at(0), shard);
        }
    }
    for search in 0..50 {
        assert!(learned.spared(at(search), &shards, 2).len() <= 2);
        assert!(learned.spared(at(search), &shards, 0).is_empty());
    }
}
