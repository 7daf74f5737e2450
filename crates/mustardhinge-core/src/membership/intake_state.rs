/// Whether an instance accepts connections of callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum IntakeState {
    /// Connections are accepted.
    #[default]
    Open,
    /// The connections that the operating system has already accepted are taken, then the listener
    /// is closed.
    Closing,
    /// No listener is left. A new caller's connection is refused, so it connects elsewhere at once.
    Closed,
}
