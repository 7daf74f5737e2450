use std::fmt;

/// Why an instance drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainCause {
    /// An operator started the drain and can cancel it.
    Operator,
    /// The platform lists the instance as leaving; ends when the list no longer does.
    InstanceList,
    /// The process received a stop signal, which can't be cancelled.
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
