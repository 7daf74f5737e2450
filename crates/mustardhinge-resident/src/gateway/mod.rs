//! Forwarding of statements to the instances that keep the connections to a target.

mod forward_frame;
mod forward_session;
mod forwarded_link;
mod forwarded_run;
mod forwarded_work;
mod frame_codec;
mod gateway_load;
mod gateway_peer;
mod gateway_peers;
mod gateway_service;
mod not_run_cause;
mod peer_connection;
mod work_answer;

pub use forward_frame::{GatewayFrame, OriginFrame};
pub use forwarded_link::{ForwardedEnd, ForwardedLink};
pub use forwarded_work::{ForwardedWork, PreparedStatement, WorkStep};
pub use frame_codec::{FORWARD_PREFACE, FrameCodec, FrameError};
pub use gateway_load::GatewayLoad;
pub use gateway_peer::GatewayPeer;
pub use gateway_peers::GatewayPeers;
pub(crate) use gateway_service::serve_forwards;
pub use not_run_cause::NotRunCause;
pub use work_answer::{ForwardedReply, WorkAnswer};
