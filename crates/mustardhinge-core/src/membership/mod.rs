//! Which instances are probably running, and how an instance leaves.
//!
//! Membership is a hint: no safety property depends on it.

mod confirmation_ages;
mod confirmation_source;
mod confirmation_table;
mod copy_confirmation;
mod drain_action;
mod drain_machine;
mod drain_phase;
mod drain_schedule;
mod drain_work;
mod feed_retry;
mod instance_roster;
mod instance_state;
mod intake_state;
mod list_changes;
mod list_fetch_backoff;
mod list_update;
mod list_version;
mod member_hash;
mod membership_view;
mod query_pacing;
mod relay_choice;
mod rendezvous;
mod state_search;
mod store_part;
mod transfer_sources;
mod watch_pacing;

pub use confirmation_ages::ConfirmationAges;
pub use confirmation_source::ConfirmationSource;
pub use confirmation_table::ConfirmationTable;
pub use copy_confirmation::CopyConfirmation;
pub use drain_action::DrainAction;
pub use drain_machine::DrainMachine;
pub use drain_phase::DrainPhase;
pub use drain_schedule::DrainSchedule;
pub use drain_work::DrainWork;
pub use feed_retry::FeedRetry;
pub use instance_roster::{InstanceRoster, RosterEntry};
pub use instance_state::InstanceState;
pub use intake_state::IntakeState;
pub use list_changes::ListChanges;
pub use list_fetch_backoff::ListFetchBackoff;
pub use list_update::ListUpdate;
pub use list_version::ListVersion;
pub(crate) use member_hash::member_hash;
pub use membership_view::{MemberEntry, MembershipView};
pub use query_pacing::QueryPacing;
pub use relay_choice::{RelayCandidate, RelayChoice};
pub use rendezvous::choose_ranked;
pub use state_search::{QueryOutcome, SearchStep, StateSearch};
pub use store_part::StorePart;
pub use transfer_sources::TransferSources;
pub use watch_pacing::WatchPacing;
