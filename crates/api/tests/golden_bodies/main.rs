//! The bodies and paths of the outer interface, beside recorded text: a field
//! or variant that gets another name in Rust keeps its name on the wire.
//!
//! The recorded text stands in `tests/golden/`. Full bodies give every field a
//! value of its own that is no default; they are built without `..`, so that a
//! new field must be added here.

#[macro_use]
mod every;

mod configuration;
mod decisions;
mod jobs;
mod operators;
mod recorded;
mod rejections;
mod routes;
mod runners;
mod values;
mod words;
