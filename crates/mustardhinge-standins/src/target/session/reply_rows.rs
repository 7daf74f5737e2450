/// The rows that a statement answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReplyRows {
    /// None, as for a write.
    None,
    /// Rows of text.
    Texts(Vec<Vec<String>>),
    /// Rows that are made while they are sent.
    Filler {
        /// How many.
        rows: u64,
        /// The size of each, in bytes.
        row_bytes: usize,
    },
}
