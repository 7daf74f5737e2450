/// A statement on its way to a server; times in milliseconds since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingStatement {
    /// Whose it is.
    pub customer: usize,
    /// The instance that got it.
    pub instance: usize,
    /// When it came.
    pub came: u64,
    /// The server that could not run it.
    pub tried: Option<usize>,
}
