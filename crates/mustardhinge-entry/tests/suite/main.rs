//! Tests of the data path, by feature.

mod callers;
mod cluster;
mod encryption;
mod faults;
mod keys;
mod sessions;
mod statements;
mod transactions;
mod writes;
