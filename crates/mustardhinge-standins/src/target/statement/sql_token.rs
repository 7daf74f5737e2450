/// One token of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SqlToken {
    /// A name or key word, in lower case unless it was quoted.
    Word(String),
    /// A number, as written.
    Number(String),
    /// A quoted text.
    Text(String),
    /// A parameter such as `$1`.
    Parameter(usize),
    /// Any other character.
    Symbol(char),
}
