//! A listing of the store, merged from its pages.
//!
//! The pages are no snapshot: changes are made between them, and each may come
//! from a replica that lags behind by another time.

use crate::feed::{Delta, Feed, Item, ItemRules, Position};

/// A page of another era than those before it: the store came back from a copy
/// meanwhile, and the listing has to start again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MixedEras;

/// Pages of one listing.
#[derive(Debug, Default)]
pub struct Listing {
    items: Vec<Item>,
    /// Position of each page: it holds all changes up to there.
    positions: Vec<Position>,
}

impl Listing {
    /// Adds the next page, which holds all changes of its items up to `position`.
    ///
    /// # Errors
    /// [`MixedEras`]; the page is not added.
    pub fn add_page(
        &mut self,
        items: impl IntoIterator<Item = Item>,
        position: Position,
    ) -> Result<(), MixedEras> {
        if self.positions.iter().any(|p| p.era != position.era) {
            return Err(MixedEras);
        }
        self.items.extend(items);
        self.positions.push(position);
        Ok(())
    }

    /// Position of each page.
    #[must_use]
    pub fn positions(&self) -> &[Position] {
        &self.positions
    }

    /// The items of all pages, at the position of the oldest one: changes after
    /// it may be missing from that page, even if other pages have later ones.
    #[must_use]
    pub fn into_delta(self) -> Delta {
        Delta {
            position: self.positions.into_iter().min().unwrap_or_default(),
            items: self.items,
            is_complete: true,
        }
    }
}

/// A listing together with the changes made after its position.
#[must_use]
pub fn with_changes(listing: Delta, changes: Delta) -> Delta {
    let mut feed = Feed::default();
    let rules = ItemRules {
        is_minor_change: &|_, _| false,
        stays_deleted: &|_| false,
    };
    feed.apply(listing, &rules);
    feed.apply(changes, &rules);
    feed.since(Position::default())
}
