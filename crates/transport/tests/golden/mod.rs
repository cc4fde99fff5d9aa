//! Recorded bytes of messages, and the sample values that encode to them.
//!
//! The encoding depends on the order of variants and fields, not on their names.
//! Renaming a type does not change the bytes. Adding, removing or moving a variant
//! or field does, and makes a daemon incompatible with earlier builds.
#![allow(
    dead_code,
    unused_imports,
    unused_macros,
    reason = "each test binary uses only some of the items"
)]

pub mod answers;
pub mod bytes;
pub mod messages;
pub mod operations;
pub mod orders;
pub mod raft;
pub mod samples;
