//! The known name nearest to a misspelt one.

/// Edits beyond which a name is no likely misspelling.
const MOST_EDITS: usize = 4;

/// Bytes of a name beyond which no likeness is computed.
const MOST_BYTES: usize = 64;

/// The known name with the fewest edits from `name`, when it is alike.
pub(crate) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    if name.len() > MOST_BYTES {
        return None;
    }
    let most = MOST_EDITS.min(name.chars().count() / 2);
    known
        .map(|k| (distance(name, k), k))
        .filter(|(edits, _)| *edits <= most)
        .min()
        .map(|(_, k)| k)
}

/// Levenshtein distance in characters.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let swap = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = swap.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
