/// An error from parsing the text form of a unit type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not {expected}")]
pub struct UnitError {
    text: String,
    expected: &'static str,
}

impl UnitError {
    /// Creates an error for a text that does not have the `expected` form.
    #[must_use]
    pub fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.to_owned(),
            expected,
        }
    }
}
