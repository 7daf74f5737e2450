use bytes::{BufMut, BytesMut};
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{DataRow, FORMAT_CODE_TEXT, FieldDescription, RowDescription};
use pgwire::messages::response::ErrorResponse;

use crate::target::member::SqlError;

/// The object id of the type `text`.
pub(super) const TEXT_TYPE: u32 = 25;
/// The size that stands for a type of any size.
const VARIABLE_SIZE: i16 = -1;
/// The modifier of a type that has none.
const NO_MODIFIER: i32 = -1;

/// Makes the message that names the columns of rows of text.
pub(super) fn row_description(columns: &[&str]) -> PgWireBackendMessage {
    let field = |name: &&str| {
        let name = (*name).to_owned();
        let (size, modifier) = (VARIABLE_SIZE, NO_MODIFIER);
        FieldDescription::new(name, 0, 0, TEXT_TYPE, size, modifier, FORMAT_CODE_TEXT)
    };
    let fields = columns.iter().map(field).collect();
    PgWireBackendMessage::RowDescription(RowDescription::new(fields))
}

/// Makes the message of one row of text.
pub(super) fn data_row<'a>(values: impl Iterator<Item = &'a str>) -> PgWireBackendMessage {
    let mut data = BytesMut::new();
    let mut count = 0;
    for value in values {
        let length = i32::try_from(value.len()).unwrap_or(i32::MAX);
        data.put_i32(length);
        data.put_slice(value.as_bytes());
        count += 1;
    }
    PgWireBackendMessage::DataRow(DataRow::new(data, count))
}

/// Makes the message that tells a caller of an error.
pub(super) fn error_response(error: &SqlError) -> PgWireBackendMessage {
    let fields = vec![
        (b'S', "ERROR".to_owned()),
        (b'V', "ERROR".to_owned()),
        (b'C', error.sqlstate().to_owned()),
        (b'M', error.to_string()),
    ];
    PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields))
}
