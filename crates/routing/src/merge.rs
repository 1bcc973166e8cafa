//! Merges the partial answers of shards: the greatest records, in descending
//! order.

use bytes::Bytes;

/// Length of one record in bytes. Records are ordered by comparing their bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `max_records` records of `parts` in descending order. A
/// trailing fragment shorter than a record is ignored; duplicates are kept.
#[must_use]
pub fn merge_greatest<'a>(parts: impl Iterator<Item = &'a Bytes>, max_records: usize) -> Bytes {
    let mut records: Vec<&[u8]> = Vec::new();
    for part in parts {
        records.extend(part.chunks_exact(RECORD_BYTES));
    }
    if records.len() > max_records && max_records > 0 {
        records.select_nth_unstable_by(max_records - 1, |a, b| b.cmp(a));
        records.truncate(max_records);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(max_records);
    Bytes::from(records.concat())
}
