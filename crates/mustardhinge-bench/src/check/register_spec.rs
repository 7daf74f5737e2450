use todc_utils::Specification;

/// An operation on one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterOperation {
    /// A read that returned a value, or no row.
    Read(Option<String>),
    /// A write of a value.
    Write(String),
}

/// A row as a register that is absent at first.
#[derive(Clone, Copy, Debug)]
pub struct RegisterSpec;

impl Specification for RegisterSpec {
    type State = Option<String>;
    type Operation = RegisterOperation;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            RegisterOperation::Read(value) => (value == state, state.clone()),
            RegisterOperation::Write(value) => (true, Some(value.clone())),
        }
    }
}
