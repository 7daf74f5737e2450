use std::collections::HashMap;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mustardhinge_core::prelude::{CustomerId, MonotonicTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::connection_hold::ConnectionHold;
use super::{ConnectionError, ResponseTimeouts, TargetReply};
use crate::adapter::{SessionCodec, TargetMessage, TransactionState};
use crate::plan::TargetEntry;

/// Initial buffer capacity; enough for a typical response.
const BUFFER_BYTES: usize = 2_048;

/// A connection to a target on behalf of one customer.
#[derive(Debug)]
pub struct TargetConnection {
    stream: TcpStream,
    input: BytesMut,
    /// Bytes to send with the next exchange.
    pub output: BytesMut,
    /// The customer for which the connection was opened.
    pub customer: CustomerId,
    /// The number of the session that used it last.
    pub session: u64,
    /// Generation of that session's values that is applied at the target.
    pub values_generation: u64,
    /// Names of the statements prepared at the target, with the statements that prepared them.
    pub prepared: HashMap<Bytes, Bytes>,
    /// State of its transaction.
    pub state: TransactionState,
    /// Time of its last use.
    pub used_at: MonotonicTime,
    /// Id of the last request of its open transaction, under overload control; otherwise empty.
    pub last_request: Bytes,
    pub(super) hold: Option<ConnectionHold>,
}

impl TargetConnection {
    /// Opens a connection and starts a session.
    ///
    /// # Errors
    ///
    /// Returns an error if the target can't be reached within `limit`, or rejects the session.
    pub async fn open<W: SessionCodec>(
        entry: &TargetEntry,
        customer: &CustomerId,
        limit: Duration,
    ) -> Result<(Self, TargetReply), ConnectionError> {
        match timeout(limit, Self::start::<W>(entry, customer)).await {
            Ok(opened) => opened,
            Err(_) => Err(ConnectionError::Silent),
        }
    }

    async fn start<W: SessionCodec>(
        entry: &TargetEntry,
        customer: &CustomerId,
    ) -> Result<(Self, TargetReply), ConnectionError> {
        let stream = TcpStream::connect(entry.address).await?;
        stream.set_nodelay(true)?;
        let mut connection = Self {
            stream,
            input: BytesMut::with_capacity(BUFFER_BYTES),
            output: BytesMut::with_capacity(BUFFER_BYTES),
            customer: customer.clone(),
            session: 0,
            values_generation: 0,
            prepared: HashMap::new(),
            state: TransactionState::Idle,
            used_at: MonotonicTime::default(),
            last_request: Bytes::new(),
            hold: None,
        };
        W::write_start(
            &mut connection.output,
            &entry.service,
            customer,
            &entry.target,
        );
        connection.flush().await?;
        let reply = connection.read_reply::<W>().await?;
        match reply.fault {
            Some(fault) => Err(ConnectionError::TurnedAway(fault)),
            None => Ok((connection, reply)),
        }
    }

    /// Sends the output buffer and reads `count` responses.
    ///
    /// Calls `on_unresponsive` once if the responses are not complete after
    /// [`ResponseTimeouts::unresponsive_after`].
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or the responses time out. The outcome of the
    /// statement is then unknown.
    pub async fn exchange<W: SessionCodec>(
        &mut self,
        count: usize,
        timeouts: ResponseTimeouts,
        mut on_unresponsive: impl FnMut(),
    ) -> Result<Vec<TargetReply>, ConnectionError> {
        let exchange = async {
            let mut replies = Vec::with_capacity(count);
            self.flush().await?;
            while replies.len() < count {
                let reply = self.read_reply::<W>().await?;
                self.state = reply.state;
                replies.push(reply);
            }
            Ok(replies)
        };
        let mut exchange = std::pin::pin!(exchange);
        let first = timeouts.unresponsive_after.min(timeouts.limit);
        match timeout(first, exchange.as_mut()).await {
            Ok(done) => done,
            Err(_) => {
                on_unresponsive();
                let rest = timeouts.limit.saturating_sub(first);
                timeout(rest, exchange)
                    .await
                    .unwrap_or(Err(ConnectionError::Silent))
            }
        }
    }

    /// Returns whether the target has closed the connection or sent unsolicited data.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        let mut probe = [0; 1];
        !matches!(self.stream.try_read(&mut probe), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Ends the session at the target, if that is possible without waiting.
    pub fn close_session<W: SessionCodec>(mut self) {
        self.output.clear();
        W::write_bye(&mut self.output);
        // Closing the connection ends the session as well.
        let _ = self.stream.try_write(&self.output);
    }

    async fn flush(&mut self) -> Result<(), ConnectionError> {
        self.stream.write_all(&self.output).await?;
        self.output.clear();
        Ok(())
    }

    /// Receives until the input may have a message. Returns whether it may; otherwise the target has
    /// closed the connection.
    async fn receive_more<W: SessionCodec>(&mut self) -> Result<bool, ConnectionError> {
        loop {
            let received = self.stream.read_buf(&mut self.input).await?;
            if received == 0 || W::may_have_message(&self.input, received) {
                return Ok(received > 0);
            }
        }
    }

    async fn read_reply<W: SessionCodec>(&mut self) -> Result<TargetReply, ConnectionError> {
        let mut body = BytesMut::new();
        let mut first_row = Bytes::new();
        let mut fault = None;
        loop {
            let Some(message) = W::read_target(&mut self.input)? else {
                if self.receive_more::<W>().await? {
                    continue;
                }
                return match fault {
                    Some(fault) => Err(ConnectionError::TurnedAway(fault)),
                    None => Err(ConnectionError::Closed),
                };
            };
            match message {
                TargetMessage::Row { raw, text } => {
                    if first_row.is_empty() {
                        first_row = text;
                    }
                    body.extend_from_slice(&raw);
                }
                TargetMessage::Done { raw } => body.extend_from_slice(&raw),
                TargetMessage::Failed { raw, fault: cause } => {
                    fault = Some(cause);
                    body.extend_from_slice(&raw);
                }
                TargetMessage::Ready { state, position } => {
                    return Ok(TargetReply {
                        body: body.freeze(),
                        first_row,
                        fault,
                        state,
                        position,
                    });
                }
            }
        }
    }
}
