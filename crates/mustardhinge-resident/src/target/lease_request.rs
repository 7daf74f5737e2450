use std::time::Duration;

use mustardhinge_core::prelude::CustomerId;

/// What a session needs a connection for.
#[derive(Clone, Debug)]
pub struct LeaseRequest {
    /// The customer on whose behalf it is.
    pub customer: CustomerId,
    /// The session, to find a connection that it used before.
    pub session: u64,
    /// How long it may wait for a free connection.
    pub wait: Duration,
}
