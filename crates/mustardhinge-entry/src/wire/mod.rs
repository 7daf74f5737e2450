//! Frames of the PostgreSQL protocol: reading, forwarding as bytes, writing.

mod error_reply;
mod frame_error;
mod frame_stream;
pub mod tags;
mod wire_frame;

pub use error_reply::{ErrorReply, UNKNOWN_OUTCOME_SQLSTATE};
pub use frame_error::FrameError;
pub use frame_stream::FrameStream;
pub use wire_frame::WireFrame;
