//! Tests of the agent, by feature.

mod cold_start;
mod documents;
mod escrow;
mod failover;
mod malformed_input;
mod odd_entries;
mod operator_api;
mod peers;
mod process;
mod scaffold;
mod stall_watch;
mod static_shares;
