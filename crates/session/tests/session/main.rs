//! Tests of the session client, with a simulated clock and without a network.

mod bench;
mod membership;
mod property;
mod relay;
