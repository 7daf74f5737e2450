use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::TimeMicros;

/// A fault that was switched on or off during the run.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultMark {
    /// The name of the fault.
    pub fault: String,
    /// Whether it began; otherwise it ended.
    pub began: bool,
    /// When it was switched.
    #[serde_as(as = "TimeMicros")]
    pub at: MonotonicTime,
}
