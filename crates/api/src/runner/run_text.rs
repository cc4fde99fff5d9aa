//! Text form of run identifiers: `<term>-<sequence>`.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use types::{RunId, Term};

/// Run identifier, written in JSON as `<term>-<sequence>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RunText(pub RunId);

/// Error of a text that is not a run identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a run is written as <term>-<sequence>, two whole numbers, not {text:?}")]
pub struct RunTextError {
    /// First `MAX_SHOWN_CHARACTERS` characters of the text.
    text: String,
}

/// Maximum number of characters of the text that its error shows.
const MAX_SHOWN_CHARACTERS: usize = 48;

impl TryFrom<String> for RunText {
    type Error = RunTextError;

    fn try_from(text: String) -> Result<Self, RunTextError> {
        parse(&text).map(Self).ok_or_else(|| RunTextError {
            text: text.chars().take(MAX_SHOWN_CHARACTERS).collect(),
        })
    }
}

impl From<RunText> for String {
    fn from(run: RunText) -> String {
        run.0.to_string()
    }
}

/// Parses a run identifier. Accepts only the canonical text of each identifier:
/// signs and leading zeros are rejected.
fn parse(text: &str) -> Option<RunId> {
    let (term, sequence) = text.split_once('-')?;
    let run = RunId {
        term: Term(term.parse().ok()?),
        sequence: sequence.parse().ok()?,
    };
    (run.to_string() == text).then_some(run)
}
