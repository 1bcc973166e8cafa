//! Merges the parts of an answer: the greatest records, greatest first.

use bytes::Bytes;

/// Bytes of one record; records compare byte by byte.
pub const RECORD_BYTES: usize = 16;

/// The greatest `most` records of `parts`, greatest first. A remainder shorter
/// than a record is none; equal records all count.
#[must_use]
pub fn greatest<'a>(parts: impl Iterator<Item = &'a Bytes>, most: usize) -> Bytes {
    let mut records: Vec<&[u8]> = Vec::new();
    for part in parts {
        records.extend(part.chunks_exact(RECORD_BYTES));
    }
    if records.len() > most && most > 0 {
        records.select_nth_unstable_by(most - 1, |a, b| b.cmp(a));
        records.truncate(most);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(most);
    Bytes::from(records.concat())
}
