use pgwire::messages::Message;
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Parse};
use pgwire::messages::response::{CommandComplete, ErrorResponse, ReadyForQuery};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{BackendKeyData, ParameterStatus, Password};

use super::{BodyReader, FrameError};

/// Message whose fields are checked before it is decoded.
///
/// The decoders of `pgwire` panic if a body ends within a field, and allocate what a
/// count announces.
pub trait CheckedMessage: Message {
    /// Reads all fields of a body.
    ///
    /// # Errors
    ///
    /// Returns an error if a field is malformed or the body ends too early.
    fn check_fields(body: &mut BodyReader<'_>) -> Result<(), FrameError>;
}

impl CheckedMessage for Parse {
    fn check_fields(body: &mut BodyReader<'_>) -> Result<(), FrameError> {
        body.skip_text()?;
        body.skip_text()?;
        body.skip_list(4)
    }
}

impl CheckedMessage for Bind {
    fn check_fields(body: &mut BodyReader<'_>) -> Result<(), FrameError> {
        body.skip_text()?;
        body.skip_text()?;
        body.skip_list(2)?;
        body.skip_values()?;
        body.skip_list(2)
    }
}

impl CheckedMessage for Describe {
    fn check_fields(body: &mut BodyReader<'_>) -> Result<(), FrameError> {
        body.skip(1)?;
        body.skip_text()
    }
}

impl CheckedMessage for Close {
    fn check_fields(body: &mut BodyReader<'_>) -> Result<(), FrameError> {
        body.skip(1)?;
        body.skip_text()
    }
}

impl CheckedMessage for Execute {
    fn check_fields(body: &mut BodyReader<'_>) -> Result<(), FrameError> {
        body.skip_text()?;
        body.skip(4)
    }
}

impl CheckedMessage for Query {
    fn check_fields(body: &mut BodyReader<'_>) -> Result<(), FrameError> {
        body.skip_text()
    }
}

impl CheckedMessage for Password {
    fn check_fields(body: &mut BodyReader<'_>) -> Result<(), FrameError> {
        body.skip_text()
    }
}

impl CheckedMessage for BackendKeyData {
    fn check_fields(body: &mut BodyReader<'_>) -> Result<(), FrameError> {
        body.skip(4)?;
        body.skip(4)
    }
}

impl CheckedMessage for ErrorResponse {
    fn check_fields(body: &mut BodyReader<'_>) -> Result<(), FrameError> {
        while body.byte()? != 0 {
            body.skip_text()?;
        }
        Ok(())
    }
}

impl CheckedMessage for ReadyForQuery {
    fn check_fields(body: &mut BodyReader<'_>) -> Result<(), FrameError> {
        body.skip(1)
    }
}

impl CheckedMessage for ParameterStatus {
    fn check_fields(body: &mut BodyReader<'_>) -> Result<(), FrameError> {
        body.skip_text()?;
        body.skip_text()
    }
}

impl CheckedMessage for CommandComplete {
    fn check_fields(body: &mut BodyReader<'_>) -> Result<(), FrameError> {
        body.skip_text()
    }
}
