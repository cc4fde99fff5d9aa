//! Recorded bytes, and the values from which they were recorded.
//!
//! The encoding depends on the order of variants and fields, not on their names.
//! Renaming a type keeps its bytes. Adding, removing or moving a variant or field
//! changes them, so that data stored by an earlier build could no longer be read.
#![allow(dead_code, reason = "each test file uses only some of the items")]

pub mod bytes;
pub mod samples;
