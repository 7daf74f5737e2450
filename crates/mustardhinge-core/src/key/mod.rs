//! Customers' keys: digests, comparison and proof that they still stand.
//!
//! A withdrawal that the store accepted at time `t` is part of every answer to a
//! question sent after `t`. An instance serves keyed work only while its newest
//! proof was asked for less than the bound ago. So no instance serves the key
//! after `t + bound`, whatever was delayed, lost or paused: with a bound of
//! 2.5 s, half a second of the 3 s is left for a statement that had just passed
//! the last check.

mod key_digest;
mod key_table;
mod key_validity;
mod outage_evidence;
mod proof_clock;

pub use key_digest::KeyDigest;
pub use key_table::KeyTable;
pub use key_validity::KeyValidity;
pub use outage_evidence::OutageEvidence;
pub use proof_clock::ProofClock;
