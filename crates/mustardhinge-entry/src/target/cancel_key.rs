use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::SecretKey;

/// What a server wants to see before it cancels a connection's statement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CancelKey {
    /// The process id that the server gave.
    pub pid: i32,
    /// The secret that the server gave.
    pub secret: SecretKey,
}

impl CancelKey {
    /// Returns the packet that asks for the cancellation.
    #[must_use]
    pub fn to_request(&self) -> CancelRequest {
        CancelRequest::new(self.pid, self.secret.clone())
    }
}
