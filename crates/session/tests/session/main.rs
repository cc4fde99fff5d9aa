//! Tests of the session client.

mod bench;
mod membership;
mod relay;
