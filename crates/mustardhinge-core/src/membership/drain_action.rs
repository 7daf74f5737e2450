/// What a planned stop has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Go on, and ask again soon.
    Continue,
    /// Close the listener for callers, after the connections that wait there were taken.
    CloseIntake,
    /// End the process.
    End,
}
