//! Admission at the entry: how many requests a node works on at once, and
//! which class is shed first.

use std::sync::atomic::{AtomicU32, Ordering};

use heatherrun_kernel::message::Class;

/// Part of the places open to a class, in per cent.
const fn share(class: Class) -> u32 {
    match class {
        Class::Batch => 70,
        Class::Normal => 90,
        Class::Urgent => 100,
    }
}

/// Count of requests in work at one node.
#[derive(Debug)]
pub struct Admission {
    places: u32,
    taken: AtomicU32,
}

impl Admission {
    /// Admission of at most `places` requests at once.
    #[must_use]
    pub const fn new(places: u32) -> Self {
        Self {
            places,
            taken: AtomicU32::new(0),
        }
    }

    /// Takes a place for a request of `class`, if one is open to it.
    pub fn enter(&self, class: Class) -> bool {
        let open = self.places * share(class) / 100;
        let step = |taken: u32| (taken < open).then_some(taken + 1);
        self.taken
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, step)
            .is_ok()
    }

    /// Gives a place back.
    pub fn leave(&self) {
        self.taken.fetch_sub(1, Ordering::AcqRel);
    }

    /// Requests in work.
    #[must_use]
    pub fn taken(&self) -> u32 {
        self.taken.load(Ordering::Acquire)
    }

    /// Load in per cent of the places.
    #[must_use]
    pub fn load(&self) -> u8 {
        u8::try_from(self.taken() * 100 / self.places.max(1)).unwrap_or(u8::MAX)
    }
}
