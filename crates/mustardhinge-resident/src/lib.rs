//! The proxy as one process per instance, without a disk: callers in, targets out, and the
//! control that it shares with the other instances.
//!
//! What callers and targets speak and where things are kept is behind two seams,
//! [`adapter::SessionCodec`] and [`adapter::PlatformClient`]. The decisions are in
//! `mustardhinge-core`.

pub mod adapter;
pub mod control;
pub mod gateway;
pub mod group;
pub mod node;
pub mod plan;
pub mod session;
pub mod target;
