//! Text tables with aligned columns.

use std::fmt;

/// Separator between two columns.
const COLUMN_GAP: &str = "  ";

/// A table with a header row. Columns of numbers are aligned right.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates an empty table with these column names.
    #[must_use]
    pub fn new(header: &[&str]) -> Self {
        Self {
            header: header.iter().map(|name| (*name).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row; an empty cell is shown as `-`.
    pub fn row(&mut self, cells: impl IntoIterator<Item = impl Into<String>>) {
        let cell_text = |cell: String| {
            if cell.is_empty() {
                "-".to_owned()
            } else {
                cell
            }
        };
        let cells = cells.into_iter().map(|cell| cell_text(cell.into()));
        self.rows.push(cells.collect());
    }

    /// Whether the table has no rows besides the header.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Cells of a column, without the header.
    fn column(&self, ix: usize) -> impl Iterator<Item = &str> {
        self.rows
            .iter()
            .filter_map(move |row| row.get(ix).map(String::as_str))
    }

    /// Whether every cell of a column starts with a digit or `-`.
    fn is_numeric(&self, ix: usize) -> bool {
        let is_number = |cell: &str| cell.starts_with(|c: char| c == '-' || c.is_ascii_digit());
        self.column(ix).all(is_number)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut widths = Vec::with_capacity(self.header.len());
        for (ix, name) in self.header.iter().enumerate() {
            let width = self.column(ix).map(|c| c.chars().count()).max();
            let width = width.unwrap_or(0).max(name.chars().count());
            widths.push((width, self.is_numeric(ix)));
        }
        write_row(out, &self.header, &widths)?;
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
    for (cell, (width, align_right)) in cells.iter().zip(widths) {
        line.push(if *align_right {
            format!("{cell:>width$}")
        } else {
            format!("{cell:<width$}")
        });
    }
    writeln!(out, "{}", line.join(COLUMN_GAP).trim_end())
}
