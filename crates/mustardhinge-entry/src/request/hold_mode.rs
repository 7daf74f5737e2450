/// Selects the frames of a response that are held back until the effect of the
/// statement is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldMode {
    /// No frames; the response is forwarded as it arrives.
    Nothing,
    /// CommandComplete and all frames after it.
    Completion,
    /// All frames.
    Everything,
}
