//! Tables of text with aligned columns.

use std::fmt;

/// Space between two columns.
const GAP: &str = "  ";

/// A table with a head. Columns of numbers are aligned right.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Table with these column names.
    #[must_use]
    pub fn new(head: &[&str]) -> Self {
        Self {
            head: head.iter().map(|name| (*name).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = impl Into<String>>) {
        let shown = |cell: String| {
            if cell.is_empty() {
                "-".to_owned()
            } else {
                cell
            }
        };
        let cells = cells.into_iter().map(|cell| shown(cell.into()));
        self.rows.push(cells.collect());
    }

    /// Whether there is no row.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn column(&self, ix: usize) -> impl Iterator<Item = &str> {
        self.rows
            .iter()
            .filter_map(move |row| row.get(ix).map(String::as_str))
    }

    fn is_number(&self, ix: usize) -> bool {
        let number = |cell: &str| cell.starts_with(|c: char| c == '-' || c.is_ascii_digit());
        self.column(ix).all(number)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut widths = Vec::with_capacity(self.head.len());
        for (ix, name) in self.head.iter().enumerate() {
            let width = self.column(ix).map(|c| c.chars().count()).max();
            let width = width.unwrap_or(0).max(name.chars().count());
            widths.push((width, self.is_number(ix)));
        }
        write_row(out, &self.head, &widths)?;
        for row in &self.rows {
            write_row(out, row, &widths)?;
        }
        Ok(())
    }
}

fn write_row(
    out: &mut fmt::Formatter<'_>,
    cells: &[String],
    widths: &[(usize, bool)],
) -> fmt::Result {
    let mut line = Vec::with_capacity(cells.len());
    for (cell, (width, right)) in cells.iter().zip(widths) {
        line.push(if *right {
            format!("{cell:>width$}")
        } else {
            format!("{cell:<width$}")
        });
    }
    writeln!(out, "{}", line.join(GAP).trim_end())
}
