use bytes::{Bytes, BytesMut};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};

use super::{BodyReader, CheckedMessage, FrameError};

/// Size of the type byte and the length field, in bytes.
const HEADER_BYTES: usize = 5;

/// Complete frame: type byte, length field and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireFrame(Bytes);

impl WireFrame {
    /// Creates a frame from the bytes of one complete frame.
    #[must_use]
    pub(super) fn from_bytes(bytes: Bytes) -> Self {
        debug_assert!(bytes.len() >= HEADER_BYTES);
        Self(bytes)
    }

    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is longer than the protocol allows.
    pub fn encode(message: &impl Message) -> Result<Self, FrameError> {
        let mut buffer = BytesMut::new();
        message.encode(&mut buffer)?;
        Ok(Self(buffer.freeze()))
    }

    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is not a valid message of this type.
    pub fn decode<M: CheckedMessage>(&self) -> Result<M, FrameError> {
        let mut body = BodyReader::new(self.body());
        M::check_fields(&mut body)?;
        if !body.is_empty() {
            let message = "a frame goes on after its last field".to_owned();
            return Err(FrameError::Malformed(message));
        }
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        let mut buffer = BytesMut::from(&self.0[..]);
        let message = M::decode(&mut buffer, &context)?;
        message.ok_or_else(|| FrameError::Malformed("a frame ends too early".to_owned()))
    }

    /// Returns the type byte.
    #[must_use]
    pub fn tag(&self) -> u8 {
        self.0[0]
    }

    /// Returns the body, without type byte and length field.
    #[must_use]
    pub fn body(&self) -> &[u8] {
        &self.0[HEADER_BYTES..]
    }

    /// Returns the bytes of the frame.
    #[must_use]
    pub fn as_bytes(&self) -> &Bytes {
        &self.0
    }

    /// Returns the length of the frame, in bytes.
    #[must_use]
    pub fn length(&self) -> usize {
        self.0.len()
    }
}
