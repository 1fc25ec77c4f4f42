//! Text tables with aligned columns.

use std::fmt;

/// Table whose columns are padded to their widest cell.
#[derive(Clone, Debug, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with the given column headings.
    #[must_use]
    pub fn new(heading: &[&str]) -> Self {
        let mut table = Self::default();
        table.row(heading.iter().map(ToString::to_string));
        table
    }

    /// Appends a row with one cell per column.
    pub fn row<I>(&mut self, cells: I)
    where
        I: IntoIterator<Item = String>,
    {
        self.rows.push(cells.into_iter().collect());
    }

    /// Returns whether the table has no rows besides the heading.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.len() <= 1
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.first().map_or(0, Vec::len);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(f, "{}", cells.join("  ").trim_end())?;
        }
        Ok(())
    }
}
