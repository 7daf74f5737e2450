use crate::overload::OverloadControl;
use crate::units::MonotonicTime;

/// What an instance knows when it admits an operation.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionContext {
    /// Whether overload control is in force.
    pub overload: OverloadControl,
    /// When the request was sent that the leader answered last.
    pub last_response_at: MonotonicTime,
    /// The number of instances that share the rate.
    pub instances: usize,
}
