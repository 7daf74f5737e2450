//! Frames of the PostgreSQL protocol: reading, forwarding as bytes, writing.

mod body_reader;
mod checked_message;
mod error_reply;
mod frame_error;
mod frame_stream;
pub mod tags;
mod wire_frame;

pub use body_reader::BodyReader;
pub use checked_message::CheckedMessage;
pub use error_reply::{ErrorReply, UNKNOWN_OUTCOME_SQLSTATE};
pub use frame_error::FrameError;
pub use frame_stream::FrameStream;
pub use wire_frame::WireFrame;
