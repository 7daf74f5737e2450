//! Which instances are probably there: a hint that no safety rule rests on.

mod feed_relay;
mod instance_roster;
mod instance_state;
mod list_pace;
mod member_hash;
mod membership_view;
mod rendezvous;

pub use feed_relay::{FeedRelay, RelayCandidate};
pub use instance_roster::{InstanceRoster, RosterEntry};
pub use instance_state::InstanceState;
pub use list_pace::ListPace;
pub(crate) use member_hash::member_hash;
pub use membership_view::{MemberEntry, MembershipView};
pub use rendezvous::choose_ranked;
