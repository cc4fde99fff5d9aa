//! Tests of the session client.

mod bench;
mod membership;
mod property;
mod relay;
