use std::io;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Opens each connection that forwards, with the version of its frames; the other questions
/// that instances ask over TCP begin with a brace.
pub const FORWARD_PREFACE: [u8; 4] = *b"MHF1";
/// Greatest frame: the greatest message of a caller, with a session's values and prepared names.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Why a frame was not understood; the connection is closed.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame is larger than any that an instance sends.
    #[error("frame of forwarded statements: {0}")]
    Length(#[from] io::Error),
    /// The frame's fields make no sense.
    #[error("frame of forwarded statements not decoded: {0}")]
    Fields(#[from] postcard::Error),
}

/// Cuts frames out of a stream of bytes, and makes them.
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
    /// Takes one whole frame off the buffer, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the frame is too large or makes no sense.
    pub fn read<F: DeserializeOwned>(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Option<F>, FrameError> {
        let Some(fields) = self.lengths.decode(buffer)? else {
            return Ok(None);
        };
        Ok(Some(postcard::from_bytes(&fields)?))
    }

    /// Appends a frame to the buffer.
    ///
    /// # Errors
    ///
    /// Fails if the frame is too large.
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
