//! Recorded bytes, and the values they were recorded from.
//!
//! The encoding goes by the order of variants and fields, not by their names.
//! A type that only gets another name keeps its bytes; a variant or field that
//! is added, removed or moved changes them, and daemons of an earlier build
//! could no longer be talked to.
#![allow(
    dead_code,
    unused_imports,
    unused_macros,
    reason = "each test file uses its own part"
)]

pub mod answers;
pub mod bytes;
pub mod messages;
pub mod operations;
pub mod orders;
pub mod raft;
pub mod samples;
