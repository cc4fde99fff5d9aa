//! Compares the bodies and paths of the HTTP interface with the golden files in
//! `tests/golden/`. A renamed field or variant in Rust must keep its name in JSON.
//!
//! Full bodies give every field a distinct value that is not the default. They
//! are built without `..`, so that a new field must be added here.

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
