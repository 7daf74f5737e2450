use bytes::BytesMut;
use mustardhinge_core::prelude::{CustomerId, LogPosition, ServiceId, TargetId};

use super::{
    CallerMessage, CodecError, ProxyStatement, SessionRefusal, StatusReport, TargetMessage,
    TransactionState,
};

/// Codec of the wire protocol of callers and targets. It makes no decisions.
pub trait SessionCodec: 'static {
    /// Removes one complete message of a caller from the buffer, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is too large or malformed.
    fn read_caller(buffer: &mut BytesMut) -> Result<Option<CallerMessage>, CodecError>;

    /// Removes one complete message of a target from the buffer, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is too large or malformed.
    fn read_target(buffer: &mut BytesMut) -> Result<Option<TargetMessage>, CodecError>;

    /// Returns whether a message has to be looked for again, in a buffer that had none before its last
    /// `received` bytes were added.
    ///
    /// Failure: a message that arrived in many pieces was looked through from its start with each of
    /// them, which took time by the square of its length.
    fn may_have_message(buffer: &[u8], received: usize) -> bool;

    /// Writes that the session is ready for the next request.
    fn write_ready(out: &mut BytesMut, state: TransactionState, position: Option<LogPosition>);

    /// Writes the success of a statement that the proxy handled without a target.
    fn write_done(out: &mut BytesMut);

    /// Writes an error response.
    fn write_refusal(out: &mut BytesMut, refusal: &SessionRefusal);

    /// Writes the start of a session on a target.
    fn write_start(
        out: &mut BytesMut,
        service: &ServiceId,
        customer: &CustomerId,
        target: &TargetId,
    );

    /// Writes a caller's statement. The target must have applied `floor`.
    fn write_statement(out: &mut BytesMut, id: &[u8], floor: Option<LogPosition>, text: &[u8]);

    /// Writes a statement of the proxy itself.
    fn write_proxy_statement(out: &mut BytesMut, statement: &ProxyStatement);

    /// Writes the end of a session on a target.
    fn write_bye(out: &mut BytesMut);

    /// Decodes the result row of [`ProxyStatement::Status`].
    fn read_status(row: &[u8]) -> Option<StatusReport>;
}
