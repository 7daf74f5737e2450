/// What an instance has taken and not finished yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainWork {
    /// Number of open caller connections, from their acceptance until the caller has what it is sent.
    pub sessions: usize,
    /// Number of statements and open transactions of other instances.
    pub forwarded: usize,
    /// Number of messages to other instances that are not sent yet.
    pub unsent: usize,
    /// Whether the leadership is still being released.
    pub is_releasing: bool,
}

impl DrainWork {
    /// Returns whether nothing is left to finish.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.sessions == 0 && self.forwarded == 0 && self.unsent == 0 && !self.is_releasing
    }
}
