use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::TimeMicros;

/// A planned stop of an instance.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// The instance.
    pub instance: InstanceId,
    /// When it was asked to stop.
    #[serde_as(as = "TimeMicros")]
    pub from: MonotonicTime,
    /// When it had stopped.
    #[serde_as(as = "TimeMicros")]
    pub to: MonotonicTime,
}
