//! Tests of the stand-ins, by feature.

mod replication;
mod scaffold;
mod statements;
mod target_faults;
mod target_limits;
mod transactions;
