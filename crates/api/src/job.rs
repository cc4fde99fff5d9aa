//! JSON bodies: job.
