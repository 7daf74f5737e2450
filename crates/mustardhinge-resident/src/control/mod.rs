//! The instance's part in what all instances share: configuration, targets, leases,
//! shares, and the duty to replace primaries.

mod change_driver;
mod control_rest;
mod control_state;
mod duty_task;
mod gateway_tender;
mod group_record;
mod group_setup;
mod holder_answers;
mod holder_words;
mod peer_exchange;
mod peer_message;
mod plan_feed;
mod plan_relay;
mod target_feed;

pub use control_state::ControlState;
pub use duty_task::{release_duty, run_duty};
pub use group_record::GroupRecord;
pub use peer_exchange::serve_peers;
pub use peer_message::{
    AskMessage, GrantEcho, GrantMessage, GrantedGroup, GrantedGroups, GroupReport, HolderHint,
    PeerMessage, SpendingAsk, SpendingGrant, StopMessage,
};
pub use plan_feed::follow_plan;
pub use plan_relay::{RelayedState, serve_relay};
pub use target_feed::follow_targets;
