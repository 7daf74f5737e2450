use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;

/// What a step means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StepDecision {
    /// The request continues.
    Pass,
    /// The request waits; the step is taken again afterwards.
    Wait,
    /// The request is refused, with this retry delay.
    Refuse(RefusalReason, Duration),
}
