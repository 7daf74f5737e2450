use std::time::Duration;

use mustardhinge_core::prelude::CustomerId;

/// A session's request for a lease of a target connection.
#[derive(Clone, Debug)]
pub struct ConnectionRequest {
    /// The session's customer.
    pub customer: CustomerId,
    /// The session number, used to prefer a connection that the session used before.
    pub session: u64,
    /// Maximum time to wait for a slot and a connection.
    pub wait: Duration,
}
