use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::session::{ReadToken, SessionFloor};
use tokio::sync::watch;
use tokio::time::timeout;

use super::reply_writer::{local_response, queue_ready, queue_token};
use super::request_reader::CallerInput;
use super::transaction_path::needs_transaction;
use super::{CallerStream, CallerTransaction, RequestEnd, RequestReader};
use crate::caller::{CallerKey, StartupParameters};
use crate::process::{CancelSlot, EntryShared};
use crate::request::{BatchPlan, CallerRequest, StatementCache};
use crate::statement::StatementKind;
use crate::wire::{ErrorReply, FrameError, FrameStream, WireFrame};

/// Maximum idle time of a caller inside an open transaction.
const TRANSACTION_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time that writing a response to the caller may take.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// SQLSTATE of a transaction that exceeded its idle timeout.
const IDLE_TRANSACTION_SQLSTATE: &str = "25P03";

/// Session of one connected caller, with its open transaction and prepared
/// statements.
#[derive(Debug)]
pub struct CallerSession<S> {
    pub(super) shared: Arc<EntryShared>,
    pub(super) stream: FrameStream<S>,
    pub(super) parameters: StartupParameters,
    pub(super) key: Option<CallerKey>,
    pub(super) customer: Option<CustomerId>,
    pub(super) floor: SessionFloor,
    pub(super) transaction: CallerTransaction,
    pub(super) cancel_slot: CancelSlot,
    cache: StatementCache,
    max_bytes: usize,
}

/// Event that ended the wait for a caller's next request.
enum NextInput {
    Input(CallerInput),
    Drained,
    TransactionTimedOut,
}

impl<S: CallerStream> CallerSession<S> {
    /// Creates the session of a caller.
    ///
    /// `identity` is the caller's key and customer; both are `None` for a caller
    /// without a key.
    #[must_use]
    pub fn new(
        shared: Arc<EntryShared>,
        stream: FrameStream<S>,
        parameters: StartupParameters,
        identity: (Option<CallerKey>, Option<CustomerId>),
        max_bytes: usize,
    ) -> Self {
        let (key, customer) = identity;
        let floor = if customer.is_some() {
            SessionFloor::of_session(parameters.token.map(ReadToken::new))
        } else {
            SessionFloor::Anonymous
        };
        let cancel_slot = shared.cancels.register();
        Self {
            shared,
            stream,
            parameters,
            key,
            customer,
            floor,
            transaction: CallerTransaction::Idle,
            cancel_slot,
            cache: StatementCache::default(),
            max_bytes,
        }
    }

    /// Returns the caller's stream.
    pub fn stream(&mut self) -> &mut FrameStream<S> {
        &mut self.stream
    }

    /// Returns the slot that the caller's cancel requests refer to.
    #[must_use]
    pub fn cancel_slot(&self) -> &CancelSlot {
        &self.cancel_slot
    }

    /// Queues the first ReadyForQuery.
    ///
    /// # Errors
    ///
    /// Returns an error if the message can't be encoded.
    pub fn queue_first_ready(&mut self) -> Result<(), FrameError> {
        queue_ready(&mut self.stream, &self.transaction)
    }

    /// Ends the session and returns the caller's stream.
    #[must_use]
    pub fn into_stream(self) -> FrameStream<S> {
        self.stream
    }

    /// Serves requests until the caller disconnects or the instance drains.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the caller violates the
    /// protocol.
    pub async fn serve(&mut self) -> Result<(), FrameError> {
        let mut reader = RequestReader::default();
        let mut draining = self.shared.watch_draining();
        loop {
            let is_open = match self.next_input(&mut reader, &mut draining).await? {
                NextInput::Input(CallerInput::Terminate) => false,
                NextInput::Input(CallerInput::Refused(reply)) => self.send_error(&reply).await?,
                NextInput::Input(CallerInput::Request(frames)) => self.handle(&frames).await?,
                NextInput::Drained => self.close_with(&draining_reply()).await?,
                NextInput::TransactionTimedOut => {
                    self.close_with(&transaction_timeout_reply()).await?
                }
            };
            if !is_open {
                return Ok(());
            }
        }
    }

    async fn next_input(
        &mut self,
        reader: &mut RequestReader,
        draining: &mut watch::Receiver<bool>,
    ) -> Result<NextInput, FrameError> {
        let is_inside = self.transaction.is_inside();
        let max_bytes = self.max_bytes;
        if is_inside {
            let read = reader.read(&mut self.stream, max_bytes);
            return match timeout(TRANSACTION_IDLE_TIMEOUT, read).await {
                Ok(input) => input.map(NextInput::Input),
                Err(_) => Ok(NextInput::TransactionTimedOut),
            };
        }
        tokio::select! {
            biased;
            input = reader.read(&mut self.stream, max_bytes) => input.map(NextInput::Input),
            _ = draining.wait_for(|draining| *draining) => Ok(NextInput::Drained),
        }
    }

    /// Executes one request and returns whether the connection stays open.
    async fn handle(&mut self, frames: &[WireFrame]) -> Result<bool, FrameError> {
        let end = if self.contains_key(frames) {
            let reason = RefusalReason::KeyInStatement;
            RequestEnd::refused(reason, None, "the request holds the session's key")
        } else {
            match CallerRequest::read(frames, &mut self.cache) {
                Ok(request) => self.run(&request).await,
                Err(reply) => RequestEnd::Failed(reply),
            }
        };
        if !self.transaction.is_inside() {
            self.cache.close_portals();
        }
        self.respond(end).await
    }

    fn contains_key(&self, frames: &[WireFrame]) -> bool {
        let Some(key) = &self.key else {
            return false;
        };
        frames.iter().any(|frame| key.occurs_in(frame.body()))
    }

    async fn run(&mut self, request: &CallerRequest) -> RequestEnd {
        if self.transaction.is_inside() {
            return self.run_inside(request).await;
        }
        if let Some(end) = respond_locally(request) {
            return end;
        }
        let context = match self.admit(request).await {
            Ok(context) => context,
            Err(refused) => return refused,
        };
        match request.kind {
            StatementKind::Read => self.run_read(request, &context).await,
            StatementKind::Begin => self.begin(request, &context).await,
            _ => self.run_write(request, &context).await,
        }
    }

    async fn respond(&mut self, end: RequestEnd) -> Result<bool, FrameError> {
        match end {
            RequestEnd::Responded(held) => self.queue_frames(&held),
            RequestEnd::Confirmed(held, position) => {
                let token = self.floor.advance(position);
                queue_token(&mut self.stream, &token.to_string())?;
                self.queue_frames(&held);
            }
            RequestEnd::TargetError(held, error) => {
                self.queue_frames(&held);
                self.stream.queue_frame(&error);
            }
            RequestEnd::Failed(reply) => return self.send_error(&reply).await,
            RequestEnd::Closed(reply) => return self.close_with(&reply).await,
            RequestEnd::CallerDisconnected(error) => return Err(error),
        }
        self.finish_response().await
    }

    fn queue_frames(&mut self, frames: &[WireFrame]) {
        for frame in frames {
            self.stream.queue_frame(frame);
        }
    }

    async fn send_error(&mut self, reply: &ErrorReply) -> Result<bool, FrameError> {
        self.stream.queue_message(&reply.to_message())?;
        self.finish_response().await
    }

    async fn finish_response(&mut self) -> Result<bool, FrameError> {
        queue_ready(&mut self.stream, &self.transaction)?;
        self.flush().await?;
        Ok(true)
    }

    async fn close_with(&mut self, reply: &ErrorReply) -> Result<bool, FrameError> {
        self.transaction = CallerTransaction::Idle;
        self.stream.queue_message(&reply.to_message())?;
        self.flush().await?;
        Ok(false)
    }

    async fn flush(&mut self) -> Result<(), FrameError> {
        match timeout(CALLER_WRITE_TIMEOUT, self.stream.flush()).await {
            Ok(flushed) => flushed,
            Err(_) => Err(FrameError::Closed),
        }
    }
}

/// Returns the response of a request that needs no target, or `None` if it has
/// to run on a target.
fn respond_locally(request: &CallerRequest) -> Option<RequestEnd> {
    let is_local = request.batch.as_ref().is_some_and(BatchPlan::is_local);
    let tag = match request.kind {
        _ if is_local => None,
        StatementKind::Empty => None,
        StatementKind::Commit => Some("COMMIT"),
        StatementKind::Rollback => Some("ROLLBACK"),
        StatementKind::InTransaction => return Some(needs_transaction()),
        _ => return None,
    };
    Some(match local_response(request, tag) {
        Ok(frames) => RequestEnd::Responded(frames),
        Err(error) => RequestEnd::CallerDisconnected(error),
    })
}

fn draining_reply() -> ErrorReply {
    let reason = RefusalReason::InstanceDraining;
    let retry_after = RetryDelay::new(Duration::ZERO);
    let message = "this instance is leaving; connect again";
    ErrorReply::not_run(reason, Some(retry_after), message).fatal()
}

fn transaction_timeout_reply() -> ErrorReply {
    let message = "the transaction was left open for too long and has been rolled back";
    ErrorReply::new(IDLE_TRANSACTION_SQLSTATE, message).fatal()
}
