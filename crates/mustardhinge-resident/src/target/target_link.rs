use std::collections::HashMap;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mustardhinge_core::prelude::{CustomerId, MonotonicTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{AnswerTime, LinkError, TargetReply};
use crate::adapter::{SessionCodec, TargetMessage, TransactionState};
use crate::plan::TargetEntry;

/// Room for a usual answer.
const BUFFER_BYTES: usize = 2_048;

/// One connection to a target, on behalf of one customer.
#[derive(Debug)]
pub struct TargetLink {
    stream: TcpStream,
    input: BytesMut,
    /// What goes out with the next exchange.
    pub output: BytesMut,
    /// The customer that the target was told.
    pub customer: CustomerId,
    /// The session that used it last.
    pub session: u64,
    /// Which of that session's values are in force at the target.
    pub values_generation: u64,
    /// The prepared names known to the target, with the statements that made them.
    pub prepared: HashMap<Bytes, Bytes>,
    /// Where its transaction stands.
    pub state: TransactionState,
    /// When it was last used.
    pub used_at: MonotonicTime,
}

impl TargetLink {
    /// Opens a connection and starts a session.
    ///
    /// # Errors
    ///
    /// Fails if the target is not reached within `limit`, or turns the session away.
    pub async fn open<W: SessionCodec>(
        entry: &TargetEntry,
        customer: &CustomerId,
        limit: Duration,
    ) -> Result<(Self, TargetReply), LinkError> {
        match timeout(limit, Self::start::<W>(entry, customer)).await {
            Ok(opened) => opened,
            Err(_) => Err(LinkError::Silent),
        }
    }

    async fn start<W: SessionCodec>(
        entry: &TargetEntry,
        customer: &CustomerId,
    ) -> Result<(Self, TargetReply), LinkError> {
        let stream = TcpStream::connect(entry.address).await?;
        stream.set_nodelay(true)?;
        let mut link = Self {
            stream,
            input: BytesMut::with_capacity(BUFFER_BYTES),
            output: BytesMut::with_capacity(BUFFER_BYTES),
            customer: customer.clone(),
            session: 0,
            values_generation: 0,
            prepared: HashMap::new(),
            state: TransactionState::Idle,
            used_at: MonotonicTime::default(),
        };
        W::write_start(&mut link.output, &entry.service, customer, &entry.target);
        link.flush().await?;
        let reply = link.read_reply::<W>().await?;
        match reply.fault {
            Some(fault) => Err(LinkError::TurnedAway(fault)),
            None => Ok((link, reply)),
        }
    }

    /// Sends what is in `output` and reads `count` answers.
    ///
    /// `on_silence` is called once when no answer came for the time of silence.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or an answer takes too long; whether a statement
    /// ran is then unknown.
    pub async fn exchange<W: SessionCodec>(
        &mut self,
        count: usize,
        time: AnswerTime,
        mut on_silence: impl FnMut(),
    ) -> Result<Vec<TargetReply>, LinkError> {
        let work = async {
            let mut replies = Vec::with_capacity(count);
            self.flush().await?;
            while replies.len() < count {
                let reply = self.read_reply::<W>().await?;
                self.state = reply.state;
                replies.push(reply);
            }
            Ok(replies)
        };
        let mut work = std::pin::pin!(work);
        let first = time.silence.min(time.limit);
        match timeout(first, work.as_mut()).await {
            Ok(done) => done,
            Err(_) => {
                on_silence();
                let rest = time.limit.saturating_sub(first);
                timeout(rest, work).await.unwrap_or(Err(LinkError::Silent))
            }
        }
    }

    /// Returns whether the target has closed the connection or said something unasked.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        let mut probe = [0; 1];
        !matches!(self.stream.try_read(&mut probe), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Tells the target that the session ends, if that needs no waiting.
    pub fn say_goodbye<W: SessionCodec>(mut self) {
        self.output.clear();
        W::write_bye(&mut self.output);
        // A lost goodbye costs nothing: the closed connection says the same.
        let _ = self.stream.try_write(&self.output);
    }

    async fn flush(&mut self) -> Result<(), LinkError> {
        self.stream.write_all(&self.output).await?;
        self.output.clear();
        Ok(())
    }

    async fn read_reply<W: SessionCodec>(&mut self) -> Result<TargetReply, LinkError> {
        let mut body = BytesMut::new();
        let mut first_row = Bytes::new();
        let mut fault = None;
        loop {
            let Some(message) = W::read_target(&mut self.input)? else {
                if self.stream.read_buf(&mut self.input).await? > 0 {
                    continue;
                }
                return match fault {
                    Some(fault) => Err(LinkError::TurnedAway(fault)),
                    None => Err(LinkError::Closed),
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
