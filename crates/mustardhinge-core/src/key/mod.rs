//! Customers' keys: digests, comparison, and proof that the keys are still valid.
//!
//! A withdrawal that the store accepted at time `t` is included in every response to a
//! request sent after `t`. An instance runs statements with a key only while the request
//! for its newest proof was sent less than the bound ago. Therefore no instance accepts
//! the key after `t + bound`, whatever was delayed, lost or paused. With a bound of 2.5 s,
//! 0.5 s of the 3 s allowed for a withdrawal remains for a statement that had just passed
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
