//! Copies of the store: pages of a listing that are of different age, changes,
//! and what nodes request from each other.

mod common;

use std::sync::Arc;

use heatherrun_kernel::{Era, Revision};
use heatherrun_routing::feed::{Delta, Feed, Item, ItemRules, Position};
use heatherrun_routing::listing::{self, Listing, PageError};
use proptest::prelude::*;

/// Keys of the store, in order.
const KEYS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Keys of one page.
const PAGE_KEYS: usize = 2;

/// Maximum number of revisions by which a stale page lags behind.
const MAX_LAG: u64 = 6;

fn position(revision: u64) -> Position {
    Position {
        era: Era(1),
        revision: Revision(revision),
    }
}

fn item(key: usize, revision: u64, value: bool) -> Item {
    let value = value.then(|| Arc::from(revision.to_string().as_bytes()));
    Item {
        key: Arc::from(KEYS[key]),
        revision,
        value,
    }
}

fn apply(feed: &mut Feed, delta: Delta) {
    let rules = ItemRules {
        is_minor_change: &|_, _| false,
        stays_deleted: &|_| false,
    };
    feed.apply(delta, &rules);
}

/// Applies to a copy what changed in another one after its position.
fn pull(feed: &mut Feed, other: &Feed) {
    let delta = other.since(feed.position());
    apply(feed, delta);
}

/// All changes of a store, in the order of their revisions, which start at 1.
#[derive(Default)]
struct History(Vec<Item>);

impl History {
    fn write(&mut self, key: usize, value: bool) {
        let revision = self.revision() + 1;
        self.0.push(item(key, revision, value));
    }

    fn revision(&self) -> u64 {
        u64::try_from(self.0.len()).unwrap()
    }

    /// Last change of a key up to a revision.
    fn last(&self, key: &str, revision: u64) -> Option<&Item> {
        let until = self.0.iter().take_while(|i| i.revision <= revision);
        until.filter(|i| &*i.key == key).last()
    }

    /// Value of a key at a revision.
    fn value(&self, key: &str, revision: u64) -> Option<&[u8]> {
        self.last(key, revision)?.value.as_deref()
    }

    fn page(&self, page: usize, revision: u64) -> Vec<Item> {
        let keys = KEYS.iter().skip(page * PAGE_KEYS).take(PAGE_KEYS);
        let last = keys.filter_map(|key| self.last(key, revision));
        last.filter(|i| i.value.is_some()).cloned().collect()
    }

    fn changes(&self, after: Position) -> Delta {
        let later = self.0.iter().filter(|i| i.revision > after.revision.0);
        Delta {
            items: later.cloned().collect(),
            is_complete: false,
            position: position(self.revision()),
        }
    }

    /// Asserts that each key in the copy is as it was at some revision that is
    /// not older than the copy's position.
    fn check(&self, feed: &Feed) {
        let copy = feed.since(Position::default()).items;
        let start = feed.position().revision.0;
        for key in KEYS {
            let entry = copy.iter().find(|i| &*i.key == key);
            let value = entry.and_then(|i| i.value.as_deref());
            let mut later = start..=self.revision();
            assert!(
                later.any(|revision| self.value(key, revision) == value),
                "{key} is {value:?} at {start} of {}: {:?}",
                self.revision(),
                self.0
            );
        }
    }
}

/// A step in the life of two nodes; the second one knows only what the first
/// one tells it, until they exchange changes.
#[derive(Clone, Debug)]
enum Step {
    Write(usize, bool),
    /// The first node starts; its pages lag behind by these revisions.
    Start([u64; 3]),
    /// It lists the store again, which changes before each page.
    List([(usize, bool); 3]),
    Watch,
    /// The second node starts.
    Restart,
    /// The second node requests changes from the first one, or the first one
    /// from the second.
    Pull,
    PullBack,
}

fn any_write() -> impl Strategy<Value = (usize, bool)> {
    (0..KEYS.len(), any::<bool>())
}

fn any_step() -> impl Strategy<Value = Step> {
    let lag = || 0..=MAX_LAG;
    prop_oneof![
        8 => any_write().prop_map(|(key, value)| Step::Write(key, value)),
        2 => [lag(), lag(), lag()].prop_map(Step::Start),
        2 => [any_write(), any_write(), any_write()].prop_map(Step::List),
        2 => Just(Step::Watch),
        1 => Just(Step::Restart),
        2 => Just(Step::Pull),
        1 => Just(Step::PullBack),
    ]
}

proptest! {
    #![proptest_config(common::fixed_seed())]

    /// Guards against a copy that claims changes which it lacks: a starting
    /// node that kept a configuration older than its position.
    #[test]
    fn copy_has_all_changes_up_to_its_position(
        steps in prop::collection::vec(any_step(), 1..60)
    ) {
        let mut store = History::default();
        let [mut first, mut second] = [Feed::default(), Feed::default()];
        store.write(0, true);
        for step in steps {
            match step {
                Step::Write(key, value) => store.write(key, value),
                Step::Start(lags) => {
                    let mut listing = Listing::default();
                    for (page, lag) in lags.into_iter().enumerate() {
                        let at = store.revision().saturating_sub(lag).max(1);
                        let items = store.page(page, at);
                        listing.add_page(items, false, position(at)).unwrap();
                    }
                    let listing = listing.into_delta();
                    let changes = store.changes(listing.position);
                    first = Feed::default();
                    apply(&mut first, listing::with_changes(listing, changes));
                }
                Step::List(writes) => {
                    let mut listing = Listing::default();
                    for (page, (key, value)) in writes.into_iter().enumerate() {
                        store.write(key, value);
                        let at = store.revision();
                        let items = store.page(page, at);
                        listing.add_page(items, false, position(at)).unwrap();
                    }
                    apply(&mut first, listing.into_delta());
                }
                Step::Watch if first.position().is_start() => {}
                Step::Watch => {
                    let changes = store.changes(first.position());
                    apply(&mut first, changes);
                }
                Step::Restart => second = Feed::default(),
                Step::Pull => pull(&mut second, &first),
                Step::PullBack => pull(&mut first, &second),
            }
            for feed in [&first, &second] {
                if !feed.position().is_start() {
                    store.check(feed);
                }
            }
        }
    }
}

/// Guards against a position that skips the changes made between an older later
/// page and the first one.
#[test]
fn listing_position_is_the_oldest_page() {
    let mut listing = Listing::default();
    for revision in [53, 34, 40] {
        listing.add_page([], false, position(revision)).unwrap();
    }
    assert_eq!(listing.into_delta().position, position(34));
}

#[test]
fn listing_page_of_another_era_is_rejected() {
    let mut listing = Listing::default();
    let first = listing.add_page([item(0, 1, true)], true, position(1));
    assert_eq!(first, Ok(Some(Arc::from(KEYS[0]))));
    let later = Position {
        era: Era(2),
        revision: Revision(1),
    };
    let added = listing.add_page([item(2, 1, true)], false, later);
    assert_eq!(added, Err(PageError::MixedEras));
    assert_eq!(listing.into_delta().items, [item(0, 1, true)]);
}

/// Guards against a listing that asked for the same pages without end, and one
/// that took an incomplete listing for a complete one.
#[test]
fn listing_page_without_progress_is_rejected() {
    let mut listing = Listing::default();
    let empty = listing.add_page([], true, position(9));
    assert_eq!(empty, Err(PageError::NoProgress));
    for key in [1, 2] {
        let added = listing.add_page([item(key, 1, true)], true, position(9));
        assert_eq!(added, Ok(Some(Arc::from(KEYS[key]))));
    }
    for key in [1, 2] {
        let again = listing.add_page([item(key, 1, true)], true, position(9));
        assert_eq!(again, Err(PageError::NoProgress), "{key}");
    }
    let last = listing.add_page([item(2, 1, true)], false, position(9));
    assert_eq!(last, Ok(None));
    assert_eq!(listing.into_delta().items.len(), 3);
}
