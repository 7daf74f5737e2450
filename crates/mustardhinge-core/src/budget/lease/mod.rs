//! Who holds a zone's share, agreed through the platform's store.
//!
//! One record per zone names the holder. Its lease has two ends: the flexible part
//! of the share may be taken over after a short silence, the floor only after a
//! long one. With the store out nobody can renew, and nobody can take over; the
//! holder then goes on with the floor until the long end.
//!
//! The holder counts from before it sent its renewal, others from when they first
//! saw it, so that the holder stops first, by whatever clock.

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
