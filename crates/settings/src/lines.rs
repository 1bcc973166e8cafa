//! Line numbers of byte positions.

/// Starts of the lines of one text.
#[derive(Debug)]
pub(crate) struct Lines {
    starts: Vec<usize>,
}

impl Lines {
    pub(crate) fn of(text: &str) -> Self {
        let mut starts = vec![0];
        starts.extend(text.match_indices('\n').map(|(at, _)| at + 1));
        Self { starts }
    }

    /// Line of byte `at`, counted from 1.
    pub(crate) fn line(&self, at: usize) -> usize {
        self.starts.partition_point(|start| *start <= at)
    }
}
