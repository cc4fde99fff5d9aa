//! Mechanisms that can be turned off, to show that the checker then notices.

use serde::{Deserialize, Serialize};

/// A mechanism to turn off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mutation {}
