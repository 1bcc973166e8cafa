//! A listing of the store, merged from its pages.
//!
//! The pages are no snapshot: changes are made between them, and each may come
//! from a replica that lags behind by another time.

use std::{collections::HashSet, sync::Arc};

use crate::feed::{Delta, Feed, Item, ItemRules, Position};

/// Why a page was not added to a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum PageError {
    /// It is of another era than those before it: the store came back from a
    /// copy meanwhile.
    #[error("page of another era; list again from the start")]
    MixedEras,
    /// It ends with a key that an earlier page ended with, or has no key, and
    /// more pages are to come.
    #[error("page that does not advance; check the keys of the store near the one named")]
    NoProgress,
}

/// Pages of one listing.
#[derive(Debug, Default)]
pub struct Listing {
    items: Vec<Item>,
    /// Position of each page: it holds all changes up to there.
    positions: Vec<Position>,
    /// Last key of each page that has a following one.
    ends: HashSet<Arc<str>>,
}

impl Listing {
    /// Adds the next page, which holds all changes of its items up to `position`.
    /// Returns the key after which the following page begins if there are `more`.
    ///
    /// # Errors
    /// [`PageError`]; the page is not added.
    pub fn add_page(
        &mut self,
        items: impl IntoIterator<Item = Item>,
        more: bool,
        position: Position,
    ) -> Result<Option<Arc<str>>, PageError> {
        if self.positions.iter().any(|p| p.era != position.era) {
            return Err(PageError::MixedEras);
        }
        let count = self.items.len();
        self.items.extend(items);
        let last = self.items[count..].last().map(|item| Arc::clone(&item.key));
        let last = last.filter(|_| more);
        let is_new = |key: &Arc<str>| self.ends.insert(Arc::clone(key));
        if more && !last.as_ref().is_some_and(is_new) {
            self.items.truncate(count);
            return Err(PageError::NoProgress);
        }
        self.positions.push(position);
        Ok(last)
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
