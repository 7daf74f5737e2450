use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::Message;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::{FrameError, WireFrame};

/// Minimum buffer space for one read from the connection, in bytes.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Size of the output buffer, in bytes, from which `flush_if_large` writes it.
const WRITE_CHUNK_BYTES: usize = 16 * 1024;

/// Size of the type byte, in bytes.
const TAG_BYTES: usize = 1;

/// Size of the length field, in bytes. The length includes the field itself.
const LENGTH_BYTES: usize = 4;

/// Connection that reads and writes complete frames.
#[derive(Debug)]
pub struct FrameStream<S> {
    stream: S,
    input: BytesMut,
    output: BytesMut,
    max_frame_bytes: usize,
}

impl<S: AsyncRead + AsyncWrite + Unpin> FrameStream<S> {
    /// Wraps a connection. Reading a frame larger than `max_frame_bytes` is an
    /// error.
    #[must_use]
    pub fn new(stream: S, max_frame_bytes: usize) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            max_frame_bytes,
        }
    }

    /// Sets the maximum size of a frame, in bytes.
    pub fn limit_frames(&mut self, max_frame_bytes: usize) {
        self.max_frame_bytes = max_frame_bytes;
    }

    /// Returns the connection and discards buffered data.
    #[must_use]
    pub fn into_inner(self) -> S {
        self.stream
    }

    /// Returns whether the input buffer holds unread bytes.
    #[must_use]
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Reads the next frame.
    ///
    /// This method is cancel safe: bytes already read stay in the input buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection closes or fails, or if the frame exceeds
    /// the limit.
    pub async fn read_frame(&mut self) -> Result<WireFrame, FrameError> {
        loop {
            if let Some(bytes) = self.take_frame(TAG_BYTES)? {
                return Ok(WireFrame::from_bytes(bytes));
            }
            self.read_some().await?;
        }
    }

    /// Reads a startup packet, which has a length field but no type byte.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection closes or fails, or if the packet exceeds
    /// the limit.
    pub async fn read_startup(&mut self) -> Result<Bytes, FrameError> {
        loop {
            if let Some(bytes) = self.take_frame(0)? {
                return Ok(bytes);
            }
            self.read_some().await?;
        }
    }

    /// Adds a frame to the output buffer.
    pub fn queue_frame(&mut self, frame: &WireFrame) {
        self.output.extend_from_slice(frame.as_bytes());
    }

    /// Adds bytes to the output buffer.
    pub fn queue_bytes(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Adds a message to the output buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is longer than the protocol allows.
    pub fn queue_message(&mut self, message: &impl Message) -> Result<(), FrameError> {
        Ok(message.encode(&mut self.output)?)
    }

    /// Writes the output buffer if it has grown large.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn flush_if_large(&mut self) -> Result<(), FrameError> {
        if self.output.len() >= WRITE_CHUNK_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    /// Writes the whole output buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        while !self.output.is_empty() {
            let written = self.stream.write(&self.output).await?;
            if written == 0 {
                return Err(FrameError::Closed);
            }
            self.output.advance(written);
        }
        Ok(self.stream.flush().await?)
    }

    async fn read_some(&mut self) -> Result<(), FrameError> {
        self.input.reserve(READ_CHUNK_BYTES);
        match self.stream.read_buf(&mut self.input).await? {
            0 => Err(FrameError::Closed),
            _ => Ok(()),
        }
    }

    fn take_frame(&mut self, tag_bytes: usize) -> Result<Option<Bytes>, FrameError> {
        let header = tag_bytes + LENGTH_BYTES;
        let Some(mut field) = self.input.get(tag_bytes..header) else {
            return Ok(None);
        };
        let length = usize::try_from(field.get_u32()).unwrap_or(usize::MAX);
        if length < LENGTH_BYTES {
            return Err(FrameError::Malformed(format!("a frame length of {length}")));
        }
        if length > self.max_frame_bytes {
            let limit = self.max_frame_bytes;
            return Err(FrameError::TooLong { length, limit });
        }
        let total = tag_bytes + length;
        if self.input.len() < total {
            return Ok(None);
        }
        Ok(Some(self.input.split_to(total).freeze()))
    }
}
