use std::marker::PhantomData;
use std::mem::MaybeUninit;
use std::time::Duration;

use bytes::BytesMut;
use mustardhinge_core::prelude::{LogPosition, RefusalReason};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use crate::adapter::{CallerMessage, CodecError, SessionCodec, SessionRefusal, TransactionState};
use crate::node::DrainPhase;

/// Initial buffer capacity, enough for a typical request.
const BUFFER_BYTES: usize = 1_024;
/// Timeout of sending a response, after which the session is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for which input is discarded after the last message, so that the caller receives it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of input bytes that are discarded then.
const MAX_DISCARDED_BYTES: usize = 64 * 1_024;
/// Time within which a caller that connects during a planned stop sends its first request; a slow
/// round trip.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Period over which sessions are closed during a planned stop, in milliseconds, so that their
/// callers don't all reconnect at once.
const CLOSE_SPREAD_MS: u64 = 1_200;

/// Event that a session has to handle.
pub(super) enum SessionEvent {
    /// The caller sent a message.
    Message(CallerMessage),
    /// The open transaction exceeded its idle timeout, or must end for a planned stop.
    EndTransaction,
    /// The instance ends the session.
    Closing,
    /// The caller has ended the session.
    Closed,
}

/// State of a session that waits for its next event.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct IdleState {
    /// Whether there is a transaction, failed or not.
    pub in_transaction: bool,
    /// Whether the transaction is open and has not failed.
    pub is_open: bool,
    /// Idle timeout of the transaction, if it has one.
    pub timeout: Option<Duration>,
}

/// Connection to one caller.
///
/// Reads messages, buffers and sends responses, and closes the connection during a planned stop.
#[derive(Debug)]
pub(super) struct CallerChannel<W> {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    number: u64,
    drain: watch::Receiver<DrainPhase>,
    close_at: Option<Instant>,
    /// Until when the first request is awaited, if the caller connected during a planned stop and has
    /// sent none.
    first_request_until: Option<Instant>,
    /// Whether the instance ends the session, so that the caller may still send or read.
    lingers: bool,
    wire: PhantomData<W>,
}

impl<W: SessionCodec> CallerChannel<W> {
    /// Creates the channel of a new connection for the session `number`.
    pub(super) fn new(stream: TcpStream, number: u64, drain: watch::Receiver<DrainPhase>) -> Self {
        let phase = *drain.borrow();
        let is_draining = phase != DrainPhase::Serving;
        let first_request_until = is_draining.then(|| Instant::now() + FIRST_REQUEST_TIMEOUT);
        Self {
            stream,
            input: BytesMut::with_capacity(BUFFER_BYTES),
            output: BytesMut::with_capacity(BUFFER_BYTES),
            number,
            drain,
            close_at: first_request_until.filter(|_| phase >= DrainPhase::Closing),
            first_request_until,
            lingers: false,
            wire: PhantomData,
        }
    }

    /// Waits for the next event.
    pub(super) async fn next_event(&mut self, idle: IdleState) -> SessionEvent {
        let idle_deadline = idle.timeout.map(|limit| Instant::now() + limit);
        let mut may_have_message = true;
        loop {
            if std::mem::take(&mut may_have_message) {
                match W::read_caller(&mut self.input) {
                    Ok(Some(message)) => return self.receive(message),
                    Ok(None) => {}
                    Err(fault) => return self.refuse_invalid(fault).await,
                }
            }
            let wake_at = match (idle_deadline, self.close_at) {
                (Some(first), Some(second)) => Some(first.min(second)),
                (first, second) => first.or(second),
            };
            tokio::select! {
                // A request that has arrived is served before the session is closed.
                biased;
                read = self.stream.read_buf(&mut self.input) => match read {
                    Ok(count) if count > 0 => {
                        may_have_message = W::may_have_message(&self.input, count);
                    }
                    _ => return SessionEvent::Closed,
                },
                _ = self.drain.changed() => {
                    if self.update_drain() && idle.is_open {
                        return SessionEvent::EndTransaction;
                    }
                }
                () = wait_until(wake_at) => {
                    let now = Instant::now();
                    if idle_deadline.is_some_and(|at| at <= now) {
                        return SessionEvent::EndTransaction;
                    }
                    let may_close = !idle.in_transaction || self.is_refusing();
                    if may_close && !self.has_input() {
                        return SessionEvent::Closing;
                    }
                    self.close_at = None;
                }
            }
        }
    }

    fn receive(&mut self, message: CallerMessage) -> SessionEvent {
        if matches!(message, CallerMessage::Statement { .. }) {
            self.first_request_until = None;
        }
        SessionEvent::Message(message)
    }

    /// Applies the current phase of a planned stop. Returns whether open transactions must end.
    fn update_drain(&mut self) -> bool {
        let phase = *self.drain.borrow_and_update();
        let now = Instant::now();
        let close_at = match phase {
            DrainPhase::Serving | DrainPhase::Announced => return false,
            DrainPhase::Closing => {
                let close_delay = self.number.wrapping_mul(7_919) % CLOSE_SPREAD_MS;
                now + Duration::from_millis(close_delay)
            }
            DrainPhase::Ending | DrainPhase::Refusing | DrainPhase::Finishing => now,
        };
        let first_request_until = self.first_request_until;
        let earliest = first_request_until.filter(|_| phase < DrainPhase::Finishing);
        self.close_at = Some(earliest.map_or(close_at, |earliest| earliest.max(close_at)));
        phase >= DrainPhase::Ending
    }

    /// Returns whether a planned stop closes the session now, as no request is pending.
    pub(super) fn is_closing(&self) -> bool {
        *self.drain.borrow() >= DrainPhase::Closing && !self.has_input()
    }

    /// Returns whether input is left, in the buffer or at the operating system.
    ///
    /// The operating system is asked directly, because the runtime notices input only between two
    /// turns of its tasks, which take long on a busy instance.
    fn has_input(&self) -> bool {
        let mut first = [MaybeUninit::uninit()];
        let mut peeked = || SockRef::from(&self.stream).peek(&mut first);
        !self.input.is_empty() || peeked().is_ok_and(|count| count > 0)
    }

    /// Returns whether a planned stop refuses new requests.
    pub(super) fn is_refusing(&self) -> bool {
        *self.drain.borrow() >= DrainPhase::Refusing
    }

    async fn refuse_invalid(&mut self, fault: CodecError) -> SessionEvent {
        let refusal = match fault {
            CodecError::TooLarge => SessionRefusal::NotRun {
                reason: RefusalReason::StatementTooLarge,
                retry_after: None,
            },
            CodecError::Malformed => SessionRefusal::Malformed("message can't be read"),
        };
        self.close_with(&refusal).await;
        SessionEvent::Closed
    }

    /// Marks the session as ended by the instance, so that its end is not a reset.
    pub(super) fn mark_closing(&mut self) {
        self.lingers = true;
    }

    /// Ends the connection.
    ///
    /// Closing a connection with unread input resets it, and the caller could lose the last response.
    /// So the write side is shut down first, and input is discarded until the caller has closed the
    /// connection too.
    pub(super) async fn close(mut self) {
        if !self.lingers || self.stream.shutdown().await.is_err() {
            return;
        }
        let mut rest = [0; BUFFER_BYTES];
        let discard = async {
            let mut discarded = 0;
            while discarded < MAX_DISCARDED_BYTES {
                match self.stream.read(&mut rest).await {
                    Ok(count) if count > 0 => discarded += count,
                    _ => return,
                }
            }
        };
        // The caller may not close the connection at all.
        let _ = timeout(LINGER_TIMEOUT, discard).await;
    }

    /// Sends a refusal as the last message of the session.
    pub(super) async fn close_with(&mut self, refusal: &SessionRefusal) {
        self.mark_closing();
        W::write_refusal(&mut self.output, refusal);
        // A failure is ignored, because the connection is closed in any case.
        let _ = self.flush().await;
    }

    /// Buffers the message that the session is ready for the next request.
    pub(super) fn write_ready(&mut self, state: TransactionState) {
        W::write_ready(&mut self.output, state, None);
    }

    /// Buffers a success response of the proxy itself.
    pub(super) fn write_done(&mut self, state: TransactionState) {
        W::write_done(&mut self.output);
        self.write_ready(state);
    }

    /// Buffers a refusal.
    pub(super) fn write_refusal(&mut self, refusal: &SessionRefusal, state: TransactionState) {
        W::write_refusal(&mut self.output, refusal);
        self.write_ready(state);
    }

    /// Buffers the response of a target.
    pub(super) fn write_response(
        &mut self,
        body: &[u8],
        state: TransactionState,
        position: Option<LogPosition>,
    ) {
        self.output.extend_from_slice(body);
        W::write_ready(&mut self.output, state, position);
    }

    /// Sends the buffered messages. Returns whether the caller accepted them in time.
    pub(super) async fn flush(&mut self) -> bool {
        if self.output.is_empty() {
            return true;
        }
        let written = timeout(WRITE_TIMEOUT, self.stream.write_all(&self.output)).await;
        self.output.clear();
        matches!(written, Ok(Ok(())))
    }
}

/// Waits until `time`, or forever if there is none.
async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
