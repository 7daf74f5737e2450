use std::marker::PhantomData;
use std::time::Duration;

use bytes::BytesMut;
use mustardhinge_core::prelude::{LogPosition, RefusalReason};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use crate::adapter::{CallerMessage, CodecError, SessionCodec, SessionRefusal, TransactionState};
use crate::node::DrainPhase;

/// Room for a usual request.
const BUFFER_BYTES: usize = 1_024;
/// A caller that doesn't take its answer for this long is let go.
const WRITE_LIMIT: Duration = Duration::from_secs(10);
/// Over how much time sessions are closed at a planned stop, so that their callers don't
/// all come back at once.
const CLOSE_SPREAD_MS: u64 = 1_200;

/// What happens next in a session.
pub(super) enum SessionStep {
    /// The caller sent something.
    Message(CallerMessage),
    /// The open transaction has rested for too long, or has to end for a planned stop.
    Rested,
    /// The session is over.
    Closed,
}

/// What a session waits with.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SessionRest {
    /// Whether a transaction is open, failed or not.
    pub in_transaction: bool,
    /// Whether that transaction goes on.
    pub is_open: bool,
    /// How long it may rest, if that is limited.
    pub limit: Option<Duration>,
}

/// One caller's connection: messages in, answers out, and when it is closed.
#[derive(Debug)]
pub(super) struct CallerChannel<W> {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    number: u64,
    drain: watch::Receiver<DrainPhase>,
    close_at: Option<Instant>,
    wire: PhantomData<W>,
}

impl<W: SessionCodec> CallerChannel<W> {
    /// Makes the channel of a new connection, for the session `number`.
    pub(super) fn new(stream: TcpStream, number: u64, drain: watch::Receiver<DrainPhase>) -> Self {
        Self {
            stream,
            input: BytesMut::with_capacity(BUFFER_BYTES),
            output: BytesMut::with_capacity(BUFFER_BYTES),
            number,
            drain,
            close_at: None,
            wire: PhantomData,
        }
    }

    /// Waits for what happens next.
    pub(super) async fn next(&mut self, rest: SessionRest) -> SessionStep {
        let rests_until = rest.limit.map(|limit| Instant::now() + limit);
        loop {
            match W::read_caller(&mut self.input) {
                Ok(Some(message)) => return SessionStep::Message(message),
                Ok(None) => {}
                Err(fault) => return self.give_up(fault).await,
            }
            let wake = match (rests_until, self.close_at) {
                (Some(first), Some(second)) => Some(first.min(second)),
                (first, second) => first.or(second),
            };
            tokio::select! {
                read = self.stream.read_buf(&mut self.input) => match read {
                    Ok(count) if count > 0 => {}
                    _ => return SessionStep::Closed,
                },
                _ = self.drain.changed() => {
                    if self.note_drain() && rest.is_open {
                        return SessionStep::Rested;
                    }
                }
                () = wait_until(wake) => {
                    let now = Instant::now();
                    if rests_until.is_some_and(|at| at <= now) {
                        return SessionStep::Rested;
                    }
                    if !rest.in_transaction && self.input.is_empty() {
                        return SessionStep::Closed;
                    }
                    self.close_at = None;
                }
            }
        }
    }

    /// Takes the phase of a planned stop. Returns whether open transactions are to end.
    fn note_drain(&mut self) -> bool {
        let phase = *self.drain.borrow_and_update();
        match phase {
            DrainPhase::Serving | DrainPhase::Announced => false,
            DrainPhase::Closing => {
                let spread = self.number.wrapping_mul(7_919) % CLOSE_SPREAD_MS;
                self.close_at = Some(Instant::now() + Duration::from_millis(spread));
                false
            }
            DrainPhase::Ending => {
                self.close_at = Some(Instant::now());
                true
            }
        }
    }

    /// Returns whether the session ends here for a planned stop: between two requests.
    pub(super) fn is_closing(&self) -> bool {
        *self.drain.borrow() >= DrainPhase::Closing && self.input.is_empty()
    }

    async fn give_up(&mut self, fault: CodecError) -> SessionStep {
        let refusal = match fault {
            CodecError::TooLarge => SessionRefusal::NotRun {
                reason: RefusalReason::StatementTooLarge,
                retry_after: None,
            },
            CodecError::Malformed => SessionRefusal::Malformed("message can't be read"),
        };
        self.close_with(&refusal).await;
        SessionStep::Closed
    }

    /// Sends a refusal as the last message.
    pub(super) async fn close_with(&mut self, refusal: &SessionRefusal) {
        W::write_refusal(&mut self.output, refusal);
        // The connection is closed anyway.
        let _ = self.flush().await;
    }

    /// Answers that the session is ready for the next request.
    pub(super) fn ready(&mut self, state: TransactionState) {
        W::write_ready(&mut self.output, state, None);
    }

    /// Answers with a success of the proxy's own.
    pub(super) fn done(&mut self, state: TransactionState) {
        W::write_done(&mut self.output);
        self.ready(state);
    }

    /// Answers with a refusal.
    pub(super) fn refuse(&mut self, refusal: &SessionRefusal, state: TransactionState) {
        W::write_refusal(&mut self.output, refusal);
        self.ready(state);
    }

    /// Answers with what a target said.
    pub(super) fn pass_on(
        &mut self,
        body: &[u8],
        state: TransactionState,
        position: Option<LogPosition>,
    ) {
        self.output.extend_from_slice(body);
        W::write_ready(&mut self.output, state, position);
    }

    /// Sends what was answered. Returns whether the caller takes it.
    pub(super) async fn flush(&mut self) -> bool {
        if self.output.is_empty() {
            return true;
        }
        let written = timeout(WRITE_LIMIT, self.stream.write_all(&self.output)).await;
        self.output.clear();
        matches!(written, Ok(Ok(())))
    }
}

/// Waits until a time; without one, for ever.
async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
