//! Tests of the session client, with a simulated clock and without a network.

mod harness;
mod membership;
mod property;
mod relay;
