use crate::ids::{CustomerId, TargetId};
use crate::membership::member_hash;

/// Which target of a group each customer's reads prefer.
///
/// Load pattern: a connection belongs to one customer, and all instances together have fewer to
/// a target than there are customers. If all send a customer's reads to the same target, its
/// connection is needed there and not at the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetAffinity;

impl TargetAffinity {
    /// Returns the index of the customer's target; the same at all instances.
    #[must_use]
    pub fn prefer<'a>(
        customer: &CustomerId,
        targets: impl IntoIterator<Item = &'a TargetId>,
    ) -> Option<usize> {
        let ranked = targets.into_iter().enumerate().map(|(index, target)| {
            let key = customer.as_str().as_bytes();
            (member_hash(key, target.as_str().as_bytes()), index)
        });
        ranked.max().map(|(_, index)| index)
    }
}
