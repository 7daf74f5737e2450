//! Tests of the data path, by feature.

mod callers;
mod cluster;
mod faults;
mod keys;
mod sessions;
mod statements;
mod transactions;
mod writes;
