//! Leases on primaries, and the duty to replace them.

mod control_pace;
mod duty_claim;
mod group_desk;
mod lease_book;
mod lease_round;
mod outage_forecast;
mod successor_choice;
mod suspicion_board;
mod voters;

use std::fmt::Debug;
use std::str::FromStr;

use mustardhinge_core::prelude::MonotonicTime;

fn id<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}
