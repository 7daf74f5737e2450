//! The control plane of an instance: it elects the leader together with the other instances,
//! obtains leases on primaries and shares of the customers' rates from it, and follows the
//! configuration and the list of targets.
//!
//! Every instance runs the same code. The leader also grants leases and allowances, assigns
//! gateways and replaces primaries.

mod confirmed_copies;
mod control_state;
mod control_task;
mod copy_queries;
mod evacuation_feed;
mod gateway_maintenance;
mod group_record;
mod group_setup;
mod leader_messages;
mod leader_responses;
mod leadership_release;
mod newer_state;
mod peer_exchange;
mod peer_message;
mod plan_feed;
mod primary_change;
mod record_maintenance;
mod record_restore;
mod relayed_copies;
mod schedule;
mod share_pooling;
mod state_fetch;
mod state_relay;
mod store_eras;
mod successor_wait;
mod target_feed;

pub use confirmed_copies::ConfirmedCopies;
pub use control_state::ControlState;
pub use control_task::run_control;
pub use evacuation_feed::follow_evacuations;
pub use group_record::GroupRecord;
pub use leadership_release::release_leadership;
pub use newer_state::{NewerState, StateNotice};
pub use peer_exchange::serve_peers;
pub use peer_message::{
    AllowanceRequest, AllowanceResponse, CopyQuery, CopyReport, GrantAck, GrantMessage,
    GrantedGroup, GrantedGroups, GroupReport, LeaderHint, LeaseRequest, PeerMessage,
    ShareDepositMessage, StopMessage,
};
pub use plan_feed::follow_plan;
pub use share_pooling::exchange_shares;
pub use state_relay::{RelayedChanges, RelayedState, serve_relay};
pub use store_eras::StoreEras;
pub use target_feed::follow_targets;
