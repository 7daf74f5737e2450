use std::rc::Rc;

use mustardhinge_core::primary_lease::{GroupEpoch, WaitDecision};

use crate::target::TargetHandle;

/// Whether a statement that needs its group's primary can use it.
#[derive(Clone, Debug)]
pub(crate) enum PrimaryDecision {
    /// The primary of this epoch can be used.
    Serve(GroupEpoch, Rc<TargetHandle>),
    /// The primary is not used because its zone is evacuated.
    Evacuated,
    /// The primary is not used because its region is not a home of the statement.
    OutsideHome,
    /// The primary can't be used now.
    Unusable(WaitDecision),
}
