//! Tests of the agent's core.

mod fencing;
mod harness;
mod heartbeats;
mod orders;
mod property;
