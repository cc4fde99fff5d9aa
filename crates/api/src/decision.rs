//! JSON bodies: decision.
