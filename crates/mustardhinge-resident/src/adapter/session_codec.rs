use bytes::BytesMut;
use mustardhinge_core::prelude::{CustomerId, LogPosition, ServiceId, TargetId};

use super::{
    CallerMessage, CodecError, ProxyStatement, SessionRefusal, StatusReport, TargetMessage,
    TransactionState,
};

/// The protocol of callers and targets: only its form, no decisions.
pub trait SessionCodec: 'static {
    /// Takes one whole message of a caller off the buffer, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the message is too large or malformed.
    fn read_caller(buffer: &mut BytesMut) -> Result<Option<CallerMessage>, CodecError>;

    /// Takes one whole message of a target off the buffer, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the message is too large or malformed.
    fn read_target(buffer: &mut BytesMut) -> Result<Option<TargetMessage>, CodecError>;

    /// Writes that the session waits for the next request.
    fn write_ready(out: &mut BytesMut, state: TransactionState, position: Option<LogPosition>);

    /// Writes the success of a statement that the proxy answered itself.
    fn write_done(out: &mut BytesMut);

    /// Writes an answer that is not a success.
    fn write_refusal(out: &mut BytesMut, refusal: &SessionRefusal);

    /// Writes the start of a session at a target.
    fn write_start(
        out: &mut BytesMut,
        service: &ServiceId,
        customer: &CustomerId,
        target: &TargetId,
    );

    /// Writes a caller's statement, with what the target has to hold.
    fn write_statement(out: &mut BytesMut, id: &[u8], floor: Option<LogPosition>, text: &[u8]);

    /// Writes a statement of the proxy's own.
    fn write_proxy_statement(out: &mut BytesMut, statement: &ProxyStatement);

    /// Writes the end of a session at a target.
    fn write_bye(out: &mut BytesMut);

    /// Decodes the row of an answer to [`ProxyStatement::Status`].
    fn read_status(row: &[u8]) -> Option<StatusReport>;
}
