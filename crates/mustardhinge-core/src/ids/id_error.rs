/// The reason why a text is no identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is empty.
    #[error("an identifier is 1 to {max} characters long; this one is empty")]
    Empty {
        /// The greatest length in characters.
        max: usize,
    },
    /// The text is longer than an identifier may be.
    #[error("an identifier is at most {max} characters long; this one has {length}")]
    TooLong {
        /// The greatest length in characters.
        max: usize,
        /// The length of the text in characters.
        length: usize,
    },
    /// The text holds a character that identifiers may not have.
    #[error("{character:?} is not allowed: letters, digits, '-', '_', '.' and ':' are")]
    BadCharacter {
        /// The first such character.
        character: char,
    },
}
