//! Tests of the emulated runner's core.

mod bench;
mod lease;
mod orders;
mod work;
