//! Suggests the known name closest to a misspelt one.

/// Maximum edit distance at which a known name is suggested.
const MAX_EDITS: usize = 4;

/// Maximum length of a name for which a suggestion is computed: the cost grows
/// with the length.
const MAX_NAME_BYTES: usize = 64;

/// Returns the known name with the smallest edit distance from `name`, if that
/// distance is at most [`MAX_EDITS`] and half of the length of `name`.
pub(crate) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    if name.len() > MAX_NAME_BYTES {
        return None;
    }
    let max_edits = MAX_EDITS.min(name.chars().count() / 2);
    known
        .map(|k| (levenshtein_distance(name, k), k))
        .filter(|(edits, _)| *edits <= max_edits)
        .min()
        .map(|(_, k)| k)
}

/// Levenshtein distance in characters.
fn levenshtein_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
