use crate::ids::{CustomerId, TargetId};
use crate::membership::member_hash;

/// Chooses the target of a group that a customer's reads prefer.
///
/// Load pattern: a connection belongs to one customer, and all instances together have fewer
/// connections to a target than there are customers. If all instances send a customer's reads to
/// the same target, the customer needs connections to that target only.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetAffinity;

impl TargetAffinity {
    /// Returns the index of the customer's preferred target, which is the same on all instances.
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
