//! JSON bodies and routes of the HTTP interface.
//!
//! The field names of the interface (`hold`, `ended`, `twice`, `most`) are used
//! in this crate only; the other crates use the terms of the domain. A change
//! of the interface therefore affects only this crate.

pub mod body;
pub mod cancel;
pub mod configuration;
pub mod decision;
pub mod job;
pub mod key;
pub mod operator;
pub mod rejection;
pub mod route;
pub mod runner;
pub mod version;
pub mod view;

pub use body::{BodyError, parse_json, parse_toml};
