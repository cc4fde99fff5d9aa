//! Tests of the agent's core.

mod bench;
mod fencing;
mod heartbeats;
mod orders;
mod property;
