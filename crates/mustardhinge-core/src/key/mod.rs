//! Customers' keys: digests, comparison and proof that they still stand.

mod key_digest;

pub use key_digest::KeyDigest;
