//! Type bytes of the frames that the entry inspects.

/// Server to client: Authentication.
pub const AUTHENTICATION: u8 = b'R';
/// Server to client: BackendKeyData.
pub const BACKEND_KEY_DATA: u8 = b'K';
/// Server to client: BindComplete.
pub const BIND_COMPLETE: u8 = b'2';
/// Server to client: CloseComplete.
pub const CLOSE_COMPLETE: u8 = b'3';
/// Server to client: CommandComplete.
pub const COMMAND_COMPLETE: u8 = b'C';
/// Server to client: DataRow.
pub const DATA_ROW: u8 = b'D';
/// Server to client: EmptyQueryResponse.
pub const EMPTY_QUERY: u8 = b'I';
/// Server to client: ErrorResponse.
pub const ERROR_RESPONSE: u8 = b'E';
/// Server to client: NoData.
pub const NO_DATA: u8 = b'n';
/// Server to client: NoticeResponse.
pub const NOTICE_RESPONSE: u8 = b'N';
/// Server to client: ParameterStatus.
pub const PARAMETER_STATUS: u8 = b'S';
/// Server to client: ParseComplete.
pub const PARSE_COMPLETE: u8 = b'1';
/// Server to client: PortalSuspended.
pub const PORTAL_SUSPENDED: u8 = b's';
/// Server to client: ReadyForQuery.
pub const READY_FOR_QUERY: u8 = b'Z';
/// Server to client: RowDescription.
pub const ROW_DESCRIPTION: u8 = b'T';

/// Client to server: Bind.
pub const BIND: u8 = b'B';
/// Client to server: Close.
pub const CLOSE: u8 = b'C';
/// Client to server: CopyData.
pub const COPY_DATA: u8 = b'd';
/// Client to server: CopyDone.
pub const COPY_DONE: u8 = b'c';
/// Client to server: CopyFail.
pub const COPY_FAIL: u8 = b'f';
/// Client to server: Describe.
pub const DESCRIBE: u8 = b'D';
/// Client to server: Execute.
pub const EXECUTE: u8 = b'E';
/// Client to server: Flush.
pub const FLUSH: u8 = b'H';
/// Client to server: Parse.
pub const PARSE: u8 = b'P';
/// Client to server: PasswordMessage.
pub const PASSWORD: u8 = b'p';
/// Client to server: Query.
pub const QUERY: u8 = b'Q';
/// Client to server: Sync.
pub const SYNC: u8 = b'S';
/// Client to server: Terminate.
pub const TERMINATE: u8 = b'X';
