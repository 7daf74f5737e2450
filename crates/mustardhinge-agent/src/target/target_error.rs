/// The reason why a call to a target failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum TargetError {
    /// The connection could not be established or was lost.
    #[error("no connection")]
    NotConnected,
    /// The target's host refused or reset the connection before the server sent any
    /// data: the server process is not running.
    #[error("connection refused")]
    Refused,
    /// The server responded to the connection attempt with an error: it is running.
    #[error("connection declined: {0}")]
    Declined(String),
    /// No response was received in time.
    #[error("no answer in time")]
    TimedOut,
    /// The target responded with an error or an invalid result.
    #[error("{0}")]
    InvalidResponse(String),
}
