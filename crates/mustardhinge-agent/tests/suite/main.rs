//! Tests of the agent, by feature.

mod cold_start;
mod static_shares;
