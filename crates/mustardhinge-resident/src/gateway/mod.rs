//! Forwarding of statements to gateways, the instances that hold the connections to a target.
//!
//! An instance that forwards a statement is its origin.

mod forward_frame;
mod forwarded_connection;
mod forwarded_outcome;
mod forwarded_run;
mod forwarded_statement;
mod frame_codec;
mod gateway_load;
mod gateway_peer;
mod gateway_peers;
mod gateway_service;
mod not_run_cause;
mod origin_session;
mod peer_connection;

pub use forward_frame::{GatewayFrame, OriginFrame};
pub use forwarded_connection::{ForwardResult, ForwardedConnection};
pub use forwarded_outcome::{ForwardedOutcome, ForwardedReply};
pub use forwarded_statement::{ForwardedStatement, ForwardedStep, PreparedStatement};
pub use frame_codec::{FORWARD_PREFACE, FrameCodec, FrameError};
pub use gateway_load::GatewayLoad;
pub use gateway_peer::GatewayPeer;
pub use gateway_peers::GatewayPeers;
pub(crate) use gateway_service::serve_forwards;
pub use not_run_cause::NotRunCause;
