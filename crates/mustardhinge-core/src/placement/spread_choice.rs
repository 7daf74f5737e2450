/// The target chosen for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadChoice {
    /// The index of the candidate.
    pub index: usize,
    /// Whether the candidate has the lowest expected cost.
    pub is_cheapest: bool,
}
