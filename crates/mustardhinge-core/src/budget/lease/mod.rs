//! The lease of a zone's share, kept in the platform's store.
//!
//! One record per zone names the holder. The lease has two terms: without renewals,
//! the flexible part of the share can be taken over after a short term, the floor only
//! after a long one. During an outage of the store, no agent can renew or take over a
//! lease, and the holder continues to use the floor until the long term ends.
//!
//! The holder counts its terms from the time before it sent the renewal, other agents
//! from the time at which they first observed it. The lease thus ends for the holder
//! first, by any clock.

mod holder_id;
mod lease_manager;
mod lease_record;
mod lease_terms;
mod lease_validity;
mod observed_lease;

pub use holder_id::HolderId;
pub use lease_manager::{LeaseManager, LeaseWrite};
pub use lease_record::LeaseRecord;
pub use lease_terms::LeaseTerms;
pub use lease_validity::LeaseValidity;
