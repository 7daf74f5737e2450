//! Exchanges state with a few agents of other instances.

mod exchange_loop;
mod exchange_response;
mod peer_calls;
mod peer_service;
mod role_supervisor;

pub(crate) use exchange_loop::PeerAddress;
pub(crate) use peer_calls::{forward_switchover, make_client, query_watchers};
pub(crate) use peer_service::PeerService;
pub(crate) use role_supervisor::RoleSupervisor;
