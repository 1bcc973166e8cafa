//! Maps byte offsets to line numbers.

/// Byte offsets at which the lines of a text start.
#[derive(Debug)]
pub(crate) struct LineIndex {
    starts: Vec<usize>,
}

impl LineIndex {
    pub(crate) fn new(text: &str) -> Self {
        let mut starts = vec![0];
        starts.extend(text.match_indices('\n').map(|(at, _)| at + 1));
        Self { starts }
    }

    /// Line of the byte at `offset`, counted from 1.
    pub(crate) fn line_at(&self, offset: usize) -> usize {
        self.starts.partition_point(|start| *start <= offset)
    }
}
