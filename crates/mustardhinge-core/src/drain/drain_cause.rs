use std::fmt;

/// Who asked that the instance drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainCause {
    /// An operator; taken back by an operator.
    Operator,
    /// The platform's list names the instance as leaving; taken back by the list.
    InstanceList,
    /// The process was told to stop; final.
    StopSignal,
}

impl fmt::Display for DrainCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Operator => "operator",
            Self::InstanceList => "instance_list",
            Self::StopSignal => "stop_signal",
        })
    }
}
