/// Why a target gave no report.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum TargetError {
    /// No connection came about, or it broke.
    #[error("no connection")]
    NotConnected,
    /// The target's host refused or reset the connection before the server said
    /// anything: its process is gone.
    #[error("connection refused")]
    Refused,
    /// The server answered the opening of a connection with an error: it is
    /// alive.
    #[error("connection declined: {0}")]
    Declined(String),
    /// No answer came in time.
    #[error("no response in time")]
    TimedOut,
    /// The target answered something else.
    #[error("{0}")]
    InvalidResponse(String),
}
