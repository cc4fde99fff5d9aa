//! Output of commands, as text tables or JSON.

use clap::ValueEnum;
use serde::Serialize;
use std::io::{self, Write};

/// Spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Shape of a command's output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, ValueEnum)]
pub enum OutputFormat {
    /// Tables and sentences for people.
    #[default]
    Table,
    /// The gateway's JSON.
    Json,
}

/// A value that can be printed as text and as JSON.
pub trait Show: Serialize {
    /// Returns the value as text; each line ends with a line break.
    fn table(&self) -> String;
}

/// Prints a value in the requested format.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn print<T: Show>(format: OutputFormat, value: &T) -> io::Result<()> {
    match format {
        OutputFormat::Table => emit(&value.table()),
        OutputFormat::Json => emit(&json_line(value)),
    }
}

/// Writes to standard output and flushes it. A closed pipe is returned as an
/// error, where `print!` would panic.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn emit(text: &str) -> io::Result<()> {
    let mut output = io::stdout().lock();
    output.write_all(text.as_bytes())?;
    output.flush()
}

/// Returns the value as one line of JSON.
pub fn json_line<T: Serialize>(value: &T) -> String {
    match serde_json::to_string(value) {
        Ok(text) => format!("{text}\n"),
        Err(error) => format!("{{\"error\":\"{error}\"}}\n"),
    }
}

/// A text table whose columns are as wide as their widest cell.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table whose first row holds the headings.
    pub fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|heading| (*heading).to_owned());
        Self {
            rows: vec![headings.collect()],
        }
    }

    /// Appends a row with one cell per column.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Returns the table as text; each line ends with a line break and has no
    /// trailing spaces.
    pub fn render(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(cell);
                let padding = width - cell.chars().count() + COLUMN_GAP;
                line.extend(std::iter::repeat_n(' ', padding));
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let mut widths = vec![0; columns];
        for row in &self.rows {
            for (cell, width) in row.iter().zip(&mut widths) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }
}
