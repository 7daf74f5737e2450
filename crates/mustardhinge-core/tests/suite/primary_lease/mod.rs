//! Leases on primaries, and the election of the leader that replaces primaries.

mod control_schedule;
mod epoch_members;
mod failure_detector;
mod first_grants;
mod group_leases;
mod held_leases;
mod leader_election;
mod leadership_state;
mod lease_response;
mod promotion_orders;
mod store_restore;
mod successor_choice;
mod successor_search;
mod voters;
mod wait_decision;

use std::fmt::Debug;
use std::str::FromStr;

use mustardhinge_core::prelude::MonotonicTime;

fn id<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}
