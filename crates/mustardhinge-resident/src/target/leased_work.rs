use std::time::Duration;

use mustardhinge_core::prelude::RoutePriority;
use mustardhinge_core::queue::{CustomerWeight, WorkKind};

use super::ConnectionRequest;

/// The work for which a connection was leased, and the slot time that it has used so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeasedWork {
    pub(super) priority: RoutePriority,
    pub(super) kind: WorkKind,
    pub(super) weight: CustomerWeight,
    pub(super) slot_time: Duration,
}

impl LeasedWork {
    /// Returns the work of a request, or `None` without overload control.
    pub(super) fn of(request: &ConnectionRequest) -> Option<Self> {
        request.weight.map(|weight| Self {
            priority: request.priority,
            kind: request.kind,
            weight,
            slot_time: Duration::ZERO,
        })
    }
}
