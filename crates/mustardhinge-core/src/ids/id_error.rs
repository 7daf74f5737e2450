/// An error from parsing an identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is empty.
    #[error("an identifier is 1 to {max} characters long; this one is empty")]
    Empty {
        /// The maximum length, in characters.
        max: usize,
    },
    /// The text exceeds the maximum length.
    #[error("an identifier is at most {max} characters long; this one has {length}")]
    TooLong {
        /// The maximum length, in characters.
        max: usize,
        /// The length of the text, in characters.
        length: usize,
    },
    /// The text contains a character that identifiers do not allow.
    #[error("{character:?} is not allowed: letters, digits, '-', '_', '.' and ':' are")]
    BadCharacter {
        /// The first disallowed character.
        character: char,
    },
}
