use pgwire::messages::response::ErrorResponse;

use crate::target::ConnectionError;
use crate::wire::{CheckedMessage, FrameError, WireFrame, tags};

/// Size of a column's length field, in bytes. A length of -1 means NULL.
const COLUMN_LENGTH_BYTES: usize = 4;

/// Size of a row's column count, in bytes.
const COLUMN_COUNT_BYTES: usize = 2;

/// Returns the text columns of the first row of a response, or `None` if there is
/// no row. NULL is returned as an empty string.
///
/// # Errors
///
/// Returns an error if the response is an error or the row is malformed.
pub(crate) fn first_row(frames: &[WireFrame]) -> Result<Option<Vec<String>>, ConnectionError> {
    for frame in frames {
        match frame.tag() {
            tags::ERROR_RESPONSE => {
                let response: ErrorResponse = decode(frame)?;
                return Err(ConnectionError::refused(&response));
            }
            tags::DATA_ROW => return Ok(Some(row_columns(frame.body())?)),
            _ => {}
        }
    }
    Ok(None)
}

fn decode<M: CheckedMessage>(frame: &WireFrame) -> Result<M, FrameError> {
    frame.decode()
}

fn row_columns(body: &[u8]) -> Result<Vec<String>, FrameError> {
    let too_short = || FrameError::Malformed("a row is truncated".to_owned());
    let mut rest = body.get(COLUMN_COUNT_BYTES..).ok_or_else(too_short)?;
    let mut columns = Vec::new();
    while !rest.is_empty() {
        let (field, tail) = rest
            .split_at_checked(COLUMN_LENGTH_BYTES)
            .ok_or_else(too_short)?;
        let length = i32::from_be_bytes(field.try_into().map_err(|_| too_short())?);
        let length = usize::try_from(length).unwrap_or(0);
        let (text, tail) = tail.split_at_checked(length).ok_or_else(too_short)?;
        columns.push(String::from_utf8_lossy(text).into_owned());
        rest = tail;
    }
    Ok(columns)
}
