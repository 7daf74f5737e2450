/// How a connection pool should change its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Keep the current size.
    Keep,
    /// Open this many connections.
    Open(u32),
    /// Close this many idle connections.
    CloseIdle(u32),
}
