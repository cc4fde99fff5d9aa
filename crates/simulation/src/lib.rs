//! A whole fleet in one process under one seed.
