//! JSON bodies: configuration.
