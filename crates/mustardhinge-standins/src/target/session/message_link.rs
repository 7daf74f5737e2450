use bytes::BytesMut;
use pgwire::error::PgWireResult;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::LinkError;
use crate::fault::LinkGate;

/// The size that the output may reach before it is sent, in bytes.
const OUTPUT_LIMIT: usize = 64 * 1024;

/// One connection, with messages in place of bytes and faults in between.
pub(crate) struct MessageLink {
    stream: TcpStream,
    gate: LinkGate,
    input: BytesMut,
    output: BytesMut,
}

impl MessageLink {
    pub(crate) fn new(stream: TcpStream, gate: LinkGate) -> Self {
        Self {
            stream,
            gate,
            input: BytesMut::new(),
            output: BytesMut::new(),
        }
    }

    /// Reads the next message; `on_bytes` sees every byte before it is decoded.
    pub(crate) async fn read<T>(
        &mut self,
        decode: impl Fn(&mut BytesMut) -> PgWireResult<Option<T>>,
        on_bytes: impl Fn(&[u8]),
    ) -> Result<T, LinkError> {
        loop {
            if let Some(message) = decode(&mut self.input)? {
                return Ok(message);
            }
            let known = self.input.len();
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Err(LinkError::Closed);
            }
            self.gate.pass().await?;
            on_bytes(&self.input[known..]);
        }
    }

    /// Adds a message of the server to the output.
    pub(crate) fn put(&mut self, message: &PgWireBackendMessage) -> Result<(), LinkError> {
        Ok(message.encode(&mut self.output)?)
    }

    /// Adds a message of the client to the output.
    pub(crate) fn put_frontend(
        &mut self,
        message: &PgWireFrontendMessage,
    ) -> Result<(), LinkError> {
        Ok(message.encode(&mut self.output)?)
    }

    /// Sends the output.
    pub(crate) async fn flush(&mut self) -> Result<(), LinkError> {
        self.gate.pass().await?;
        self.stream.write_all_buf(&mut self.output).await?;
        Ok(())
    }

    /// Sends the output if it has become large.
    pub(crate) async fn flush_if_large(&mut self) -> Result<(), LinkError> {
        if self.output.len() < OUTPUT_LIMIT {
            return Ok(());
        }
        self.flush().await
    }

    /// Throws away what comes in until the peer closes the connection.
    pub(crate) async fn discard_input(&mut self) {
        loop {
            self.input.clear();
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Makes the end of the connection a reset.
    pub(crate) fn reset(&self) {
        // A stream that is closed already needs no reset.
        let _ = self.stream.set_zero_linger();
    }
}
