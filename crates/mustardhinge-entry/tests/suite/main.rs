//! Integration tests of the data path, one module per feature.

mod callers;
mod cluster;
mod encryption;
mod faults;
mod keys;
mod malformed_frames;
mod priorities;
mod request_queue;
mod sessions;
mod statements;
mod transactions;
mod writes;
