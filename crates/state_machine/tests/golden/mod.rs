//! Recorded bytes, and the values they were recorded from.
//!
//! The encoding goes by the order of variants and fields, not by their names.
//! A type that only gets another name keeps its bytes; a variant or field that
//! is added, removed or moved changes them, and what an earlier build wrote to
//! disks could no longer be read.
#![allow(dead_code, reason = "each test file uses its own part")]

pub mod bytes;
pub mod samples;
