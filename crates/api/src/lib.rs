//! JSON bodies and routes of the outer HTTP interface, and nothing else.
//!
//! The users' names for fields (`hold`, `ended`, `twice`, `most`) live here
//! alone; everything behind speaks the domain's terms. A change of the outer
//! interface touches this crate only.

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
