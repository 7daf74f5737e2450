use crate::ids::CustomerId;
use crate::queue::CustomerWeight;
use crate::units::MonotonicTime;

/// A transaction between two of its statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdleTransaction<T> {
    /// The customer.
    pub customer: CustomerId,
    /// The customer's weight.
    pub weight: CustomerWeight,
    /// When its last statement was answered.
    pub since: MonotonicTime,
    /// Its connection.
    pub connection: T,
}
