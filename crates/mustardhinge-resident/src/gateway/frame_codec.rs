use std::io;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Preface of a forwarding connection, with the version of the frames. Other requests between
/// instances over TCP begin with a brace.
pub const FORWARD_PREFACE: [u8; 4] = *b"MHF3";
/// Maximum frame size: the largest message of a caller, with a session's values and prepared names.
pub(super) const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Error of encoding or decoding a frame; the connection is closed.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame exceeds the maximum size.
    #[error("invalid length of a forwarding frame: {0}")]
    Length(#[from] io::Error),
    /// The frame's fields could not be encoded or decoded.
    #[error("could not encode or decode a forwarding frame: {0}")]
    Fields(#[from] postcard::Error),
}

/// Encodes and decodes length-delimited frames.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { lengths }
    }
}

impl FrameCodec {
    /// Decodes and removes the first frame of the buffer, if it is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too large or invalid.
    pub fn read<F: DeserializeOwned>(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Option<F>, FrameError> {
        let Some(fields) = self.lengths.decode(buffer)? else {
            return Ok(None);
        };
        Ok(Some(postcard::from_bytes(&fields)?))
    }

    /// Encodes a frame and appends it to the buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too large.
    pub fn write<F: Serialize>(
        &mut self,
        frame: &F,
        buffer: &mut BytesMut,
    ) -> Result<(), FrameError> {
        let fields = postcard::to_stdvec(frame)?;
        self.lengths.encode(Bytes::from(fields), buffer)?;
        Ok(())
    }
}
