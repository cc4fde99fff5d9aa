//! JSON bodies: runner.
