//! JSON bodies: refusal.
