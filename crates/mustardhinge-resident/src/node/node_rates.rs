//! The admission of operations against the rates of customers.

use mustardhinge_core::prelude::{CustomerId, MonotonicTime};
use mustardhinge_core::rate_limit::{AllowanceSource, LeaderDelays, RateRefusal};

use super::NodeState;

impl NodeState {
    /// Tries to admit an operation of a customer, and returns the result and when the leader's next
    /// response is expected.
    ///
    /// Overload control is determined first: the allowances hold its last known setting, which is off
    /// on a started instance and outdated after each change of the list of targets.
    pub fn try_admit(
        &self,
        customer: &CustomerId,
        now: MonotonicTime,
    ) -> (Result<AllowanceSource, RateRefusal>, LeaderDelays) {
        let overload_control = self.overload_control();
        let mut allowances = self.allowances.borrow_mut();
        allowances.set_overload_control(overload_control);
        let admitted = allowances.admit(customer, self.instances(), now);
        (admitted, allowances.leader_delays(now))
    }
}
