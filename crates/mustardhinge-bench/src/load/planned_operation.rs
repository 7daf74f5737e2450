use std::time::Duration;

use crate::history::OperationKind;

/// One operation that a session will send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOperation {
    /// The number within the run.
    pub number: u64,
    /// When it is due, from the start of the load.
    pub due: Duration,
    /// What is asked.
    pub kind: OperationKind,
    /// Whether the session first moves to another instance.
    pub roams: bool,
}
