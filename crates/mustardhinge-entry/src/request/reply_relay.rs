use std::collections::VecDeque;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use pgwire::messages::extendedquery::{CloseComplete, ParseComplete};
use pgwire::messages::startup::ParameterStatus;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::timeout;

use super::{HoldMode, RelayError, ReplyEnd, ReplyStep};
use crate::target::{ConnectionError, TargetConnection, transaction_status};
use crate::wire::{FrameError, FrameStream, WireFrame, tags};

/// Name of the ParameterStatus in which a target reports the position of a commit.
const POSITION_PARAMETER: &str = "group_position";

/// Maximum size of the frames held back, in bytes.
const MAX_HELD_BYTES: usize = 4 << 20;

/// Relays a target's response to the caller, frame by frame.
///
/// ReadyForQuery and ErrorResponse are not forwarded. The code that runs the
/// request decides what the caller receives instead.
#[derive(Debug)]
pub struct ReplyRelay {
    steps: VecDeque<ReplyStep>,
    mode: HoldMode,
    is_holding: bool,
    max_wait: Duration,
    held_bytes: usize,
    has_forwarded: bool,
    position: Option<LogPosition>,
    error: Option<WireFrame>,
    held: Vec<WireFrame>,
}

impl ReplyRelay {
    /// Creates a relay for a response with these steps.
    ///
    /// The wait for each frame of the target and for each flush to the caller is
    /// limited to `max_wait`.
    #[must_use]
    pub fn new(steps: VecDeque<ReplyStep>, mode: HoldMode, max_wait: Duration) -> Self {
        Self {
            steps,
            mode,
            is_holding: mode == HoldMode::Everything,
            max_wait,
            held_bytes: 0,
            has_forwarded: false,
            position: None,
            error: None,
            held: Vec::new(),
        }
    }

    /// Returns whether a part of the response was forwarded to the caller.
    #[must_use]
    pub fn has_forwarded(&self) -> bool {
        self.has_forwarded
    }

    /// Relays one response up to ReadyForQuery.
    ///
    /// # Errors
    ///
    /// Returns an error if either connection fails or the frames to hold back
    /// exceed the limit.
    pub async fn run<S>(
        &mut self,
        connection: &mut TargetConnection,
        caller: &mut FrameStream<S>,
    ) -> Result<ReplyEnd, RelayError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        self.send_local_replies(caller)
            .map_err(RelayError::Caller)?;
        loop {
            let frame = self.next_frame(connection).await?;
            if frame.tag() == tags::READY_FOR_QUERY {
                return self.finish(&frame);
            }
            self.handle_frame(frame, caller)?;
            self.flush_if_large(caller).await?;
        }
    }

    async fn next_frame(&self, connection: &mut TargetConnection) -> Result<WireFrame, RelayError> {
        let read = timeout(self.max_wait, connection.stream().read_frame()).await;
        match read {
            Ok(Ok(frame)) => Ok(frame),
            Ok(Err(error)) => Err(RelayError::Target(error.into())),
            Err(_) => Err(RelayError::Target(ConnectionError::TimedOut)),
        }
    }

    async fn flush_if_large<S>(&self, caller: &mut FrameStream<S>) -> Result<(), RelayError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        match timeout(self.max_wait, caller.flush_if_large()).await {
            Ok(flushed) => flushed.map_err(RelayError::Caller),
            Err(_) => Err(RelayError::Caller(FrameError::Closed)),
        }
    }

    fn handle_frame<S>(
        &mut self,
        frame: WireFrame,
        caller: &mut FrameStream<S>,
    ) -> Result<(), RelayError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        match frame.tag() {
            tags::PARAMETER_STATUS => {
                self.position = position_in(&frame).or(self.position);
                return Ok(());
            }
            tags::ERROR_RESPONSE => {
                self.error = Some(frame);
                return Ok(());
            }
            tags::COMMAND_COMPLETE if self.mode == HoldMode::Completion => self.is_holding = true,
            _ => {}
        }
        let step = self.steps.front().copied();
        if step.is_some_and(|step| step.ends_with(frame.tag())) {
            self.steps.pop_front();
        }
        if step != Some(ReplyStep::HiddenParse) {
            self.forward_or_hold(frame, caller)?;
        }
        self.send_local_replies(caller).map_err(RelayError::Caller)
    }

    fn forward_or_hold<S>(
        &mut self,
        frame: WireFrame,
        caller: &mut FrameStream<S>,
    ) -> Result<(), RelayError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        if !self.is_holding {
            self.has_forwarded = true;
            caller.queue_frame(&frame);
            return Ok(());
        }
        self.held_bytes += frame.length();
        if self.held_bytes > MAX_HELD_BYTES {
            let limit = MAX_HELD_BYTES;
            return Err(RelayError::HeldLimitExceeded { limit });
        }
        self.held.push(frame);
        Ok(())
    }

    /// Replies to the steps at the front for which the target sends nothing.
    fn send_local_replies<S>(&mut self, caller: &mut FrameStream<S>) -> Result<(), FrameError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        while let Some(step) = self.steps.front().copied() {
            if !step.is_local() {
                break;
            }
            self.steps.pop_front();
            let frame = match step {
                ReplyStep::LocalClose => WireFrame::encode(&CloseComplete::new())?,
                _ => WireFrame::encode(&ParseComplete::new())?,
            };
            if self.is_holding {
                self.held.push(frame);
            } else {
                caller.queue_frame(&frame);
            }
        }
        Ok(())
    }

    fn finish(&mut self, ready: &WireFrame) -> Result<ReplyEnd, RelayError> {
        let status = transaction_status(ready)
            .map_err(|error| RelayError::Target(ConnectionError::Broken(error)))?;
        Ok(ReplyEnd {
            status,
            position: self.position.take(),
            error: self.error.take(),
            held: std::mem::take(&mut self.held),
            missing_steps: std::mem::take(&mut self.steps),
        })
    }
}

/// Returns the position of a commit from a ParameterStatus frame, or `None` if the
/// frame carries another parameter.
pub(crate) fn position_in(frame: &WireFrame) -> Option<LogPosition> {
    let status: ParameterStatus = frame.decode().ok()?;
    let is_position = status.name == POSITION_PARAMETER;
    is_position.then(|| status.value.parse().ok()).flatten()
}
