use crate::queue::CustomerWeight;

/// A limit on connections that customers share by weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedLimit {
    /// The number of connections.
    pub connections: usize,
    /// The sum of the weights of all customers; 0 while unknown.
    pub total_weight: u64,
}

impl SharedLimit {
    /// Returns whether `held` connections are more than the share of a customer with this weight,
    /// which is at least one. Nothing is more than a share that is unknown.
    ///
    /// # Examples
    ///
    /// ```
    /// use mustardhinge_core::connection::SharedLimit;
    /// use mustardhinge_core::queue::CustomerWeight;
    ///
    /// let limit = SharedLimit { connections: 36, total_weight: 100 };
    /// let half = CustomerWeight::from_rate(50.0);
    /// assert!(!limit.is_exceeded(18, half));
    /// assert!(limit.is_exceeded(19, half));
    /// assert!(!limit.is_exceeded(1, CustomerWeight::LOWEST));
    /// ```
    #[must_use]
    pub const fn is_exceeded(self, held: usize, weight: CustomerWeight) -> bool {
        // Both products are far below the range of the type.
        let held_part = held as u64 * self.total_weight;
        held > 1 && held_part > self.connections as u64 * weight.get() as u64
    }
}
