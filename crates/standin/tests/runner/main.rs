//! Tests of the stand-in runner's core.

mod bench;
mod lease;
mod orders;
mod work;
