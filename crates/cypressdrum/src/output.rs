//! Tables for people, JSON for programs.

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

/// Something that can be shown both ways.
pub trait Show: Serialize {
    /// Text for people, with a line end.
    fn table(&self) -> String;
}

/// Prints in the wanted shape.
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

/// Writes to standard output. A reader that went away is an error, where
/// `print!` would panic.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn emit(text: &str) -> io::Result<()> {
    let mut output = io::stdout().lock();
    output.write_all(text.as_bytes())?;
    output.flush()
}

/// The value as one JSON line.
pub fn json_line<T: Serialize>(value: &T) -> String {
    match serde_json::to_string(value) {
        Ok(text) => format!("{text}\n"),
        Err(error) => format!("{{\"error\":\"{error}\"}}\n"),
    }
}

/// A table with a heading, its columns as wide as their widest cell.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these headings.
    pub fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|heading| (*heading).to_owned());
        Self {
            rows: vec![headings.collect()],
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// The table as text; every line ends with a line end.
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
