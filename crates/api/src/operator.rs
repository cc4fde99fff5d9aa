//! JSON bodies: operator.
