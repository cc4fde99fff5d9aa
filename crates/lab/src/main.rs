//! Trials on one machine: fleets of real processes, stand-ins, load and reports.

fn main() {}
