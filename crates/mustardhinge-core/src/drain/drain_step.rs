/// How a process handles its sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Serve and accept new sessions.
    Serve,
    /// Accept no new sessions, and close each open session between two requests.
    MoveSessions,
    /// Exit: no session is open.
    Exit,
    /// Exit although sessions are open: the drain has reached its time bound.
    ExitAtBound,
}
