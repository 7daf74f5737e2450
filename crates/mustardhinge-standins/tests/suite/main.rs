//! Tests of the stand-ins, by feature.

mod forwarding;
mod platform;
mod platform_faults;
mod processes;
mod replication;
mod scaffold;
mod statements;
mod target_faults;
mod target_limits;
mod transactions;
