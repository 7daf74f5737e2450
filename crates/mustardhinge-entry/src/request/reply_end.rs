use std::collections::VecDeque;

use mustardhinge_core::prelude::*;
use pgwire::messages::response::{ErrorResponse, TransactionStatus};

use super::ReplyStep;
use crate::wire::{FrameError, WireFrame};

const FIELD_CODE: u8 = b'C';

/// End of a target's response.
#[derive(Clone, Debug)]
pub struct ReplyEnd {
    /// Transaction status of the connection.
    pub status: TransactionStatus,
    /// Log position of the commit, if the statement committed a write.
    pub position: Option<LogPosition>,
    /// Error of a failed statement; not forwarded yet.
    pub error: Option<WireFrame>,
    /// Frames held back, in order.
    pub held: Vec<WireFrame>,
    /// Steps that the target skipped because of the error.
    pub missing_steps: VecDeque<ReplyStep>,
}

impl ReplyEnd {
    /// Returns the SQLSTATE of the error, if the statement failed.
    ///
    /// # Errors
    ///
    /// Returns an error if the error frame is malformed.
    pub fn error_code(&self) -> Result<Option<String>, FrameError> {
        let Some(frame) = &self.error else {
            return Ok(None);
        };
        let response: ErrorResponse = frame.decode()?;
        let code = response
            .fields
            .into_iter()
            .find(|field| field.0 == FIELD_CODE);
        Ok(code.map(|field| field.1))
    }
}
