//! Fingerprints of requests that succeeded a short while ago, in a table of
//! fixed size without locks.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;

/// Places of the table; a fingerprint takes the place of another with the
/// same remainder.
const PLACES: usize = 4_096;

/// Time that a success proves something, at least.
const SPAN: Duration = Duration::from_mins(1);

/// Bits of a place that hold the span of the success.
const SPAN_BITS: u32 = 16;

/// Recent successes by fingerprint.
#[derive(Debug)]
pub struct Proofs {
    places: Box<[AtomicU64]>,
}

impl Default for Proofs {
    fn default() -> Self {
        let mut places = Vec::new();
        places.resize_with(PLACES, AtomicU64::default);
        Self {
            places: places.into_boxed_slice(),
        }
    }
}

fn span(now: Time) -> u64 {
    Duration::from_micros(now.0).as_secs() / SPAN.as_secs() + 1
}

fn word(print: u64, span: u64) -> u64 {
    (print << SPAN_BITS) | (span & ((1 << SPAN_BITS) - 1))
}

impl Proofs {
    fn place(&self, print: u64) -> &AtomicU64 {
        let high = usize::try_from(print >> 40).unwrap_or(0);
        &self.places[high % PLACES]
    }

    /// Notes a success.
    pub fn note(&self, now: Time, print: u64) {
        let word = word(print, span(now));
        let place = self.place(print);
        if place.load(Ordering::Relaxed) != word {
            place.store(word, Ordering::Relaxed);
        }
    }

    /// Whether the request succeeded in this span or the one before.
    #[must_use]
    pub fn holds(&self, now: Time, print: u64) -> bool {
        let found = self.place(print).load(Ordering::Relaxed);
        let span = span(now);
        found == word(print, span) || found == word(print, span - 1)
    }
}
