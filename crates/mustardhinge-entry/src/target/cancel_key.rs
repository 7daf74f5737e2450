use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::SecretKey;

/// Key that a server requires to cancel the running statement of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CancelKey {
    /// Process id of the server's backend.
    pub pid: i32,
    /// Secret of the server's backend.
    pub secret: SecretKey,
}

impl CancelKey {
    /// Returns the CancelRequest packet.
    #[must_use]
    pub fn to_request(&self) -> CancelRequest {
        CancelRequest::new(self.pid, self.secret.clone())
    }
}
