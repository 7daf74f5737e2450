use mustardhinge_core::prelude::*;

use super::CallerStream;
use crate::wire::{ErrorReply, FrameError, FrameStream, WireFrame, tags};

/// Maximum number of frames in one batch.
const MAX_BATCH_FRAMES: usize = 10_000;

/// Collects the frames of a caller's next request.
#[derive(Debug, Default)]
pub struct RequestReader {
    frames: Vec<WireFrame>,
    bytes: usize,
    refusal: Option<ErrorReply>,
}

/// Input received from a caller.
#[derive(Debug)]
pub(super) enum CallerInput {
    /// A simple query, or a batch without its Sync.
    Request(Vec<WireFrame>),
    /// A batch that is refused without running any part of it.
    Refused(ErrorReply),
    /// A request to close the connection.
    Terminate,
}

impl RequestReader {
    /// Returns whether a request has been read in part.
    #[must_use]
    pub fn is_inside(&self) -> bool {
        !self.frames.is_empty() || self.refusal.is_some()
    }

    /// Reads frames up to the end of a request.
    ///
    /// This method is cancel safe.
    pub(super) async fn read<S: CallerStream>(
        &mut self,
        stream: &mut FrameStream<S>,
        max_bytes: usize,
    ) -> Result<CallerInput, FrameError> {
        loop {
            let frame = stream.read_frame().await?;
            match frame.tag() {
                tags::QUERY => return Ok(self.end_with(Some(frame))),
                tags::SYNC => return Ok(self.end_with(None)),
                tags::TERMINATE => return Ok(CallerInput::Terminate),
                tags::PARSE | tags::BIND | tags::DESCRIBE | tags::EXECUTE | tags::CLOSE => {
                    self.add(frame, max_bytes);
                }
                tags::FLUSH => self.refuse(flush_unsupported()),
                tags::COPY_DATA | tags::COPY_DONE | tags::COPY_FAIL => {}
                other => {
                    let message = format!("a frame of type {:?}", char::from(other));
                    return Err(FrameError::Malformed(message));
                }
            }
        }
    }

    fn add(&mut self, frame: WireFrame, max_bytes: usize) {
        if self.refusal.is_some() {
            return;
        }
        self.bytes += frame.length();
        if self.bytes > max_bytes || self.frames.len() >= MAX_BATCH_FRAMES {
            self.refuse(too_large(max_bytes));
            return;
        }
        self.frames.push(frame);
    }

    fn refuse(&mut self, reply: ErrorReply) {
        self.frames.clear();
        self.refusal = Some(reply);
    }

    fn end_with(&mut self, query: Option<WireFrame>) -> CallerInput {
        let frames = std::mem::take(&mut self.frames);
        self.bytes = 0;
        match (self.refusal.take(), query) {
            (Some(reply), _) => CallerInput::Refused(reply),
            (None, Some(query)) => CallerInput::Request(vec![query]),
            (None, None) => CallerInput::Request(frames),
        }
    }
}

fn too_large(max_bytes: usize) -> ErrorReply {
    let reason = RefusalReason::StatementTooLarge;
    let message = format!("a request may have {max_bytes} bytes");
    ErrorReply::not_run(reason, None, &message)
}

fn flush_unsupported() -> ErrorReply {
    let reason = RefusalReason::Unsupported;
    ErrorReply::not_run(reason, None, "Flush is not supported; use Sync")
}
