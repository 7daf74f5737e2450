use pgwire::error::PgWireError;

use crate::fault::LinkFault;

/// Why a connection can't go on.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LinkError {
    /// The peer closed it.
    #[error("closed by the peer")]
    Closed,
    /// The answer is lost by a fault switch.
    #[error("the answer is lost")]
    AnswerLost,
    /// The network does not let anything pass.
    #[error(transparent)]
    Fault(#[from] LinkFault),
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A message is malformed.
    #[error(transparent)]
    Message(#[from] PgWireError),
}
