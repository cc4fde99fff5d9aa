//! Run identifiers as text: `<term>-<sequence>`.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use types::{RunId, Term};

/// A run identifier in JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RunText(pub RunId);

/// Text that names no run.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a run reads <term>-<sequence>, two whole numbers, not {text:?}")]
pub struct RunTextError {
    /// The text, cut short.
    text: String,
}

/// Characters of a wrong text shown in its error.
const SHOWN_CHARACTERS: usize = 48;

impl TryFrom<String> for RunText {
    type Error = RunTextError;

    fn try_from(text: String) -> Result<Self, RunTextError> {
        parse(&text).map(Self).ok_or_else(|| RunTextError {
            text: text.chars().take(SHOWN_CHARACTERS).collect(),
        })
    }
}

impl From<RunText> for String {
    fn from(run: RunText) -> String {
        run.0.to_string()
    }
}

/// Only the one way of writing each run is taken: no signs, no leading zeros.
fn parse(text: &str) -> Option<RunId> {
    let (term, sequence) = text.split_once('-')?;
    let run = RunId {
        term: Term(term.parse().ok()?),
        sequence: sequence.parse().ok()?,
    };
    (run.to_string() == text).then_some(run)
}
