/// What a process does about its sessions now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Serve; new sessions are welcome.
    Serve,
    /// Take no new sessions; close each session between two of its requests.
    MoveSessions,
    /// Exit: nothing runs any more.
    Exit,
    /// Exit although requests run: the bound of the drain is reached.
    ExitAtBound,
}
