//! One instance of the proxy: a process that accepts callers, connects to targets and coordinates
//! with the other instances. It stores nothing on disk.
//!
//! The wire protocol and the platform are behind the traits [`adapter::SessionCodec`] and
//! [`adapter::PlatformClient`]. The decisions are made in `mustardhinge-core`.

pub mod adapter;
pub mod control;
pub mod explain;
pub mod gateway;
pub mod group;
pub mod node;
pub mod plan;
pub mod session;
pub mod target;
