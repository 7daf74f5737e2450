/// How a pool should change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Leave it as it is.
    Keep,
    /// Open this many connections.
    Open(u32),
    /// Close this many idle connections.
    CloseIdle(u32),
}
