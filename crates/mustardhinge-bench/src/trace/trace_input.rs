use serde::{Deserialize, Serialize};

/// A line of a trace: one input and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceInput<T> {
    /// The time, in microseconds since the start of the trace.
    pub at_us: u64,
    /// The input.
    pub input: T,
}
