use std::collections::VecDeque;

use mustardhinge_core::prelude::*;
use pgwire::messages::response::{ErrorResponse, TransactionStatus};

use super::ReplyStep;
use crate::wire::{FrameError, WireFrame};

const FIELD_CODE: u8 = b'C';

/// How a target's answer ended.
#[derive(Clone, Debug)]
pub struct ReplyEnd {
    /// The status of the connection's transaction.
    pub status: TransactionStatus,
    /// The position of the commit, if the statement committed a write.
    pub position: Option<LogPosition>,
    /// The error, if the statement failed; not yet passed on.
    pub error: Option<WireFrame>,
    /// The frames held back, in order.
    pub held: Vec<WireFrame>,
    /// Steps that the error kept from being answered.
    pub missing_steps: VecDeque<ReplyStep>,
}

impl ReplyEnd {
    /// Returns the SQLSTATE of the error, if the statement failed.
    ///
    /// # Errors
    ///
    /// Fails if the error frame is malformed.
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
