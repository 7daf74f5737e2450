/// How the network treats one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkFault {
    /// The server is down; the connection is reset.
    #[error("the server is down")]
    Down,
    /// Nothing passes for good, and neither end is told.
    #[error("the connection is silent")]
    Silent,
    /// Nothing passes for now; what waits is delivered later.
    #[error("the connection is held")]
    Held,
}
