/// The reason why a text is no number with the unit asked for.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not {expected}")]
pub struct UnitError {
    text: String,
    expected: &'static str,
}

impl UnitError {
    /// Describes a text that is not of the `expected` form.
    #[must_use]
    pub fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.to_owned(),
            expected,
        }
    }
}
