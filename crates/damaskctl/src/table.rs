//! Tables of text for the terminal.

use std::fmt;

/// A header and rows of text, displayed in aligned columns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table with a header and no rows.
    pub fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|name| (*name).to_owned()).collect();
        Self { rows: vec![head] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: &[&dyn fmt::Display]) {
        self.rows
            .push(cells.iter().map(ToString::to_string).collect());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        (0..columns)
            .map(|column| {
                self.rows
                    .iter()
                    .filter_map(|row| row.get(column))
                    .map(String::len)
                    .max()
                    .unwrap_or(0)
            })
            .collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let line: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            writeln!(f, "{}", line.join("  ").trim_end())?;
        }
        Ok(())
    }
}
