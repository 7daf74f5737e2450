use std::collections::HashMap;
use std::time::Duration;

use super::RecentRetries;
use crate::ids::CustomerId;
use crate::units::{MonotonicTime, RoutePriority};

/// Interval at which the entries of customers without recent operations are removed.
const CLEAN_INTERVAL: Duration = Duration::from_secs(10);

/// The retries of each customer and priority on one instance.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::prelude::{CustomerId, MonotonicTime, RoutePriority};
/// use mustardhinge_core::retry::RetryTable;
///
/// let customer: CustomerId = "seeb".parse().unwrap();
/// let now = MonotonicTime::from_millis(5);
/// let mut table = RetryTable::default();
/// let mut admit = |priority| table.admit(&customer, RoutePriority::new(priority), now);
/// assert_eq!([0; 5].map(&mut admit), [true, true, true, false, false]);
/// assert!(admit(1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryTable {
    entries: HashMap<(CustomerId, RoutePriority), RecentRetries>,
    cleaned_at: MonotonicTime,
}

impl RetryTable {
    /// Counts an operation, by its first attempt.
    pub fn record_operation(
        &mut self,
        customer: &CustomerId,
        priority: RoutePriority,
        now: MonotonicTime,
    ) {
        self.entry(customer, priority, now).record_operation(now);
    }

    /// Counts a retry if it is allowed. Returns whether it is.
    pub fn admit(
        &mut self,
        customer: &CustomerId,
        priority: RoutePriority,
        now: MonotonicTime,
    ) -> bool {
        self.entry(customer, priority, now).admit(now)
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn entry(
        &mut self,
        customer: &CustomerId,
        priority: RoutePriority,
        now: MonotonicTime,
    ) -> &mut RecentRetries {
        if now.saturating_since(self.cleaned_at) >= CLEAN_INTERVAL {
            self.cleaned_at = now;
            self.entries.retain(|_, retries| !retries.is_unused(now));
        }
        let key = (customer.clone(), priority);
        self.entries.entry(key).or_default()
    }
}
