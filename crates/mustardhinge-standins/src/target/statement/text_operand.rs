/// A text in a statement: written out, or a parameter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TextOperand {
    /// A text written in the statement.
    Literal(String),
    /// The parameter with this number, counted from 1.
    Parameter(usize),
}

impl TextOperand {
    /// Returns the text, with `parameters` put in.
    #[must_use]
    pub fn resolve(&self, parameters: &[String]) -> Option<String> {
        match self {
            Self::Literal(text) => Some(text.clone()),
            Self::Parameter(number) => parameters.get(number - 1).cloned(),
        }
    }

    /// Returns the number of the parameter, or 0.
    #[must_use]
    pub const fn parameter_number(&self) -> usize {
        match self {
            Self::Literal(_) => 0,
            Self::Parameter(number) => *number,
        }
    }
}
